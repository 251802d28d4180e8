package balance

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
)

const (
	// acceptHeadroom is K of client-side throttling (Site Reliability
	// Engineering, O'Reilly 2016, chapter 21): upstreams are sent up to K times
	// as many calls of a class as they accepted. The excess calls detect that the
	// load has fallen. With 1.25, slots stayed idle under a flood.
	acceptHeadroom = 2
	// statsIdleTimeout is how long the Stats of an unused upstream are kept. It is
	// many times the longest half-life (latencyHalfLife, 5 s), so that the dropped
	// Stats would no longer have influenced a choice.
	statsIdleTimeout = 10 * time.Minute
	// tiers is the number of candidate sets, one for each model.Distance.
	tiers = 3
)

// Result is the kind of choice that Pick made.
type Result uint8

// Results of Pick.
const (
	Picked     Result = iota
	NoUpstream        // no upstream is left for the call
	Overloaded        // the upstreams at every distance refuse calls of this class now
	Busy              // the call would wait too long at every upstream; one of the nearest is chosen
)

// Request describes one choice.
type Request struct {
	Candidates    []model.UpstreamNode // nodes of the service
	From          model.Location       // of this node
	Prefer        model.Preference
	Class         Class // of the call
	Service       string
	Route         string
	IgnoreBackoff bool // any queue time is acceptable, so backoffs do not apply
	// Download says that the response is large. A download is not sent to other
	// regions while an upstream of the local region is serving: bytes between
	// regions are billed by volume, and if all links are full, sending it there
	// helps no caller. It is not throttled by earlier refusals either. These are
	// few and say little about a link, whose load only the node of the upstream
	// knows.
	Download bool
	Exclude  []model.NodeID // upstreams that this call has tried
	Now      time.Duration  // on a monotonic clock
	Seed     uint64         // seed of this choice
}

// Choice is the chosen upstream, as an index into Request.Candidates.
type Choice struct {
	Index    int
	Stats    *Stats
	Distance model.Distance
}

// Picker chooses upstreams by the statistics of this node. It is safe for
// concurrent use; reads take no lock.
type Picker struct {
	stats atomic.Pointer[map[model.NodeID]*Stats]
	mu    sync.Mutex
	// distanceBackoffs holds, by service and distance, the backoffs that apply to
	// all upstreams of the service at that distance. The local availability zone
	// has none.
	distanceBackoffs sync.Map // distanceKey to *backoffs
}

// NewPicker returns a Picker without statistics.
func NewPicker() *Picker {
	p := &Picker{}
	p.stats.Store(&map[model.NodeID]*Stats{})
	return p
}

