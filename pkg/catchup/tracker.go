package catchup

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
)

const (
	// maxPending bounds the number of newer versions that a tracker remembers. When
	// there are more, the later ones count as known since the last of these.
	maxPending = 16
	// observationTimeout is the time after which a version counts as unknown if no node
	// has been observed to have it since. Nodes that have it show it in each digest.
	observationTimeout = time.Minute
	// maxSources bounds the number of nodes that a tracker remembers.
	maxSources = 8
	// hedgeDelay is the time without an outcome after which a second node is asked. An
	// exchange between regions takes 50 ms.
	hedgeDelay = 400 * time.Millisecond
	// maxParallel is the number of nodes that are asked at the same time at the most.
	maxParallel = 3
	// minRetryDelay and maxRetryDelay bound the time between two requests to one node
	// that has not supplied a version.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// unknownSourceDelay is the time between two requests to random nodes while no
	// node is known that could supply the version.
	unknownSourceDelay = 300 * time.Millisecond
)

// Tracker records the versions that other nodes have and this node does not, and
// chooses nodes to fetch them from. It is safe for concurrent use. The zero value
// knows of none.
type Tracker struct {
	mu sync.Mutex
	// pending are the newer versions that are known, in ascending order.
	pending []pendingVersion
	sources []source
	// lastFetch is the start of the last request that has supplied a version, and
	// randomAt that of the last one to a random node.
	lastFetch, randomAt time.Time
}

// pendingVersion is a version that this node does not have.
type pendingVersion struct {
	at        follow.Position
	firstSeen time.Time // when this node learned of it
	lastSeen  time.Time // of the last observation
	inForce   time.Time // since when another node has had it, as far as is known
	from      model.NodeID
}

// source is a node that has a version which this node does not have.
type source struct {
	node     model.NodeID
	at       follow.Position
	distance model.Distance
	failures int
	retryAt  time.Time
	asked    time.Time // start of a request without an outcome; zero if there is none
	askedFor follow.Position
}

// Observation says that another node has a version.
type Observation struct {
	At follow.Position
	// From is the node that has the version; empty if it is not known or cannot be
	// reached.
	From model.NodeID
	// Distance is the distance to that node.
	Distance model.Distance
	// Age is how long the version has been in force at some node, as far as the
	// sender knows.
	Age time.Duration
}

// Lag describes how far this node is behind.
type Lag struct {
	// Newest is the newest version that is known, and From the first node that was
	// known to have it.
	Newest follow.Position
	From   model.NodeID
	// Known is for how long this node has known of a newer version, and Total for
	// how long another node has had one.
	Known, Total time.Duration
}

// Delays say how soon a node asks others for a version.
type Delays struct {
	// SameZone and Elsewhere are for how long a newer version must have been known
	// before nodes of this zone, or of other zones, are asked for it. They leave time
	// to the way by which the node usually gets it, and to a node of the zone that
	// asks first.
	SameZone, Elsewhere time.Duration
	// Interval is the shortest time between a request and the next one after it has
	// succeeded.
	Interval time.Duration
}

// Observe records an observation. own is the version of this node. It reports
// whether the version is later than own and than all that were known.
func (t *Tracker) Observe(o Observation, own follow.Position, now time.Time) bool {
	if !o.At.After(own) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if o.From != "" {
		t.addSource(o)
	}
	inForce := now.Add(-max(o.Age, 0))
	n := len(t.pending)
	switch {
	case n > 0 && !o.At.After(t.pending[n-1].at):
		if p := &t.pending[n-1]; p.at == o.At {
			p.lastSeen = now
			if inForce.Before(p.inForce) {
				p.inForce = inForce
			}
		}
		return false
	case n == maxPending:
		p := &t.pending[n-1]
		p.at, p.from, p.lastSeen = o.At, o.From, now
	default:
		t.pending = append(t.pending, pendingVersion{at: o.At, firstSeen: now, lastSeen: now, inForce: inForce, from: o.From})
	}
	return true
}

// addSource records that a node has a version. If too many nodes are known, it
// replaces the least useful one. The mutex is held.
func (t *Tracker) addSource(o Observation) {
	for i := range t.sources {
		if s := &t.sources[i]; s.node == o.From {
			if o.At.After(s.at) {
				s.at = o.At
			}
			return
		}
	}
	s := source{node: o.From, at: o.At, distance: o.Distance}
	if len(t.sources) < maxSources {
		t.sources = append(t.sources, s)
		return
	}
	worst := slices.MaxFunc(t.sources, compareSources)
	if worst.asked.IsZero() && compareSources(s, worst) < 0 {
		t.sources[slices.IndexFunc(t.sources, func(x source) bool { return x.node == worst.node })] = s
	}
}

