package main

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/test/bench/internal/mesh"
	"github.com/lentilflow/lentilflow/test/bench/internal/synthetic"
)

const (
	joinTime = 8 * time.Second
	runTime  = 15 * time.Second
	// speedup shortens a day of changes and restarts, so that runTime holds 30
	// changes and 8 restarts.
	speedup = 60
	lost    = zoneNodes
)

// setup is one node in a synthetic fleet.
type setup struct{ roster, children, rules int }

// usage is what the measured node of a setup used.
type usage struct {
	idle, busy mesh.NodeUsage
	lossCPU    float64 // seconds of processor time when a zone was lost
	lossBytes  float64
}

// scaled returns a value at the target's rates: the idle value and the part
// beyond it divided by the speedup.
func (u usage) scaled(of func(mesh.NodeUsage) float64) float64 {
	return of(u.idle) + max(0, of(u.busy)-of(u.idle))/speedup
}

func processor(n mesh.NodeUsage) float64 { return n.Processor * 100 }
func bytesOf(n mesh.NodeUsage) float64   { return n.Bytes }
func resident(n mesh.NodeUsage) float64  { return n.Resident / 1e6 }

// rosterRoles measures one node with rosters, children and rules of several
// sizes.
func rosterRoles(ctx context.Context, f *flags, p *page) error {
	all := map[setup]usage{}
	setups := []setup{
		{280, 0, 1000}, {1400, 0, 1000}, {2800, 0, 1000},
		{1400, 4, 1000}, {1400, 8, 1000}, {1400, 16, 1000},
		{1400, 0, 100}, {1400, 0, 5000},
	}
	results := make([]usage, len(setups))
	var g errgroup.Group
	g.SetLimit(len(setups))
	for i, s := range setups {
		g.Go(func() (err error) {
			results[i], err = measureSetup(ctx, f, s)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	for i, s := range setups {
		all[s] = results[i]
	}
	receiver(p, all)
	return nil
}

func measureSetup(ctx context.Context, f *flags, s setup) (u usage, err error) {
	fleet, err := synthetic.NewFleet(s.roster, s.rules)
	if err != nil {
		return u, err
	}
	defer fleet.Close()
	m, err := mesh.Start(ctx, mesh.Config{
		Binary: f.Binary, Zones: synthetic.Zones()[:1], Nodes: 1, Rules: mesh.Rules(s.rules, 0), Seeds: []string{fleet.Address()},
	})
	if err != nil {
		return u, err
	}
	defer m.Stop()
	time.Sleep(joinTime / 2)
	n := m.Nodes[0]
	cctx, cancel := context.WithCancel(ctx)
	children := fleet.Children(cctx, n.Peer, s.children)
	defer children.Wait()
	defer cancel()
	time.Sleep(joinTime / 2)
	if err := ready(n, s); err != nil {
		return u, err
	}
	of := func(during func()) (mesh.NodeUsage, error) {
		all, err := m.Measure(during)
		return all.Node[n.ID], err
	}
	if u.idle, err = of(func() { time.Sleep(runTime) }); err != nil {
		return u, err
	}
	if u.busy, err = of(func() { err = busy(fleet) }); err != nil {
		return u, err
	}
	if s.roster < 2*lost {
		return u, err
	}
	const lossTime = 3 * time.Second
	loss, err := of(func() {
		fleet.Lose(lost)
		time.Sleep(lossTime)
	})
	u.lossCPU = max(0, loss.Processor-u.idle.Processor) * lossTime.Seconds()
	u.lossBytes = max(0, loss.Bytes-u.idle.Bytes) * lossTime.Seconds()
	return u, err
}

// ready checks that the node has taken the place that the setup wants.
func ready(n *mesh.Node, s setup) error {
	state, err := n.State()
	if err != nil {
		return err
	}
	if state.Roster[model.Ready.String()] != s.roster+1 || len(state.Children) != s.children || state.Info.Number == 0 {
		return errSetup(state, s)
	}
	return nil
}

// busy sends changes and restarts at the sped-up rates of a day.
func busy(fleet *synthetic.Fleet) error {
	edits := time.NewTicker(daySeconds * time.Second / changesPerDay / speedup)
	defer edits.Stop()
	restarts := time.NewTicker(daySeconds * time.Second / restartsPerDay / speedup)
	defer restarts.Stop()
	end := time.After(runTime)
	for {
		select {
		case <-end:
			return nil
		case <-edits.C:
			if err := fleet.Edit(); err != nil {
				return err
			}
		case <-restarts.C:
			fleet.Restart()
		}
	}
}

const (
	roleReceiver = "configuration receiver"
	roleZone     = "relay inside an availability zone"
	roleRegion   = "relay between regions"
)

// receiver adds the lines over the roster, the children and the rules, and the
// sums for the relays.
func receiver(p *page, all map[setup]usage) {
	over := func(role, quantity, unit, of string, target, limit float64, vary func(float64) setup, x []float64, value func(usage) float64) Line {
		var y []float64
		for _, v := range x {
			y = append(y, value(all[vary(v)]))
		}
		return p.line(role, quantity, unit, of, target, limit, x, y)
	}
	rosters := func(v float64) setup { return setup{int(v), 0, 1000} }
	children := func(v float64) setup { return setup{1400, int(v), 1000} }
	rules := func(v float64) setup { return setup{1400, 0, int(v)} }
	xr, xc, xu := []float64{280, 1400, 2800}, []float64{0, 4, 8, 16}, []float64{100, 1000, 5000}
	for _, q := range []struct {
		name, unit string
		limit      float64
		value      func(usage) float64
	}{
		{"processor, idle", "% of a core", 3.3, func(u usage) float64 { return processor(u.idle) }},
		{"processor, changes and restarts of a day", "% of a core", 3.3, func(u usage) float64 { return u.scaled(processor) }},
		{"control bytes", "B/s", 5000, func(u usage) float64 { return u.scaled(bytesOf) }},
		{"memory, idle", "MB", 32, func(u usage) float64 { return resident(u.idle) }},
		{"memory, 60 times the rates of a day", "MB", 0, func(u usage) float64 { return resident(u.busy) }},
	} {
		base := over(roleReceiver, q.name, q.unit, "roster entries", targetNodes, q.limit, rosters, xr, q.value)
		over(roleReceiver, q.name+", by rules", q.unit, "rules", 1000, q.limit, rules, xu, q.value)
		slope := over(roleZone, q.name, q.unit, "children", fanOut, q.limit, children, xc, q.value)
		at := func(n float64) float64 { return base.At(targetNodes) + n*slope.Slope }
		p.sum(roleZone, q.name, q.unit, at(fanOut), q.limit, "receiver at 2,800 entries + 8 children")
		p.sum(roleRegion, q.name, q.unit, at(fanOut+3), q.limit, "receiver at 2,800 entries + 8 children + 3 other zone roots")
		p.sum(rolePublisher, q.name+", without acceptance", q.unit, at(fanOut+3+2), q.limit, "receiver at 2,800 entries + 8 children + 3 other zone roots + 2 region roots")
	}
	big := all[setup{2800, 0, 1000}]
	p.hour("availability zone lost", "processor time of one node for 400 entries that become suspect and gone", "s", number(big.lossCPU)+" (roster 2,800)", "the same at the target")
	relay := all[setup{1400, 8, 1000}]
	p.hour("availability zone lost", "control bytes of a relay with 8 children for these 400 entries", "B", number(relay.lossBytes)+" (roster 1,400)", "the same at the target")
}
