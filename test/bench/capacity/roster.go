package main

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/test/bench/internal/mesh"
	"github.com/lentilflow/lentilflow/test/bench/internal/report"
	"github.com/lentilflow/lentilflow/test/bench/internal/synthetic"
)

const (
	roleReceiver = "configuration receiver"
	roleZone     = "relay inside an availability zone"
	roleRegion   = "relay between regions"
	zoneLost     = "an availability zone lost"
)

// setup is one node in a synthetic fleet.
type setup struct{ roster, children, rules int }

// use is what the measured node of a setup used: idle, under sped-up changes
// and restarts, and while 400 entries became suspect and gone; join counts the
// control bytes since its start until then.
type use struct {
	idle, busy, loss mesh.NodeUsage
	join             float64
}

// scaled returns a value at the target's rates: the idle value and the part
// beyond it divided by the speedup.
func (u use) scaled(of func(mesh.NodeUsage) float64) float64 {
	return of(u.idle) + max(0, of(u.busy)-of(u.idle))/speedup
}

const lossTime = 4 * time.Second

// lost returns what the loss of a zone cost beyond the idle use.
func (u use) lost(of func(mesh.NodeUsage) float64) float64 {
	return max(0, of(u.loss)-of(u.idle)) * lossTime.Seconds()
}

// quantities of a node in a synthetic fleet.
var quantities = []struct {
	name, unit string
	limit      float64
	of         func(use) float64
}{
	{"processor, idle", "% of a core", 3.3, func(u use) float64 { return processor(u.idle) }},
	{"processor, changes and restarts of a day", "% of a core", 3.3, func(u use) float64 { return u.scaled(processor) }},
	{"control bytes, changes and restarts of a day", "B/s", 5000, func(u use) float64 { return u.scaled(bytesOf) }},
	{"memory, idle", "MB", 32, func(u use) float64 { return resident(u.idle) }},
	{"memory, 60 times the rates of a day", "MB", 32, func(u use) float64 { return resident(u.busy) }},
	{"processor time, 400 entries lost", "s", 0, func(u use) float64 { return u.lost(processor) / 100 }},
	{"control bytes, start", "B", 0, func(u use) float64 { return u.join }},
	{"control bytes, 400 entries lost", "B", 0, func(u use) float64 { return u.lost(bytesOf) }},
}

// rosterRoles measures one node with rosters, children and rules of several
// sizes, all at the same time.
func rosterRoles(p *page) {
	setups := []setup{
		{700, 0, 1000}, {1400, 0, 1000}, {2800, 0, 1000},
		{1400, 4, 1000}, {1400, 8, 1000}, {1400, 16, 1000},
		{1400, 0, 100}, {1400, 0, 5000},
	}
	results := make([]use, len(setups))
	report.Each(len(setups), len(setups), func(i int) { results[i] = setups[i].measure() })
	all := make(map[setup]use)
	for i, s := range setups {
		all[s] = results[i]
	}
	for _, q := range quantities {
		over := func(role, suffix, of string, target float64, x []float64, vary func(float64) setup) Line {
			var y []float64
			for _, v := range x {
				y = append(y, q.of(all[vary(v)]))
			}
			return p.line(Line{Role: role, Quantity: q.name + suffix, Unit: q.unit, Of: of, Target: target, Limit: q.limit}, x, y)
		}
		base := over(roleReceiver, "", "roster entries", nodes, []float64{700, 1400, 2800}, func(v float64) setup { return setup{int(v), 0, 1000} })
		over(roleReceiver, ", by rules", "rules", rules, []float64{100, 1000, 5000}, func(v float64) setup { return setup{1400, 0, int(v)} })
		child := over(roleZone, "", "children", fanOut, []float64{0, 4, 8, 16}, func(v float64) setup { return setup{1400, int(v), 1000} })
		for _, r := range []struct {
			role, from string
			children   float64
		}{
			{roleZone, "receiver at 2,800 entries + 8 children", fanOut},
			{roleRegion, "receiver at 2,800 entries + 8 children + 3 other zone roots", fanOut + zoneRoots},
			{rolePublisher, "receiver at 2,800 entries + 8 children + 3 other zone roots + 2 region roots", fanOut + zoneRoots + regions},
		} {
			p.Sums = append(p.Sums, Sum{Role: r.role, Quantity: q.name, Unit: q.unit, From: r.from, Limit: q.limit, Value: base.Derived() + r.children*child.Slope})
		}
	}
}

func (s setup) measure() (u use) {
	fleet := synthetic.NewFleet(s.roster, s.rules)
	defer fleet.Close()
	defer fleet.CloseClientConnections()
	m := mesh.Start(mesh.Config{
		Binary: flags.Binary, Zones: []model.Location{synthetic.Zone(0)}, Nodes: 1, Rules: mesh.Rules(s.rules, 0), Seeds: []string{fleet.Addr},
	})
	defer m.Stop()
	time.Sleep(joinTime / 2)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n := m.Nodes[0]
	fleet.Children(ctx, n.Peer, s.children)
	time.Sleep(joinTime / 2)
	state := report.Get(n.State())
	if ready := state.Roster[model.Ready.String()]; ready != s.roster+1 || len(state.Children) != s.children || state.Info.Number == 0 {
		report.Must(merry.Errorf("node has %d ready entries, %d children, version %d; wanted %+v", ready, len(state.Children), state.Info.Number, s))
	}
	u.join = n.ControlBytes()
	u.idle = m.Measure(func() { time.Sleep(runTime) }).Node[n.ID]
	u.busy = m.Measure(func() { churn(fleet) }).Node[n.ID]
	u.loss = m.Measure(func() {
		fleet.Lose(zoneNodes)
		time.Sleep(lossTime)
	}).Node[n.ID]
	return u
}

// churn sends changes and restarts at the sped-up rates of a day.
func churn(fleet *synthetic.Fleet) {
	edits, restarts := time.NewTicker(day/changesPerDay/speedup), time.NewTicker(day/restartsPerDay/speedup)
	defer edits.Stop()
	defer restarts.Stop()
	for end := time.After(runTime); ; {
		select {
		case <-end:
			return
		case <-edits.C:
			fleet.Edit()
		case <-restarts.C:
			fleet.Restart()
		}
	}
}
