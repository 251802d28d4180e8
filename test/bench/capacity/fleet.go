package main

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/standin/platform"
	"github.com/lentilflow/lentilflow/test/bench/internal/mesh"
	"github.com/lentilflow/lentilflow/test/bench/internal/report"
)

const (
	roleStore  = "store"
	roleWriter = "roster writer"
	faultTime  = 15 * time.Second // longer than a lease and a silent stream
	fleetRules = 1000
)

// observed are the figures of a fleet of one size.
type observed struct {
	nodes                           float64
	reads, writes                   float64 // of the store, idle, a second
	rowBytes                        float64 // of the largest roster row
	zone                            float64 // nodes of the largest zone
	between                         float64 // bytes/s between regions, idle
	bytesMean, bytesMax             float64
	lostKnown                       float64 // seconds until all survivors know that a zone is lost
	lostBytes                       float64 // bytes of the busiest survivor meanwhile, beyond idle
	healTime, healBytes             float64 // after a parted region
	partReads                       float64 // store reads a second while parted
	downTime, downReads, downWrites float64 // recovery after, and requests a second during, an outage of the store
	restartTime, restartReads       float64 // all processes new
	restartWrites                   float64
}

// fleetRoles measures whole fleets of real processes.
func fleetRoles(ctx context.Context, f *flags, p *page) error {
	var all []observed
	for _, size := range f.Sizes {
		o, err := observe(ctx, f, size)
		if err != nil {
			return fmt.Errorf("%d nodes: %w", size, err)
		}
		all = append(all, o)
	}
	fleetLines(p, all)
	return nil
}

func observe(ctx context.Context, f *flags, size int) (observed, error) {
	o := observed{nodes: float64(size)}
	m, err := mesh.Start(ctx, mesh.Config{Binary: f.Binary, Zones: mesh.Zones(), Nodes: size, Rules: mesh.Rules(fleetRules, 0)})
	if err != nil {
		return o, err
	}
	defer m.Stop()
	time.Sleep(joinTime)
	idle, err := m.Measure(func() { time.Sleep(runTime) })
	if err != nil {
		return o, err
	}
	o.reads, o.writes, o.between = idle.Reads, idle.Writes, idle.Between
	s := report.Summarize(idle.Values(bytesOf))
	o.bytesMean, o.bytesMax = s.Mean, s.Max
	if err := o.row(ctx, m); err != nil {
		return o, err
	}
	for _, step := range []func(context.Context, *mesh.Mesh) error{o.storeDown, o.parted, o.zoneLost, o.allNew} {
		if err := step(ctx, m); err != nil {
			return o, err
		}
	}
	return o, nil
}

// row reads the size of the first zone's roster row.
func (o *observed) row(ctx context.Context, m *mesh.Mesh) error {
	zone := mesh.Zones()[0].AvailabilityZone
	row, err := m.Store.Rows.Get(ctx, "roster/"+string(zone))
	if err != nil {
		return err
	}
	o.rowBytes = float64(len(row.Value))
	for _, n := range m.Nodes {
		if n.Location.AvailabilityZone == zone {
			o.zone++
		}
	}
	return nil
}

// storeDown refuses all requests to the store and measures the time until a
// change written during the outage is in force everywhere after it.
func (o *observed) storeDown(ctx context.Context, m *mesh.Mesh) error {
	before := m.Store.Counters()
	m.Store.SetFaults(platform.Faults{Down: true})
	if err := m.Put(ctx, mesh.Rules(fleetRules, 1)); err != nil {
		return err
	}
	time.Sleep(faultTime)
	after := m.Store.Counters()
	m.Store.SetFaults(platform.Faults{})
	o.downReads = float64(after.Reads-before.Reads+after.Refused-before.Refused) / faultTime.Seconds()
	o.downWrites = float64(after.Writes-before.Writes) / faultTime.Seconds()
	return timed(ctx, m, &o.downTime, 2)
}

// parted cuts off a region, changes the rules, and measures time and bytes
// until the region agrees after the heal.
func (o *observed) parted(ctx context.Context, m *mesh.Mesh) error {
	reads := m.Store.Counters().Reads
	m.Peers.Part("litoral", true)
	m.Reads.Part("litoral", true)
	for i := range 3 {
		if err := m.Put(ctx, mesh.Rules(fleetRules, 2+i)); err != nil {
			return err
		}
		time.Sleep(faultTime / 3)
	}
	o.partReads = float64(m.Store.Counters().Reads-reads) / faultTime.Seconds()
	at, bytes := time.Now(), m.Peers.Bytes()
	m.Peers.Part("litoral", false)
	m.Reads.Part("litoral", false)
	if err := timed(ctx, m, &o.healTime, 5); err != nil {
		return err
	}
	time.Sleep(time.Until(at.Add(faultTime)))
	o.healBytes = max(0, float64(m.Peers.Bytes()-bytes)-o.between*time.Since(at).Seconds())
	return nil
}

// zoneLost kills a whole availability zone at once.
func (o *observed) zoneLost(ctx context.Context, m *mesh.Mesh) error {
	zone := mesh.Zones()[1].AvailabilityZone
	at := time.Now()
	u, err := m.Measure(func() {
		for _, n := range m.Nodes {
			if n.Location.AvailabilityZone == zone {
				n.Signal(syscall.SIGKILL)
			}
		}
		time.Sleep(faultTime)
	})
	if err != nil {
		return err
	}
	o.lostBytes = max(0, report.Summarize(u.Values(bytesOf)).Max-o.bytesMax) * faultTime.Seconds()
	if err := m.AwaitComplete(ctx, time.Minute); err != nil {
		return err
	}
	o.lostKnown = time.Since(at).Seconds()
	return nil
}