// Stats returns the statistics of one node. If there are none, it creates them
// and drops those of other nodes that have not been used for statsIdleTimeout.
func (p *Picker) Stats(id model.NodeID, now time.Duration) *Stats {
	if e, ok := (*p.stats.Load())[id]; ok {
		return e
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := *p.stats.Load()
	if e, ok := old[id]; ok {
		return e
	}
	next := make(map[model.NodeID]*Stats, len(old)+1)
	for k, e := range old {
		if e.InFlight() > 0 || now-time.Duration(e.lastUsed.Load()) < statsIdleTimeout {
			next[k] = e
		}
	}
	e := &Stats{}
	e.lastUsed.Store(int64(now))
	next[id] = e
	p.stats.Store(&next)
	return e
}

// candidateSet holds the candidates at one distance, as indexes into
// Request.Candidates.
type candidateSet struct {
	available, backedOff, notServing, failing []int32
	sent, accepted                            float64
}

// scratch is the working memory of one choice. It is pooled.
type scratch struct {
	sets        [tiers]candidateSet
	usableTiers int // number of sets whose upstreams may be chosen
}

var scratches = sync.Pool{New: func() any { return new(scratch) }}

// Pick chooses an upstream for one call. The Choice is empty if the Result is
// NoUpstream or Overloaded.
func (p *Picker) Pick(r Request) (Choice, Result) {
	s := scratches.Get().(*scratch)
	defer scratches.Put(s)
	rnd := splitMix64(r.Seed)
	usable := p.collect(s, &r, &rnd)
	if usable == 0 {
		return Choice{}, NoUpstream
	}
	refused := false
	for i := range s.sets[:s.usableTiers] {
		c := &s.sets[i]
		if len(c.available) == 0 {
			continue
		}
		if !r.Download && rnd.float() < throttleProbability(c.sent, c.accepted) {
			refused = true
			continue
		}
		return p.betterOfTwo(&r, c.available, &rnd), Picked
	}
	if refused {
		return Choice{}, Overloaded
	}
	for i := range s.sets[:s.usableTiers] {
		if c := &s.sets[i]; len(c.backedOff) > 0 {
			return p.betterOfTwo(&r, c.backedOff, &rnd), Busy
		}
	}
	return p.lastResort(s, &r, &rnd)
}

// lastResort chooses an upstream if none of the service seems to be serving. That
// knowledge may be out of date, and an attempt costs one round trip.
func (p *Picker) lastResort(s *scratch, r *Request, rnd *splitMix64) (Choice, Result) {
	for i := range s.sets[:s.usableTiers] {
		if c := s.sets[i].notServing; len(c) > 0 {
			return p.betterOfTwo(r, c, rnd), Picked
		}
	}
	for i := range s.sets[:s.usableTiers] {
		if c := s.sets[i].failing; len(c) > 0 {
			return p.betterOfTwo(r, c, rnd), Picked
		}
	}
	return Choice{}, NoUpstream
}

// collect sorts the candidates by distance and state, and returns how many are
// usable: neither unreachable nor excluded.
func (p *Picker) collect(s *scratch, r *Request, rnd *splitMix64) int {
	for i := range s.sets {
		c := &s.sets[i]
		c.available, c.backedOff, c.notServing, c.failing = c.available[:0], c.backedOff[:0], c.notServing[:0], c.failing[:0]
		c.sent, c.accepted = 0, 0
	}
	var backedOff [model.OtherRegion + 1]bool
	for d := model.SameRegion; d <= model.OtherRegion && !r.IgnoreBackoff; d++ {
		backedOff[d] = p.backoffsAt(r.Service, d).active(r.Route, r.Now)
	}
	usable := 0
	s.usableTiers = len(s.sets)
	for i := range r.Candidates {
		candidate := &r.Candidates[i]
		distance := r.From.DistanceTo(candidate.Location)
		if r.Download && distance < model.OtherRegion && candidate.State == model.Ready && !p.Stats(candidate.Node, r.Now).suspectedDown(r.Now, rnd.float()) {
			s.usableTiers = tier(model.OtherRegion, r.Prefer)
		}
		if candidate.State == model.Unreachable || excluded(candidate.Node, r.Exclude) {
			continue
		}
		usable++
		c := &s.sets[tier(distance, r.Prefer)]
		stats := p.Stats(candidate.Node, r.Now)
		c.sent += stats.sent[r.Class].value(r.Now, acceptHalfLife)
		c.accepted += stats.accepted[r.Class].value(r.Now, acceptHalfLife)
		switch {
		case stats.suspectedDown(r.Now, rnd.float()):
			c.failing = append(c.failing, int32(i))
		case candidate.State == model.NotServing:
			c.notServing = append(c.notServing, int32(i))
		case !r.IgnoreBackoff && (backedOff[distance] || stats.backoffs.active(r.Route, r.Now)):
			c.backedOff = append(c.backedOff, int32(i))
		default:
			c.available = append(c.available, int32(i))
		}
	}
	return usable
}

func excluded(id model.NodeID, exclude []model.NodeID) bool {
	for _, a := range exclude {
		if a == id {
			return true
		}
	}
	return false
}

// tier returns the index of the set for a distance. Distances that the
// preference of the rule treats alike share a set.
func tier(d model.Distance, p model.Preference) int {
	switch {
	case p == model.PreferAny:
		return 0
	case p == model.PreferRegion && d == model.SameRegion:
		return 0
	}
	return int(d)
}

// throttleProbability is the probability that a call is not sent to a set of
// upstreams that accepted only part of the calls sent to them.
func throttleProbability(sent, accepted float64) float64 {
	return max(0, (sent-acceptHeadroom*accepted)/(sent+1))
}

// betterOfTwo compares two random candidates (Mitzenmacher, "The Power of Two
// Choices in Randomized Load Balancing", 2001).
func (p *Picker) betterOfTwo(r *Request, candidates []int32, rnd *splitMix64) Choice {
	a := p.choice(r, candidates[rnd.intN(len(candidates))])
	if len(candidates) == 1 {
		return a
	}
	b := p.choice(r, candidates[rnd.intN(len(candidates))])
	if cost(b, r) < cost(a, r) {
		return b
	}
	return a
}

func (p *Picker) choice(r *Request, i int32) Choice {
	e := &r.Candidates[i]
	return Choice{Index: int(i), Stats: p.Stats(e.Node, r.Now), Distance: r.From.DistanceTo(e.Location)}
}

// cost is the load of an upstream, raised by its refusals of this class.
func cost(c Choice, r *Request) float64 {
	stats := c.Stats
	sent := stats.sent[r.Class].value(r.Now, acceptHalfLife)
	refused := sent - stats.accepted[r.Class].value(r.Now, acceptHalfLife)
	return stats.load(r.Now) * (1 + max(0, refused))
}
