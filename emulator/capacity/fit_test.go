package capacity

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLeastSquares guards the published capacity figures: a wrong fit would falsify them without any other sign.
func TestLeastSquares(t *testing.T) {
	exact := LeastSquares([]float64{1, 2, 4}, []float64{5, 7, 11})
	require.InDelta(t, 2, exact.Slope, 1e-9)
	require.InDelta(t, 3, exact.Intercept, 1e-9)
	require.InDelta(t, 0, exact.SlopeStdErr, 1e-9)

	// The residuals around the line y = 2x are -1, 2 and -1. Their squares sum up to 6, with one degree of freedom, and the
	// squared deviations of x from its mean sum up to 2.
	noisy := LeastSquares([]float64{1, 2, 3}, []float64{1, 6, 5})
	require.InDelta(t, 2, noisy.Slope, 1e-9)
	require.InDelta(t, 1.7320508, noisy.SlopeStdErr, 1e-6)

	same := LeastSquares([]float64{3, 3}, []float64{1, 5})
	require.Zero(t, same.Slope)
	require.InDelta(t, 3, same.Intercept, 1e-9)
}
