package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// target is the bound of a figure; the zero value sets none.
type target struct {
	limit float64
	least bool // the value must be at least the limit, else at most
	set   bool
}

func atMost(x float64) target  { return target{limit: x, set: true} }
func atLeast(x float64) target { return target{limit: x, least: true, set: true} }

type figure struct {
	name, unit string
	target     target
	values     []float64
}

// figures collects values by name and prints their medians in the order in
// which the names came up.
type figures struct {
	out  io.Writer
	list []*figure
}

// add records one value. The unit and target of the last value count.
func (f *figures) add(name string, value float64, unit string, t target) {
	for _, known := range f.list {
		if known.name == name {
			known.values, known.target = append(known.values, value), t
			return
		}
	}
	f.list = append(f.list, &figure{name: name, unit: unit, target: t, values: []float64{value}})
}

// least records a value of which only the least is kept.
func (f *figures) least(name string, value float64, unit string) {
	f.add(name, value, unit, target{})
	for _, one := range f.list {
		if one.name == name {
			one.values = []float64{slices.Min(one.values)}
		}
	}
}

// flush prints and forgets the collected figures.
func (f *figures) flush() {
	for _, one := range f.list {
		fmt.Fprintf(f.out, "%s %.5g %s %s\n", one.name, median(one.values), one.unit, one.target.verdict(median(one.values)))
	}
	f.list = nil
}

// verdict returns the bound and whether the value is within it.
func (t target) verdict(value float64) string {
	sign, holds := "<=", value <= t.limit
	if t.least {
		sign, holds = ">=", value >= t.limit
	}
	switch {
	case !t.set:
		return "- -"
	case holds:
		return fmt.Sprintf("%s%.4g holds", sign, t.limit)
	default:
		return fmt.Sprintf("%s%.4g misses", sign, t.limit)
	}
}

// note prints a line that is not a figure.
func (f *figures) note(format string, args ...any) {
	fmt.Fprintln(f.out, "#", strings.TrimSpace(fmt.Sprintf(format, args...)))
}
