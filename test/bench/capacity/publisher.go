package main

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/test/bench/internal/mesh"
	"github.com/lentilflow/lentilflow/test/bench/internal/report"
)

const rolePublisher = "publisher"

// acceptance is the cost of one accepted change.
type acceptance struct{ processor, memory, reads, writes float64 }

// publisherRole measures one node that accepts changes of files of several
// sizes.
func publisherRole(p *page) {
	sizes := []float64{100, 1000, 5000}
	all := make([]acceptance, len(sizes))
	report.Each(len(sizes), len(sizes), func(i int) { all[i] = accept(int(sizes[i])) })
	for _, q := range []struct {
		name, unit   string
		of           func(acceptance) float64
		daily, limit float64 // factor from one change to a second at the rate of a day
		unitDaily    string
	}{
		{"processor time for one accepted change", "ms", func(a acceptance) float64 { return a.processor }, 0.1, 3.3, "% of a core"},
		{"memory with a change every 0.7 s", "MB", func(a acceptance) float64 { return a.memory }, 0, 32, ""},
		{"store reads for one accepted change", "reads", func(a acceptance) float64 { return a.reads }, 1, 2000, "1/s"},
		{"store writes for one accepted change", "writes", func(a acceptance) float64 { return a.writes }, 1, 400, "1/s"},
	} {
		var y []float64
		for _, a := range all {
			y = append(y, q.of(a))
		}
		l := Line{Role: rolePublisher, Quantity: q.name, Unit: q.unit, Of: "rules", Target: rules}
		if q.daily == 0 {
			l.Limit = q.limit
		}
		if l = p.line(l, sizes, y); q.daily > 0 {
			p.Sums = append(p.Sums, Sum{Role: rolePublisher, Quantity: q.name + ", 2,900 a day", Unit: q.unitDaily, From: "1,000 rules",
				Value: l.Derived() * q.daily * changesPerDay / day.Seconds(), Limit: q.limit})
		}
	}
}

// accept measures a publisher that is alone, idle and then with a change every
// 0.7 s, because it looks at the file every 0.5 s.
func accept(rules int) acceptance {
	m := mesh.Start(mesh.Config{Binary: flags.Binary, Zones: mesh.Zones()[:1], Nodes: 1, Rules: mesh.Rules(rules, 0)})
	defer m.Stop()
	time.Sleep(joinTime / 2)
	n := m.Nodes[0]
	idle := m.Measure(func() { time.Sleep(runTime) })
	before := report.Get(n.State()).Info.Number
	busy := m.Measure(func() {
		end := time.Now().Add(runTime)
		for i := 1; time.Now().Before(end); i++ {
			m.Put(mesh.Rules(rules, i))
			time.Sleep(700 * time.Millisecond)
		}
	})
	changes := float64(report.Get(n.State()).Info.Number-before) / runTime.Seconds()
	if changes == 0 {
		report.Must(merry.Errorf("no change of %d rules was accepted", rules))
	}
	return acceptance{
		processor: (busy.Node[n.ID].Processor - idle.Node[n.ID].Processor) * 10 / changes, memory: resident(busy.Node[n.ID]),
		reads: (busy.Reads - idle.Reads) / changes, writes: (busy.Writes - idle.Writes) / changes,
	}
}
