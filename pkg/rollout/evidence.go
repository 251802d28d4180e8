package rollout

import (
	"slices"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
)

const (
	// freshTime is how long the counts of a node are current. They are sent every
	// CountPeriod, and datagrams may be lost.
	freshTime = time.Second
	// CountPeriod is the time between two messages with counts, and the length of a
	// window of the evidence.
	CountPeriod = 250 * time.Millisecond
	// maxWindows is the number of windows from which neighbours are joined, so that long
	// rollouts take no more memory and time.
	maxWindows = 120
	// minReferences is the number of service times of the old version from which the
	// slow ones of a route are counted.
	minReferences = 30
	// referenceFactor is what remains of the service times of the old version after a
	// window, half after 2 s: both versions may become slower together.
	referenceFactor = 0.917
	// slowBuckets is the number of buckets from that of the median of the old version to
	// the first slow one: the slow ones take twice to three times as long as the median.
	// minSlowBucket is the first bucket that may be slow, above 8 ms: faster responses
	// differ because of other work on the machine.
	slowBuckets   = 3
	minSlowBucket = 7
	// loadMemory is the time over which the need for slots is averaged, and loadReserve
	// the reserve that is added.
	loadMemory  = 2 * time.Second
	loadReserve = 1.15
)

// cell holds the counts of one route at one upstream in one window.
type cell struct {
	node, route        int
	requests, failures uint64
	timed, slow        uint64 // requests whose service time could be compared
	old                bool
}

// source is what is known of the counts of one node.
type source struct {
	latest  Counts
	heard   time.Time
	routes  map[string]RouteCounts // newest counts
	counted map[string]RouteCounts // those that windows contain
}

// Evidence collects the counts of both versions in windows of time, so that each request
// of the new version is compared with those of the old version at the same time. It is
// not safe for concurrent use.
type Evidence struct {
	service  string
	order    Order
	sources  map[model.NodeID]*source
	nodes    map[model.NodeID]int // index of each node in the cells
	routes   map[string]int
	names    []string // of the routes
	windows  [][]cell
	times    map[string]*[buckets]float64 // lately of the old version, by route
	old, new Tally
	need     float64 // slots, averaged
	rate     float64 // requests per second, averaged
	lastTick time.Time
}

// NewEvidence returns an Evidence without counts for an order.
func NewEvidence(o Order) *Evidence {
	return &Evidence{
		service: o.Service, order: o, sources: make(map[model.NodeID]*source), nodes: make(map[model.NodeID]int),
		routes: make(map[string]int), times: make(map[string]*[buckets]float64),
	}
}

// Add takes the counts of a node. Older ones and those of another order are ignored.
func (e *Evidence) Add(c Counts, now time.Time) {
	if c.Service != e.service || c.At.Revision != e.order.At.Revision {
		return
	}
	s := e.sources[c.Node]
	switch {
	case s == nil, s.latest.Started < c.Started, s.latest.Started == c.Started && s.latest.Software != c.Software && s.latest.Sequence < c.Sequence:
		s = &source{routes: make(map[string]RouteCounts), counted: make(map[string]RouteCounts)}
		e.sources[c.Node] = s
	case c.Started < s.latest.Started || c.Sequence < s.latest.Sequence:
		return
	}
	s.latest, s.heard = c, now
	s.latest.Routes = nil
	for _, r := range c.Routes {
		if known, ok := s.routes[r.Route]; !ok || r.Requests >= known.Requests {
			s.routes[r.Route] = r
		}
	}
}

// index returns the index of a key, which it adds if it is new.
func index[K comparable](m map[K]int, key K) int {
	i, ok := m[key]
	if !ok {
		i = len(m)
		m[key] = i
	}
	return i
}

// Tick ends a window: what has arrived since the last one is counted in it.
func (e *Evidence) Tick(now time.Time) {
	var window []cell
	before := e.old.Requests + e.new.Requests
	e.forgetTimes()
	for _, old := range []bool{true, false} { // the times of the old version are the reference
		for id, s := range e.sources {
			if s.latest.Software != "" && old == (s.latest.Software != e.order.To) {
				window = append(window, e.take(id, s, old)...)
			}
		}
	}
	e.windows = append(e.windows, window)
	if len(e.windows) > maxWindows {
		e.join()
	}
	e.measure(e.old.Requests+e.new.Requests-before, now)
}

// forgetTimes lowers the weight of the service times of earlier windows, as long as later
// ones follow.
func (e *Evidence) forgetTimes() {
	for _, reference := range e.times {
		var total float64
		for _, n := range reference {
			total += n
		}
		if total < 2*minReferences {
			continue
		}
		for i := range reference {
			reference[i] *= referenceFactor
		}
	}
}

// take returns the cells of what a node has counted since the last window.
func (e *Evidence) take(id model.NodeID, s *source, old bool) (cells []cell) {
	tally := &e.new
	if old {
		tally = &e.old
	}
	for route, latest := range s.routes {
		counted := s.counted[route]
		s.counted[route] = latest
		c := cell{
			node: index(e.nodes, id), route: e.routeIndex(route), old: old,
			requests: latest.Requests - counted.Requests, failures: latest.Failures - counted.Failures,
		}
		tally.Requests += c.requests + latest.Cold - counted.Cold
		if c.requests == 0 {
			continue
		}
		times, earlier := latest.histogram(), counted.histogram()
		for i := range times {
			times[i] -= min(earlier[i], times[i])
		}
		c.timed, c.slow = e.compare(route, &times, old)
		tally.Failures += c.failures
		tally.Slow += c.slow
		cells = append(cells, c)
	}
	return cells
}

