package main

import (
	"context"
	"slices"
	"time"

	"github.com/lentilflow/lentilflow/pkg/standin/platform"
	"github.com/lentilflow/lentilflow/test/bench/internal/mesh"
	"github.com/lentilflow/lentilflow/test/bench/internal/report"
)

const (
	faultTime  = 12 * time.Second // longer than a lease and a silent stream
	returnTime = 50 * time.Second
)

// observation is one figure of a fleet, with what it depends on.
type observation struct {
	Line
	x, y float64
}

// observed collects the figures of a fleet of one size.
type observed struct {
	*mesh.Mesh
	zone float64 // nodes of the first zone
	all  []observation
}

// fleetRoles measures whole fleets of real processes and fits a line through
// each figure.
func fleetRoles(p *page) {
	sizes := make([][]observation, len(flags.Sizes))
	report.Each(len(sizes), len(sizes), func(i int) { sizes[i] = observe(flags.Sizes[i]) })
	for i, o := range sizes[0] {
		var x, y []float64
		for _, s := range sizes {
			x, y = append(x, s[i].x), append(y, s[i].y)
		}
		p.line(o.Line, x, y)
	}
	row := p.LinesOf("roster writer")[0].Derived()
	p.Sums = append(p.Sums, Sum{Role: "roster writer", Quantity: "bytes to and from the store, one row each 5 s", Unit: "B/s", From: "each write reads the row first", Value: 2 * row / 5, Limit: 5000})
}

func observe(size int) []observation {
	o := &observed{Mesh: mesh.Start(mesh.Config{Binary: flags.Binary, Zones: mesh.Zones(), Nodes: size, Rules: mesh.Rules(rules, 0)})}
	defer o.Stop()
	o.zone = float64((size + len(mesh.Zones()) - 1) / len(mesh.Zones()))
	time.Sleep(joinTime)
	o.storeDown()
	healed := o.partitioned()
	// Nodes keep the parent that they found at the start for up to 90 s.
	time.Sleep(returnTime)
	idle := o.Measure(func() { time.Sleep(runTime) })
	o.add("store", "reads, idle", "1/s", 2000, idle.Reads)
	o.add("store", "writes, idle", "1/s", 400, idle.Writes)
	o.add("whole fleet", "control bytes of the mean node, idle", "B/s", 5000, report.Mean(idle.Values(bytesOf)))
	o.add("whole fleet", "control bytes of the busiest node, idle", "B/s", 5000, report.Max(idle.Values(bytesOf)))
	children := 0
	for _, n := range o.Nodes {
		children = max(children, len(report.Get(n.State()).Children))
	}
	o.add("whole fleet", "most children of a node, 60 s after a partition", "streams", 64, float64(children))
	o.add("whole fleet", "bytes between regions, idle", "B/s", 0, idle.Between)
	row := report.Get(o.Store.Rows.Get(context.Background(), "roster/"+string(mesh.Zones()[0].AvailabilityZone)))
	o.addZone("roster writer", "size of the roster row", "B", float64(len(row.Value)))
	o.add("regions partitioned", "bytes between regions in 12 s after the heal beyond idle", "B", 0, max(0, healed-idle.Between*faultTime.Seconds()))
	o.zoneLost(idle)
	o.allNew()
	return o.all
}

func (o *observed) add(role, quantity, unit string, limit, value float64) {
	l := Line{Role: role, Quantity: quantity, Unit: unit, Limit: limit, Of: "nodes", Target: nodes}
	o.all = append(o.all, observation{l, float64(len(o.Nodes)), value})
}

// addZone adds a figure that depends on the nodes of a zone.
func (o *observed) addZone(role, quantity, unit string, value float64) {
	l := Line{Role: role, Quantity: quantity, Unit: unit, Of: "nodes of the zone", Target: zoneNodes}
	o.all = append(o.all, observation{l, o.zone, value})
}

// storeDown refuses all requests to the store and measures the time until a
// change written meanwhile is in force everywhere after it.
func (o *observed) storeDown() {
	before := o.Store.Counters()
	o.Store.SetFaults(platform.Faults{Down: true})
	o.Put(mesh.Rules(rules, 1))
	time.Sleep(faultTime)
	after := o.Store.Counters()
	o.Store.SetFaults(platform.Faults{})
	o.add("store down", "requests while it is down", "1/s", 0, float64(after.Refused-before.Refused)/faultTime.Seconds())
	o.add("store down", "from its return until a change is in force everywhere", "s", 0, o.Await(2).Seconds())
}

// partitioned cuts off a region, changes the rules three times, measures the time
// until the region agrees after the heal, and returns the bytes between regions
// in faultTime after it.
func (o *observed) partitioned() float64 {
	reads := o.Store.Counters().Reads
	o.Peers.Part("litoral", true)
	o.Reads.Part("litoral", true)
	for i := range 3 {
		o.Put(mesh.Rules(rules, 2+i))
		time.Sleep(faultTime / 3)
	}
	o.add("regions partitioned", "store reads while partitioned", "1/s", 0, float64(o.Store.Counters().Reads-reads)/faultTime.Seconds())
	version := o.Accepted()
	at, bytes := time.Now(), o.Peers.Bytes()
	o.Peers.Part("litoral", false)
	o.Reads.Part("litoral", false)
	o.add("regions partitioned", "from the heal until all agree", "s", 0, o.Await(version).Seconds())
	time.Sleep(time.Until(at.Add(faultTime)))
	return o.Peers.Bytes() - bytes
}

// zoneLost kills a whole availability zone at once.
func (o *observed) zoneLost(idle mesh.Usage) {
	zone := mesh.Zones()[1].AvailabilityZone
	dead := slices.DeleteFunc(slices.Clone(o.Nodes), func(n *mesh.Node) bool { return n.Location.AvailabilityZone != zone })
	at, known := time.Now(), time.Duration(0)
	u := o.Measure(func() {
		mesh.Kill(dead)
		o.Await(1)
		known = time.Since(at)
		time.Sleep(time.Until(at.Add(faultTime)))
	})
	o.addZone(zoneLost, "until no survivor has an entry of it as ready", "s", known.Seconds())
	extra := max(0, report.Max(u.Values(bytesOf))-report.Max(idle.Values(bytesOf)))
	o.addZone(zoneLost, "control bytes of the busiest survivor beyond idle", "B", extra*faultTime.Seconds())
}

// allNew kills every process and starts them all at once.
func (o *observed) allNew() {
	mesh.Kill(o.Alive())
	before, at := o.Store.Counters(), time.Now()
	for _, n := range o.Nodes {
		n.Start()
	}
	o.Await(1)
	after := o.Store.Counters()
	o.add("all processes new", "until all agree", "s", 0, time.Since(at).Seconds())
	o.add("all processes new", "store reads", "reads", 0, float64(after.Reads-before.Reads))
	o.add("all processes new", "store writes", "writes", 0, float64(after.Writes-before.Writes))
}
