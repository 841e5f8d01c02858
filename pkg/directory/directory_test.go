package directory

import (
	"context"
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

type staticLister []platform.Service

func (l staticLister) Services(context.Context) ([]platform.Service, error) { return l, nil }

// A peer's list must not replace a newer one read from the platform. If a list is adopted, Changed must signal it.
func TestAdopt(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	old, current := []platform.Service{{Name: "old"}}, staticLister{{Name: "present"}}
	d := New(current, log, func() bool { return true })
	d.Adopt(old)
	require.Equal(t, old, d.Services())
	require.Len(t, d.Changed(), 1)
	require.NoError(t, d.readList(t.Context()))
	d.Adopt(old)
	require.Equal(t, []platform.Service(current), d.Services())
}
