// Command distribution measures how fast and at which cost versions reach all
// nodes, and prints one line for each figure.
package main

import (
	"fmt"
	"time"

	"github.com/alecthomas/kong"

	"github.com/lentilflow/lentilflow/test/bench/internal/mesh"
	"github.com/lentilflow/lentilflow/test/bench/internal/report"
)

var flags struct {
	Binary  string `default:"bin/lentilflow" help:"Node binary."`
	Sizes   []int  `default:"18,60,180" help:"Numbers of nodes, one process each."`
	Rules   int    `default:"1000" help:"Rules in the file."`
	Changes int    `default:"8" help:"Changes of one rule whose time is measured."`
}

const (
	settle   = 6 * time.Second  // until joins and returns to the proper parent are over
	idleTime = 15 * time.Second // long enough for five lease renewals
	limit    = 20 * time.Second // for one version to be in force everywhere
	target   = 2800             // nodes in two years (docs/design.md, section 2)
)

// bench is one deployment under measurement.
type bench struct {
	*mesh.Mesh
	idle  mesh.Usage
	rules int  // in the file
	edits int  // of the file so far
	adds  bool // edits add a rule instead of changing one
}

func main() {
	kong.Parse(&flags)
	report.Main(func() {
		var x []float64
		var idle []mesh.Usage
		for _, size := range flags.Sizes {
			x = append(x, float64(size))
			idle = append(idle, measure(size))
		}
		if len(x) > 1 {
			slopes(x, idle)
		}
	})
}

// measure runs all steps with one number of nodes, one process each, in the
// three regions of Bertolucci, and returns the idle usage.
func measure(size int) mesh.Usage {
	b := &bench{rules: flags.Rules}
	b.Mesh = mesh.Start(mesh.Config{Binary: flags.Binary, Zones: mesh.Zones(), Nodes: size, Rules: mesh.Rules(b.rules, 0)})
	defer b.Stop()
	time.Sleep(settle)
	// The idle use is measured late, because nodes keep the parent that they
	// found at the start for up to 90 s.
	for _, step := range []func(){b.calm, b.heal, b.baselines, b.rest, b.busy, b.drain, b.dying} {
		step()
	}
	return b.idle
}

func (b *bench) rest() {
	var children []float64
	for _, n := range b.Nodes {
		children = append(children, float64(len(report.Get(n.State()).Children)))
	}
	report.Info(b.name("idle_children_max"), report.Max(children), "streams")
	b.idle = b.Measure(func() { time.Sleep(idleTime) })
	report.Info(b.name("idle_between_regions"), b.idle.Between*60, "B/min")
	report.Info(b.name("idle_store_between_regions"), b.idle.StoreBetween*60, "B/min")
	report.Info(b.name("idle_store_reads"), b.idle.Reads, "1/s")
	report.Info(b.name("idle_store_writes"), b.idle.Writes, "1/s")
	b.usage("idle", b.idle)
	b.memory("idle", b.idle)
}

// name adds the number of nodes to the name of a figure.
func (b *bench) name(text string) string { return fmt.Sprintf("%s_%d", text, len(b.Nodes)) }

func bytesOf(n mesh.NodeUsage) float64   { return n.Bytes }
func processor(n mesh.NodeUsage) float64 { return n.Processor }
func resident(n mesh.NodeUsage) float64  { return n.Resident }

// usage prints the figures of the mean node and of the busiest one.
func (b *bench) usage(when string, u mesh.Usage) {
	b.both(when+"_node_bytes", "B/s", 5000, u.Values(bytesOf))
	b.both(when+"_processor", "%core", 3.3, u.Values(processor))
}

func (b *bench) memory(when string, u mesh.Usage) {
	b.both(when+"_memory", "MB", 32, u.Values(resident))
}

func (b *bench) both(name, unit string, most float64, values []float64) {
	report.Most(b.name(name+"_mean"), report.Mean(values), unit, most)
	report.Most(b.name(name+"_max"), report.Max(values), unit, most)
}

// slopes prints what grows with the number of nodes, and its value at target
// by the fitted line (derived, not measured).
func slopes(x []float64, idle []mesh.Usage) {
	for _, one := range []struct {
		name, unit string
		most       float64
		of         func(mesh.Usage) float64
	}{
		{"node_bytes_mean", "B/s", 5000, func(u mesh.Usage) float64 { return report.Mean(u.Values(bytesOf)) }},
		{"node_bytes_max", "B/s", 5000, func(u mesh.Usage) float64 { return report.Max(u.Values(bytesOf)) }},
		{"store_reads", "1/s", 2000, func(u mesh.Usage) float64 { return u.Reads }},
		{"store_writes", "1/s", 400, func(u mesh.Usage) float64 { return u.Writes }},
	} {
		var y []float64
		for _, u := range idle {
			y = append(y, one.of(u))
		}
		f := report.Line(x, y)
		report.Info("idle_"+one.name+"_slope", f.Slope, one.unit+"/node")
		report.Most(fmt.Sprintf("derived_idle_%s_%d", one.name, target), f.At(target), one.unit, one.most)
	}
}
