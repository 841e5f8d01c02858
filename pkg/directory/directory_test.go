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

// A member that cannot be used must be left out, wherever the list comes from, and the other members must stay.
func TestInvalidMembersAreLeftOut(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	good := platform.Member{Name: "a", Service: "s", DataAddr: "10.0.0.1:80", ControlAddr: "10.0.0.1:81", Slots: 2, Connections: 16}
	with := func(change func(*platform.Member)) platform.Member {
		m := good
		m.Name = "odd"
		change(&m)
		return m
	}
	list := []platform.Service{{Name: "s", Members: []platform.Member{
		with(func(m *platform.Member) { m.Slots = 100_000_000 }),
		with(func(m *platform.Member) { m.Slots = -1 }),
		good,
		with(func(m *platform.Member) { m.Connections = 1 << 40 }),
		with(func(m *platform.Member) { m.DataAddr = "10.0.0.1:99999" }),
		with(func(m *platform.Member) { m.ControlAddr = "" }),
		with(func(m *platform.Member) { m.Name = "" }),
	}}}
	want := []platform.Service{{Name: "s", Members: []platform.Member{good}}}

	adopted := New(staticLister(nil), log, func() bool { return true })
	adopted.Adopt(list)
	require.Equal(t, want, adopted.Services())

	read := New(staticLister(list), log, func() bool { return true })
	require.NoError(t, read.readList(t.Context()))
	require.Equal(t, want, read.Services())
	require.Len(t, list[0].Members, 7, "the lister's list must not be changed")
}
