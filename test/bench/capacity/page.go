package main

import (
	_ "embed"
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"strings"
	"text/template"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/lentilflow/lentilflow/test/bench/internal/report"
)

// Line is one measured quantity of a role with its fitted line.
type Line struct {
	Role, Quantity, Unit string
	Of                   string  // what the slope is over
	Target               float64 // value of Of at the target
	Limit                float64 // 0 if none is stated
	report.Fit
}

// Derived returns the value at the target by the fitted line. A line that falls
// below 0 shows no growth; its last measured value stands for the target then.
func (l Line) Derived() float64 {
	if v := l.At(l.Target); v >= 0 {
		return v
	}
	return l.Y[len(l.Y)-1]
}

// Verdict compares the derived value with the limit.
func (l Line) Verdict() string { return verdict(l.Derived(), l.Limit) }

// Measured lists the measured points.
func (l Line) Measured() string {
	var out []string
	for i := range l.X {
		out = append(out, fmt.Sprintf("%s at %s", number(l.Y[i]), number(l.X[i])))
	}
	return strings.Join(out, ", ")
}

// File is the name of the plot.
func (l Line) File() string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= '0' && r <= '9' {
			return r
		}
		return '-'
	}, strings.ToLower(l.Role+" "+l.Quantity)) + ".svg"
}

// Sum is a value at the target that is derived from several lines, or that
// was measured at the target's size.
type Sum struct {
	Role, Quantity, Unit, From string
	Value, Limit               float64
}

// Verdict compares the value with the limit.
func (s Sum) Verdict() string { return verdict(s.Value, s.Limit) }

func verdict(value, limit float64) string {
	switch {
	case limit == 0:
		return "no limit stated"
	case value <= limit:
		return "holds, limit " + number(limit)
	default:
		return "**misses**, limit " + number(limit)
	}
}

func number(v float64) string { return fmt.Sprintf("%.4g", v) }

// page collects what the template shows.
type page struct {
	Lines []Line
	Sums  []Sum
}

func (p *page) line(l Line, x, y []float64) Line {
	l.Fit = report.Line(x, y)
	p.Lines = append(p.Lines, l)
	return l
}

// LinesOf returns the lines of a role.
func (p *page) LinesOf(role string) (out []Line) {
	for _, l := range p.Lines {
		if l.Role == role {
			out = append(out, l)
		}
	}
	return out
}

// SumsOf returns the sums of a role.
func (p *page) SumsOf(role string) (out []Sum) {
	for _, s := range p.Sums {
		if s.Role == role {
			out = append(out, s)
		}
	}
	return out
}

func (p *page) print() {
	for _, l := range p.Lines {
		fmt.Printf("%s: %s (%s): %s %s; slope %s, intercept %s, error %s; derived %s at %s (%s)\n", l.Role, l.Quantity, l.Unit, l.Measured(),
			l.Of, number(l.Slope), number(l.Intercept), number(l.Error), number(l.Derived()), number(l.Target), l.Verdict())
	}
	for _, s := range p.Sums {
		fmt.Printf("%s: %s: %s %s from %s (%s)\n", s.Role, s.Quantity, number(s.Value), s.Unit, s.From, s.Verdict())
	}
}

//go:embed capacity.md.tmpl
var text string

// write writes the page and the plots.
func (p *page) write() {
	t := template.Must(template.New("capacity").Funcs(template.FuncMap{"number": number}).Parse(text))
	out := report.Get(os.Create(flags.Page))
	report.Must(t.Execute(out, p))
	report.Must(out.Close())
	report.Must(os.RemoveAll(flags.Plots))
	report.Must(os.MkdirAll(flags.Plots, 0o755))
	for _, l := range p.Lines {
		l.plot(filepath.Join(flags.Plots, l.File()))
	}
}

// plot draws the measured points and the fitted line.
func (l Line) plot(file string) {
	p := plot.New()
	p.Title.Text = l.Role + ": " + l.Quantity
	p.X.Label.Text = l.Of
	p.Y.Label.Text = l.Unit
	points := make(plotter.XYs, len(l.X))
	for i := range l.X {
		points[i] = plotter.XY{X: l.X[i], Y: l.Y[i]}
	}
	fitted := plotter.NewFunction(l.At)
	fitted.Color = color.RGBA{R: 200, A: 255}
	p.Add(plotter.NewGrid(), report.Get(plotter.NewScatter(points)), fitted)
	p.Y.Min = min(0, p.Y.Min)
	report.Must(p.Save(14*vg.Centimeter, 8*vg.Centimeter, file))
}
