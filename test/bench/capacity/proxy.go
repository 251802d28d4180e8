package main

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/test/bench/internal/mesh"
	"github.com/lentilflow/lentilflow/test/bench/internal/report"
)

const (
	roleProxy = "proxy"
	callTime  = 6 * time.Second
)

// proxyRole measures two nodes of one zone: calls that the first one answers
// from its own upstream, and calls that it sends to the second one.
func proxyRole(p *page) {
	m := mesh.Start(mesh.Config{Binary: flags.Binary, Zones: mesh.Zones()[:1], Nodes: 2, Rules: mesh.Rules(rules, 0)})
	defer m.Stop()
	time.Sleep(joinTime / 2)
	ways := []struct {
		name string
		rule int // of the called service; node 0 takes the calls
		node int // that is measured
	}{{"call to the own upstream", 0, 0}, {"call to another node, where it is taken", 1, 0}, {"call to another node, where it runs", 1, 1}}
	x, cpu, allocations := make([][]float64, len(ways)), make([][]float64, len(ways)), make([][]float64, len(ways))
	for _, rate := range []float64{60, 240, 960} {
		for rule := range 2 {
			reached, u := callRate(m, rule, rate)
			for i, w := range ways {
				if n := u.Node[m.Nodes[w.node].ID]; w.rule == rule {
					x[i], cpu[i], allocations[i] = append(x[i], reached), append(cpu[i], n.Processor), append(allocations[i], n.Allocations)
				}
			}
		}
	}
	var lines []Line
	for i, w := range ways {
		lines = append(lines, p.line(Line{Role: roleProxy, Quantity: "processor, " + w.name, Unit: "% of a core", Of: "calls/s", Target: calls}, x[i], cpu[i]))
		p.line(Line{Role: roleProxy, Quantity: "allocations, " + w.name, Unit: "1/s", Of: "calls/s", Target: calls}, x[i], allocations[i])
	}
	for name, rate := range map[string]float64{
		"57 calls/s taken and 57 run, each at another node; 160,000 calls/s count every level of depth": calls,
		"400 calls/s taken and 400 run; 160,000 calls/s count the first of 7 levels":                    7 * calls,
	} {
		p.Sums = append(p.Sums, Sum{Role: roleProxy, Quantity: "processor, idle use twice included", Unit: "% of a core", From: name, Value: lines[1].At(rate) + lines[2].At(rate)})
	}
}

// callRate sends calls at a rate through the first node and returns the rate
// reached and the usage.
func callRate(m *mesh.Mesh, rule int, rate float64) (float64, mesh.Usage) {
	var done, failed int64
	u := m.Measure(func() {
		stop := make(chan struct{})
		time.AfterFunc(callTime, func() { close(stop) })
		done, failed = m.Nodes[0].Load(rule, rate, stop)
	})
	if failed > 0 {
		report.Must(merry.Errorf("%d of %d calls at %.0f/s failed", failed, done+failed, rate))
	}
	return float64(done) / callTime.Seconds(), u
}
