package main

import (
	"fmt"
	"io"
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

// flush prints and forgets the collected figures.
func (f *figures) flush() {
	for _, one := range f.list {
		value := median(one.values)
		bound, verdict := "-", "-"
		if t := one.target; t.set {
			bound, verdict = fmt.Sprintf("<=%.4g", t.limit), "misses"
			if t.least {
				bound = fmt.Sprintf(">=%.4g", t.limit)
			}
			if t.least && value >= t.limit || !t.least && value <= t.limit {
				verdict = "holds"
			}
		}
		fmt.Fprintf(f.out, "%s %.5g %s %s %s\n", one.name, value, one.unit, bound, verdict)
	}
	f.list = nil
}

// note prints a line that is not a figure.
func (f *figures) note(format string, args ...any) {
	fmt.Fprintln(f.out, "#", strings.TrimSpace(fmt.Sprintf(format, args...)))
}
