package report

import (
	"fmt"
	"io"
	"math"
	"slices"
	"sync"

	"gonum.org/v1/gonum/stat"
)

// Figures prints one line for each figure: name, value, unit, target, and
// whether the value holds or misses the target.
type Figures struct {
	Out io.Writer

	mu     sync.Mutex
	missed []string
}

// Most prints a figure that may be at most target.
func (f *Figures) Most(name string, value float64, unit string, target float64) {
	verdict := "holds"
	if value > target {
		verdict = "misses"
	}
	f.print(name, value, unit, fmt.Sprintf("%g", target), verdict)
}

// Info prints a figure without a target.
func (f *Figures) Info(name string, value float64, unit string) { f.print(name, value, unit, "-", "-") }

// Failed prints a figure that could not be measured.
func (f *Figures) Failed(name string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.missed = append(f.missed, name)
	fmt.Fprintf(f.Out, "%s - - - misses # %v\n", name, err)
}

// Missed returns the names of the figures that miss their target.
func (f *Figures) Missed() []string { return f.missed }

func (f *Figures) print(name string, value float64, unit, target, verdict string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if verdict == "misses" {
		f.missed = append(f.missed, name)
	}
	fmt.Fprintf(f.Out, "%s %.4g %s %s %s\n", name, value, unit, target, verdict)
}

// Fit is a line fitted by least squares.
type Fit struct {
	Slope, Intercept float64
	Error            float64 // root mean square of the residuals
	X, Y             []float64
}

// Line fits a line through the points.
func Line(x, y []float64) Fit {
	a, b := stat.LinearRegression(x, y, nil, false)
	f := Fit{Slope: b, Intercept: a, X: x, Y: y}
	squares := make([]float64, len(x))
	for i := range x {
		d := y[i] - f.At(x[i])
		squares[i] = d * d
	}
	f.Error = rootMean(squares)
	return f
}

// At returns the line's value at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// Summary holds what is said about a set of values.
type Summary struct{ Mean, Median, Max float64 }

// Summarize returns the summary of values.
func Summarize(values []float64) Summary {
	if len(values) == 0 {
		return Summary{}
	}
	sorted := slices.Sorted(slices.Values(values))
	return Summary{
		Mean:   stat.Mean(sorted, nil),
		Median: stat.Quantile(0.5, stat.Empirical, sorted, nil),
		Max:    sorted[len(sorted)-1],
	}
}

func rootMean(squares []float64) float64 { return math.Sqrt(stat.Mean(squares, nil)) }