func (e *Evidence) routeIndex(route string) int {
	i := index(e.routes, route)
	if i == len(e.names) {
		e.names = append(e.names, route)
	}
	return i
}

// compare returns how many service times can be compared with those of the old version,
// and how many of them are slow.
func (e *Evidence) compare(route string, times *histogram, old bool) (timed, slow uint64) {
	reference := e.times[route]
	if reference == nil {
		reference = &[buckets]float64{}
		e.times[route] = reference
	}
	if old {
		for i, n := range times {
			reference[i] += float64(n)
		}
	}
	var total, below float64
	for _, n := range reference {
		total += n
	}
	if total < minReferences {
		return 0, 0
	}
	median := 0
	for below = reference[0]; below*2 < total; below += reference[median] {
		median++
	}
	limit := max(median+slowBuckets, minSlowBucket)
	for i, n := range times {
		timed += n
		if i >= limit {
			slow += n
		}
	}
	return timed, slow
}

// join joins each two neighbouring windows of the older half.
func (e *Evidence) join() {
	half := len(e.windows) / 2 &^ 1
	var joined [][]cell
	for i := 0; i < half; i += 2 {
		joined = append(joined, sumCells(append(e.windows[i], e.windows[i+1]...)))
	}
	e.windows = append(joined, e.windows[half:]...)
}

func sumCells(cells []cell) []cell {
	type key struct {
		node, route int
		old         bool
	}
	at := make(map[key]int)
	var sums []cell
	for _, c := range cells {
		k := key{c.node, c.route, c.old}
		i, ok := at[k]
		if !ok {
			at[k] = len(sums)
			sums = append(sums, c)
			continue
		}
		sums[i].requests += c.requests
		sums[i].failures += c.failures
		sums[i].timed += c.timed
		sums[i].slow += c.slow
	}
	return sums
}

// measure averages the rate of the requests and the slots that the service needs: the
// calls that run and wait at all upstreams, at most the slots of the old ones, because
// a service that has too few slots must not need more than before.
func (e *Evidence) measure(requests uint64, now time.Time) {
	elapsed := now.Sub(e.lastTick)
	first := e.lastTick.IsZero()
	e.lastTick = now
	if first || elapsed <= 0 {
		return
	}
	weight := min(float64(elapsed)/float64(loadMemory), 1)
	var calls, slots int
	for _, s := range e.sources {
		if now.Sub(s.heard) > freshTime {
			continue
		}
		calls += s.latest.Running + s.latest.Waiting
		if s.latest.Ready && s.latest.Software != e.order.To {
			slots += s.latest.Slots
		}
	}
	need := loadReserve * float64(calls)
	if slots > 0 {
		need = min(need, float64(slots))
	}
	e.need += weight * (need - e.need)
	e.rate += weight * (float64(requests)/elapsed.Seconds() - e.rate)
}

// Ready returns the nodes whose upstreams of the new version could serve.
func (e *Evidence) Ready(now time.Time) []model.NodeID {
	var ids []model.NodeID
	for id, s := range e.sources {
		if s.latest.Software == e.order.To && s.latest.Ready && now.Sub(s.heard) <= freshTime {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Facts returns what the counts say. old are the nodes that are reachable and whose
// upstreams have the old version, or one that is not known. nodes are those of the new
// version.
func (e *Evidence) Facts(old, nodes []model.NodeID, now time.Time) Facts {
	f := Facts{Old: e.old, New: e.new, Rate: e.rate, Nodes: nodes, OldNodes: len(old), Verdict: e.Verdict()}
	slots := 0
	for _, id := range nodes {
		if s := e.sources[id]; s != nil {
			slots += s.latest.Slots
		}
	}
	f.Capacity = float64(slots) >= e.need
	for _, id := range old {
		s := e.sources[id]
		switch {
		case s == nil || now.Sub(s.heard) > freshTime:
			f.OldOpen++
		case s.latest.Ready && !s.latest.Closed:
			f.OldOpen++
			f.OldBusy += s.latest.Running + s.latest.Waiting
		default:
			f.OldBusy += s.latest.Running + s.latest.Waiting
		}
	}
	return f
}

// Heard reports whether the counts of a node are current.
func (e *Evidence) Heard(id model.NodeID, now time.Time) bool {
	s := e.sources[id]
	return s != nil && now.Sub(s.heard) <= freshTime
}

// Software returns the versions that upstreams have, as far as their nodes have sent it.
func (e *Evidence) Software(now time.Time) map[model.NodeID]string {
	versions := make(map[model.NodeID]string, len(e.sources))
	for id, s := range e.sources {
		if now.Sub(s.heard) <= freshTime {
			versions[id] = s.latest.Software
		}
	}
	return versions
}
