package report

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Most prints a figure that may be at most target: name, value, unit, target,
// and whether the value holds or misses the target.
func Most(name string, value float64, unit string, target float64) {
	verdict := "holds"
	if !(value <= target) {
		verdict = "misses"
	}
	fmt.Printf("%s %.4g %s %g %s\n", name, value, unit, target, verdict)
}

// Info prints a figure without a target.
func Info(name string, value float64, unit string) { fmt.Printf("%s %.4g %s - -\n", name, value, unit) }

// Fit is a line fitted by least squares.
type Fit struct {
	X, Y             []float64
	Slope, Intercept float64
	Error            float64 // root mean square of the residuals
}

// Line fits a line through the points.
func Line(x, y []float64) Fit {
	f := Fit{X: x, Y: y}
	f.Intercept, f.Slope = stat.LinearRegression(x, y, nil, false)
	var squares float64
	for i := range x {
		squares += math.Pow(y[i]-f.At(x[i]), 2)
	}
	f.Error = math.Sqrt(squares / float64(len(x)))
	return f
}

// At returns the line's value at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// Mean returns the mean of values.
func Mean(values []float64) float64 { return stat.Mean(values, nil) }

// Median returns the median of values, which it sorts.
func Median(values []float64) float64 {
	slices.Sort(values)
	return stat.Quantile(0.5, stat.Empirical, values, nil)
}

// Max returns the largest of values.
func Max(values []float64) float64 { return slices.Max(values) }
