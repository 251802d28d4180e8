package main

import (
	"github.com/lentilflow/lentilflow/test/bench/internal/mesh"
	"github.com/lentilflow/lentilflow/test/bench/internal/report"
)

// target is the number of nodes in two years (docs/design.md, section 2).
const target = 2800

// slopes prints what grows with the number of nodes, and its value at target
// by the fitted line (derived, not measured).
func slopes(all []sized, figures *report.Figures) {
	if len(all) < 2 {
		return
	}
	var x []float64
	for _, s := range all {
		x = append(x, float64(s.nodes))
	}
	line := func(of func(mesh.Usage) float64) report.Fit {
		var y []float64
		for _, s := range all {
			y = append(y, of(s.idle))
		}
		return report.Line(x, y)
	}
	bytes := func(u mesh.Usage) report.Summary {
		return report.Summarize(u.Values(func(n mesh.NodeUsage) float64 { return n.Bytes }))
	}
	mean := line(func(u mesh.Usage) float64 { return bytes(u).Mean })
	busiest := line(func(u mesh.Usage) float64 { return bytes(u).Max })
	reads := line(func(u mesh.Usage) float64 { return u.Reads })
	writes := line(func(u mesh.Usage) float64 { return u.Writes })
	figures.Info("node_bytes_mean_slope", mean.Slope, "B/s/node")
	figures.Info("node_bytes_max_slope", busiest.Slope, "B/s/node")
	figures.Most("derived_node_bytes_mean_2800", mean.At(target), "B/s", 5000)
	figures.Most("derived_node_bytes_max_2800", busiest.At(target), "B/s", 5000)
	figures.Info("store_reads_slope", reads.Slope, "1/s/node")
	figures.Info("store_writes_slope", writes.Slope, "1/s/node")
	figures.Most("derived_store_reads_2800", reads.At(target), "1/s", 2000)
	figures.Most("derived_store_writes_2800", writes.At(target), "1/s", 400)
}
