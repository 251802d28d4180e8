package main

import (
	_ "embed"
	"fmt"
	"image/color"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/template"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/lentilflow/lentilflow/test/bench/internal/report"
)

// The target of section 2 of the design page.
const (
	targetNodes    = 2800
	targetZones    = 7
	targetCalls    = 160000 // a second
	zoneNodes      = targetNodes / targetZones
	fanOut         = 8
	changesPerDay  = 2900
	restartsPerDay = 720
	daySeconds     = 86400
)

// Line is one measured quantity of a role with its fitted line.
type Line struct {
	Role, Quantity, Unit string
	Of                   string  // what the slope is over
	Target               float64 // value of Of at the target
	Limit                float64 // 0 if there is none
	report.Fit
}

// Derived returns the value at the target by the fitted line.
func (l Line) Derived() float64 { return l.At(l.Target) }

// Measured lists the measured points.
func (l Line) Measured() string {
	var out []string
	for i := range l.X {
		out = append(out, fmt.Sprintf("%s at %s", number(l.Y[i]), number(l.X[i])))
	}
	return strings.Join(out, ", ")
}

// Verdict compares the derived value with the limit.
func (l Line) Verdict() string { return verdict(l.Derived(), l.Limit) }

// File is the name of the plot.
func (l Line) File() string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= '0' && r <= '9' {
			return r
		}
		return '-'
	}, strings.ToLower(l.Role+" "+l.Quantity)) + ".svg"
}

// Sum is a value at the target that adds several lines.
type Sum struct {
	Role, Quantity, Unit, From string
	Value, Limit               float64
}

// Verdict compares the value with the limit.
func (s Sum) Verdict() string { return verdict(s.Value, s.Limit) }

// Hour is one figure about a worst hour.
type Hour struct {
	Event, Quantity, Unit string
	Measured              string
	Derived               string
}

// page collects what the template shows.
type page struct {
	Lines []Line
	Sums  []Sum
	Hours []Hour
}

func (p *page) line(role, quantity, unit, of string, target, limit float64, x, y []float64) Line {
	l := Line{Role: role, Quantity: quantity, Unit: unit, Of: of, Target: target, Limit: limit, Fit: report.Line(x, y)}
	p.Lines = append(p.Lines, l)
	return l
}

func (p *page) sum(role, quantity, unit string, value, limit float64, from string) {
	p.Sums = append(p.Sums, Sum{Role: role, Quantity: quantity, Unit: unit, Value: value, Limit: limit, From: from})
}

func (p *page) hour(event, quantity, unit, measured, derived string) {
	p.Hours = append(p.Hours, Hour{Event: event, Quantity: quantity, Unit: unit, Measured: measured, Derived: derived})
}

// Of returns the lines of a role.
func (p *page) Of(role string) []Line {
	var out []Line
	for _, l := range p.Lines {
		if l.Role == role {
			out = append(out, l)
		}
	}
	return out
}

// SumsOf returns the sums of a role.
func (p *page) SumsOf(role string) []Sum {
	var out []Sum
	for _, s := range p.Sums {
		if s.Role == role {
			out = append(out, s)
		}
	}
	return out
}

func (p *page) print(w io.Writer) {
	for _, l := range p.Lines {
		fmt.Fprintf(w, "%s: %s (%s): %s; slope %s per %s, intercept %s, error %s; derived at %s: %s (%s)\n", l.Role, l.Quantity, l.Unit,
			l.Measured(), number(l.Slope), l.Of, number(l.Intercept), number(l.Error), number(l.Target), number(l.Derived()), l.Verdict())
	}
	for _, s := range p.Sums {
		fmt.Fprintf(w, "%s: %s derived %s %s (%s) from %s\n", s.Role, s.Quantity, number(s.Value), s.Unit, s.Verdict(), s.From)
	}
	for _, h := range p.Hours {
		fmt.Fprintf(w, "%s: %s (%s): %s; derived: %s\n", h.Event, h.Quantity, h.Unit, h.Measured, h.Derived)
	}
}

func verdict(value, limit float64) string {
	switch {
	case limit == 0:
		return "no limit stated"
	case value <= limit:
		return fmt.Sprintf("holds, limit %s", number(limit))
	default:
		return fmt.Sprintf("**misses**, limit %s", number(limit))
	}
}

func number(v float64) string { return fmt.Sprintf("%.4g", v) }

//go:embed capacity.md.tmpl
var text string

// write writes the page and the plots.
func (p *page) write(f *flags) error {
	t, err := template.New("capacity").Funcs(template.FuncMap{"number": number, "minus1": func(n int) int { return n - 1 }}).Parse(text)
	if err != nil {
		return err
	}
	out, err := os.Create(f.Page)
	if err != nil {
		return err
	}
	defer out.Close()
	if err := t.Execute(out, p); err != nil {
		return err
	}
	if err := os.MkdirAll(f.Plots, 0o755); err != nil {
		return err
	}
	for _, l := range p.Lines {
		if err := l.plot(filepath.Join(f.Plots, l.File())); err != nil {
			return err
		}
	}
	return out.Close()
}

// plot draws the measured points and the fitted line.
func (l Line) plot(file string) error {
	p := plot.New()
	p.Title.Text = l.Role + ": " + l.Quantity
	p.X.Label.Text = l.Of
	p.Y.Label.Text = l.Unit
	p.Y.Min = 0
	points := make(plotter.XYs, len(l.X))
	for i := range l.X {
		points[i] = plotter.XY{X: l.X[i], Y: l.Y[i]}
	}
	marks, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	fitted := plotter.NewFunction(l.At)
	fitted.Color = color.RGBA{R: 200, A: 255}
	p.Add(plotter.NewGrid(), marks, fitted)
	return p.Save(12*vg.Centimeter, 8*vg.Centimeter, file)
}
