package play

import (
	"slices"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// play is one run of a pattern.
type play struct {
	pattern *Pattern
	policy  Policy
	clock   *clock
	nodes   []*node
	zones   [][]*node // nodes by zone
	entries map[string][]model.UpstreamNode
	targets map[string][]*node // in the order of the entries
	record  record
}

// Run plays a pattern under a policy. The same arguments give the same result.
func Run(p Pattern, policy Policy, seed uint64) Result {
	g := &play{
		pattern: &p, policy: policy, clock: newClock(seed), zones: make([][]*node, p.Zones),
		entries: make(map[string][]model.UpstreamNode), targets: make(map[string][]*node), record: newRecord(&p),
	}
	for zone := range p.Zones {
		for i := range p.Services {
			s := &p.Services[i]
			for index := range s.PerZone {
				n := newNode(g, s, zone, index)
				g.nodes = append(g.nodes, n)
				g.zones[zone] = append(g.zones[zone], n)
				g.entries[s.Name] = append(g.entries[s.Name], n.entry)
				g.targets[s.Name] = append(g.targets[s.Name], n)
			}
		}
	}
	for i := range p.Kinds {
		for zone := range p.Zones {
			if k := &p.Kinds[i]; k.Rate > 0 {
				g.arrivals(k, zone)
			}
		}
	}
	g.clock.run()
	return g.record.result()
}

// arrivals lets callers of a zone come, at random times.
func (g *play) arrivals(k *Kind, zone int) {
	rate := g.pattern.rate(k, zone, g.clock.now)
	if rate < 0.1 { // a wave may reach zero
		rate = 0.1
	}
	g.clock.after(time.Duration(g.clock.rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		if g.clock.now >= g.pattern.Length {
			return
		}
		r := &request{play: g, kind: k, zone: zone, began: g.clock.now}
		r.send()
		g.arrivals(k, zone)
	})
}

// request is what a caller wants, over all its attempts.
type request struct {
	play    *play
	kind    *Kind
	zone    int
	began   time.Duration
	repeats int
}

func (r *request) send() {
	g := r.play
	g.clock.after(clientWay, func() {
		nodes := g.zones[r.zone]
		n := nodes[g.clock.rnd.IntN(len(nodes))]
		if down, _, _ := n.fault(); down {
			g.clock.after(clientWay, func() { r.failed(notRun(model.UpstreamUnreachable)) })
			return
		}
		n.take(r.kind, r.began+r.kind.Deadline, func(f *refusal) {
			g.clock.after(clientWay, func() {
				if f == nil {
					g.record.add(r, g.clock.now-r.began)
					return
				}
				r.failed(f)
			})
		})
	})
}

// failed sends a request again if its caller may.
func (r *request) failed(f *refusal) {
	g := r.play
	left := r.began + r.kind.Deadline - g.clock.now
	if r.repeats >= g.pattern.Repeats || left <= 0 || !r.kind.Idempotent && f.run != model.NotRun {
		g.record.add(r, 0)
		return
	}
	r.repeats++
	wait := plainRetry
	if f.retryAfter > 0 {
		wait = f.retryAfter
	}
	if g.pattern.AtOnce {
		wait = 0
	}
	g.clock.after(min(wait, time.Duration(maxRetry*float64(left))), r.send)
}

// tally is what a group of requests earned.
type tally struct{ owed, earned, asked, served float64 }

func (t *tally) share() float64 {
	if t.owed == 0 {
		return 1
	}
	return t.earned / t.owed
}

// windowLength is the length of the windows of which the worst two count.
const windowLength = 2 * time.Second

// record collects the outcomes of requests.
type record struct {
	kinds   map[string]*tally
	zones   []tally
	windows []tally
	whole   tally
}

func newRecord(p *Pattern) record {
	return record{
		kinds: make(map[string]*tally), zones: make([]tally, p.Zones),
		windows: make([]tally, (p.Length+windowLength-1)/windowLength),
	}
}

// add notes the outcome of a request; took is 0 if it was not served.
func (c *record) add(r *request, took time.Duration) {
	k, ok := c.kinds[r.kind.Name]
	if !ok {
		k = &tally{}
		c.kinds[r.kind.Name] = k
	}
	earned, served := 0.0, 0.0
	switch {
	case took > 0 && took <= r.kind.Target:
		earned, served = r.kind.Worth, 1
	case took > 0 && took <= r.kind.Deadline:
		earned, served = r.kind.Late, 1
	}
	for _, t := range []*tally{k, &c.zones[r.zone], &c.windows[r.began/windowLength], &c.whole} {
		t.owed += r.kind.Worth
		t.earned += earned
		t.asked++
		t.served += served
	}
}

// Result is what a play earned, each a part of what was owed, by the measures of
// the users.
type Result struct {
	Whole, Windows, Kind, Zone, Served float64 // Windows of the two worst
	Kinds                              map[string]float64
}

// Worth weighs the measures as rezidba-mreza does, without prices.
func (r *Result) Worth() float64 { return 0.28*r.Whole + 0.4*r.Windows + 0.12*r.Kind + 0.2*r.Served }

func (c *record) result() Result {
	r := Result{Whole: c.whole.share(), Kind: 1, Zone: 1, Kinds: make(map[string]float64)}
	if c.whole.asked > 0 {
		r.Served = c.whole.served / c.whole.asked
	}
	for name, t := range c.kinds {
		r.Kinds[name] = t.share()
		r.Kind = min(r.Kind, t.share())
	}
	var windows []float64
	for i := range c.windows {
		windows = append(windows, c.windows[i].share())
	}
	slices.Sort(windows)
	r.Windows = (windows[0] + windows[1]) / 2
	for i := range c.zones {
		r.Zone = min(r.Zone, c.zones[i].share())
	}
	return r
}