// allNew kills every process and starts them all at once.
func (o *observed) allNew(ctx context.Context, m *mesh.Mesh) error {
	for _, n := range m.Nodes {
		<-n.Signal(syscall.SIGKILL)
	}
	before := m.Store.Counters()
	at := time.Now()
	for _, n := range m.Nodes {
		if err := n.Start(); err != nil {
			return err
		}
	}
	if err := m.AwaitComplete(ctx, time.Minute); err != nil {
		return err
	}
	o.restartTime = time.Since(at).Seconds()
	after := m.Store.Counters()
	o.restartReads = float64(after.Reads - before.Reads)
	o.restartWrites = float64(after.Writes - before.Writes)
	return nil
}

func fleetLines(p *page, all []observed) {
	nodes := func(o observed) float64 { return o.nodes }
	add := func(role, quantity, unit, of string, target, limit float64, x, y func(observed) float64) Line {
		var xs, ys []float64
		for _, o := range all {
			xs, ys = append(xs, x(o)), append(ys, y(o))
		}
		return p.line(role, quantity, unit, of, target, limit, xs, ys)
	}
	add(roleStore, "reads, idle", "1/s", "live nodes", targetNodes, 2000, nodes, func(o observed) float64 { return o.reads })
	add(roleStore, "writes, idle", "1/s", "live nodes", targetNodes, 400, nodes, func(o observed) float64 { return o.writes })
	add(roleStore, "reads while all processes start", "reads", "live nodes", targetNodes, 0, nodes, func(o observed) float64 { return o.restartReads })
	add(roleStore, "writes while all processes start", "writes", "live nodes", targetNodes, 0, nodes, func(o observed) float64 { return o.restartWrites })
	zone := func(o observed) float64 { return o.zone }
	row := add(roleWriter, "size of the roster row", "B", "nodes of the zone", zoneNodes, 0, zone, func(o observed) float64 { return o.rowBytes })
	p.sum(roleWriter, "bytes to the store, one row each 5 s", "B/s", row.Derived()/5, 5000, "the row of 400 nodes at the highest rate of writes")
	p.sum(roleWriter, "bytes from the store, one row each 5 s", "B/s", row.Derived()/5, 0, "each write reads the row first")
	add("whole fleet", "control bytes of the mean node, idle", "B/s", "live nodes", targetNodes, 5000, nodes, func(o observed) float64 { return o.bytesMean })
	add("whole fleet", "control bytes of the busiest node, idle", "B/s", "live nodes", targetNodes, 5000, nodes, func(o observed) float64 { return o.bytesMax })
	add("whole fleet", "control bytes between regions, idle", "B/s", "live nodes", targetNodes, 0, nodes, func(o observed) float64 { return o.between })
	hours(p, all)
}

func hours(p *page, all []observed) {
	add := func(event, quantity, unit, of string, target float64, x, y func(observed) float64) {
		var xs, ys []float64
		for _, o := range all {
			xs, ys = append(xs, x(o)), append(ys, y(o))
		}
		l := Line{Target: target, Of: of, Fit: report.Line(xs, ys)}
		p.hour(event, quantity, unit, l.Measured(), fmt.Sprintf("%s at %g %s (slope %s, error %s)", number(l.Derived()), target, of, number(l.Slope), number(l.Error)))
	}
	nodes := func(o observed) float64 { return o.nodes }
	zone := func(o observed) float64 { return o.zone }
	add("availability zone lost", "until all survivors have taken it out", "s", "nodes lost", zoneNodes, zone, func(o observed) float64 { return o.lostKnown })
	add("availability zone lost", "bytes of the busiest survivor beyond idle", "B", "nodes lost", zoneNodes, zone, func(o observed) float64 { return o.lostBytes })
	add("regions parted, healed", "from the heal until all nodes agree", "s", "nodes", targetNodes, nodes, func(o observed) float64 { return o.healTime })
	add("regions parted, healed", "bytes between regions beyond idle after the heal, 3 changes missed", "B", "nodes", targetNodes, nodes, func(o observed) float64 { return o.healBytes })
	add("regions parted, healed", "store reads while parted", "1/s", "nodes", targetNodes, nodes, func(o observed) float64 { return o.partReads })
	add("store down", "requests while it is down", "1/s", "nodes", targetNodes, nodes, func(o observed) float64 { return o.downReads + o.downWrites })
	add("store down", "from its return until a change written meanwhile is in force everywhere", "s", "nodes", targetNodes, nodes, func(o observed) float64 { return o.downTime })
	add("all processes new at once", "until all nodes agree and have the version", "s", "nodes", targetNodes, nodes, func(o observed) float64 { return o.restartTime })
	add("all processes new at once", "store reads", "reads", "nodes", targetNodes, nodes, func(o observed) float64 { return o.restartReads })
}

// timed measures the time until all live nodes agree on version v or a higher
// one.
func timed(ctx context.Context, m *mesh.Mesh, into *float64, v model.Version) error {
	at := time.Now()
	if err := m.AwaitVersion(ctx, time.Minute, v); err != nil {
		return err
	}
	*into = time.Since(at).Seconds()
	return nil
}