// compareSources orders sources by preference: those that have not failed, then
// those with the newest version, then the nearest.
func compareSources(a, b source) int {
	return cmp.Or(cmp.Compare(a.failures, b.failures), b.at.Compare(a.at), cmp.Compare(a.distance, b.distance))
}

// CaughtUp records the version that this node has now, and returns the lag that
// ended with it. It is zero if no other node was known to have one of the
// versions up to own. A comparison with another node that lags too does not end a
// lag.
func (t *Tracker) CaughtUp(own follow.Position, now time.Time) Lag {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sources = slices.DeleteFunc(t.sources, func(s source) bool {
		if !s.at.After(own) {
			t.lastFetch = latest(t.lastFetch, s.asked)
		}
		return !s.at.After(own)
	})
	reached := 0
	for reached < len(t.pending) && !t.pending[reached].at.After(own) {
		reached++
	}
	if reached == 0 {
		return Lag{}
	}
	ended := lagOf(t.pending[:reached], now)
	t.pending = slices.Clone(t.pending[reached:])
	return ended
}

// Lag returns how far this node is behind; it is zero if nothing newer is known.
func (t *Tracker) Lag(now time.Time) Lag {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	return lagOf(t.pending, now)
}

// expire forgets versions that no node has been observed to have for a long time:
// their nodes are gone, or have never had them. The mutex is held.
func (t *Tracker) expire(now time.Time) {
	if n := len(t.pending); n > 0 && now.Sub(t.pending[n-1].lastSeen) > observationTimeout {
		t.pending, t.sources = nil, nil
	}
}

func lagOf(pending []pendingVersion, now time.Time) Lag {
	if len(pending) == 0 {
		return Lag{}
	}
	newest := &pending[len(pending)-1]
	return Lag{Newest: newest.at, From: newest.from, Known: now.Sub(pending[0].firstSeen), Total: now.Sub(pending[0].inForce)}
}

// Active reports whether something newer is known.
func (l Lag) Active() bool { return l.Newest != follow.Position{} }

// Next begins a request for a newer version if one is due now. It returns the node
// to ask, empty for a random one, and true; the caller must report the outcome with
// Finish unless the node is empty. Otherwise it returns the time until a request may
// be due, 0 if nothing newer is known.
func (t *Tracker) Next(d Delays, now time.Time) (node model.NodeID, wait time.Duration, due bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if len(t.pending) == 0 {
		return "", 0, false
	}
	var best *source
	earliest := time.Time{}
	sooner := func(at time.Time) {
		if earliest.IsZero() || at.Before(earliest) {
			earliest = at
		}
	}
	asked, lastAsked := 0, time.Time{}
	for i := range t.sources {
		s := &t.sources[i]
		if !s.asked.IsZero() {
			asked++
			lastAsked = latest(lastAsked, s.asked)
			continue
		}
		at := latest(t.due(s, d), s.retryAt)
		if at.After(now) {
			sooner(at)
		} else if best == nil || compareSources(*s, *best) < 0 {
			best = s
		}
	}
	if asked > 0 {
		if hedge := lastAsked.Add(hedgeDelay); asked == maxParallel || hedge.After(now) {
			return "", max(hedge.Sub(now), minRetryDelay), false
		}
	}
	switch {
	case best != nil:
		best.asked, best.askedFor = now, best.at
		return best.node, 0, true
	case len(t.sources) == 0:
		at := latest(t.pending[0].firstSeen.Add(d.Elsewhere), t.randomAt.Add(unknownSourceDelay))
		if !at.After(now) {
			t.randomAt = now
			return "", 0, true
		}
		sooner(at)
	case earliest.IsZero(): // all sources are being asked
		sooner(now.Add(hedgeDelay))
	}
	return "", earliest.Sub(now), false
}

// due returns when a source may be asked first. The mutex is held.
func (t *Tracker) due(s *source, d Delays) time.Time {
	delay := d.SameZone
	if s.distance != model.SameZone {
		delay = d.Elsewhere
	}
	return latest(t.pending[0].firstSeen.Add(delay), t.lastFetch.Add(d.Interval))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Finish records the end of a request to a node. own is the version that this node
// has now. If the node has not supplied the version that it was asked for, it is
// asked again only after a while.
func (t *Tracker) Finish(node model.NodeID, own follow.Position, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := slices.IndexFunc(t.sources, func(s source) bool { return s.node == node })
	if i < 0 {
		return
	}
	s := &t.sources[i]
	asked := s.asked
	s.asked = time.Time{}
	if !s.askedFor.After(own) {
		s.failures, t.lastFetch = 0, latest(t.lastFetch, asked)
		return
	}
	s.retryAt = now.Add(min(minRetryDelay<<min(s.failures, 8), maxRetryDelay))
	s.failures++
}

// Forget removes a node that has left the fleet from the sources.
func (t *Tracker) Forget(node model.NodeID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sources = slices.DeleteFunc(t.sources, func(s source) bool { return s.node == node })
}
