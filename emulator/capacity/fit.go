package capacity

import (
	"math"
	"sort"
)

// Fit is a line y = Intercept + Slope * x fitted to measured points.
type Fit struct {
	Slope       float64 `json:"slope"`
	Intercept   float64 `json:"intercept"`
	SlopeStdErr float64 `json:"slopeStandardError"` // standard error of Slope; 0 when there are only two points
	Points      int     `json:"points"`
}

// LeastSquares fits a line to points. Without two points of different x, the slope is 0 and the intercept is the mean of y.
func LeastSquares(x, y []float64) Fit {
	n := float64(len(x))
	meanX, meanY := mean(x), mean(y)
	var sxx, sxy float64
	for i := range x {
		sxx += (x[i] - meanX) * (x[i] - meanX)
		sxy += (x[i] - meanX) * (y[i] - meanY)
	}
	f := Fit{Intercept: meanY, Points: len(x)}
	if sxx == 0 {
		return f
	}
	f.Slope = sxy / sxx
	f.Intercept = meanY - f.Slope*meanX
	if n > 2 {
		var squaredResiduals float64
		for i := range x {
			residual := y[i] - f.Intercept - f.Slope*x[i]
			squaredResiduals += residual * residual
		}
		f.SlopeStdErr = math.Sqrt(squaredResiduals / (n - 2) / sxx)
	}
	return f
}

// mean returns the arithmetic mean of the values, 0 for none.
func mean(values []float64) float64 {
	var sum float64
	for _, x := range values {
		sum += x
	}
	return sum / float64(max(len(values), 1))
}

// quantile returns the q-quantile of the values, 0 for none. It sorts the values in place.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return values[min(int(q*float64(len(values))), len(values)-1)]
}
