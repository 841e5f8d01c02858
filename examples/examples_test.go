package examples

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
)

// Guards against example configurations that a daemon would refuse.
func TestExamplesAreValid(t *testing.T) {
	for _, document := range [][]byte{Kitakata, Kasica} {
		_, err := clusterconfig.Parse(document)
		require.NoError(t, err)
	}
}
