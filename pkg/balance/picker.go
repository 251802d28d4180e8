package balance

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
)

const (
	// acceptHeadroom is K of client-side throttling (Site Reliability
	// Engineering, O'Reilly 2016, chapter 21): a rank may be offered K times
	// as many calls as were accepted. The excess finds out that load has
	// fallen. With 1.25 slots stayed idle under a flood.
	acceptHeadroom = 2
	// evidenceIdle is how long evidence of an unused upstream is kept.
	evidenceIdle = 10 * time.Minute
	tiers        = 3
)

// Result says what Pick found.
type Result uint8

// Results of Pick.
const (
	Picked     Result = iota
	NoUpstream        // no upstream is left for the call
	Overloaded        // every distance refuses calls of this rank now
	Busy              // every upstream would let the call wait too long; one of the nearest is chosen
)

// Request describes the choice to make.
type Request struct {
	Candidates    []model.UpstreamNode // usable entries of the service
	From          model.Location       // of this node
	Prefer        model.Preference
	Rank          model.Rank
	Service       string
	Route         string
	IgnoreBackoff bool // the call waits wherever it is taken
	// Large says that the answer is large. Such a call stays out of other regions
	// while an upstream of the own region takes work: bytes between regions are
	// paid by volume, and where all links are short of room the way there serves
	// nobody. It is not kept back by earlier refusals either, which are few and
	// say little about a link: the node beside the upstream knows its own.
	Download bool
	Exclude  []model.NodeID // upstreams that this call has tried
	Now      time.Duration  // monotonic
	Seed     uint64         // seed of this choice
}

// Choice is the chosen entry, as an index into the request's entries.
type Choice struct {
	Index    int
	Stats    *Stats
	Distance model.Distance
}

// Picker chooses upstreams by the evidence of this node. It is safe for
// concurrent use; reads take no lock.
type Picker struct {
	known atomic.Pointer[map[model.NodeID]*Stats]
	grow  sync.Mutex
	// distances holds what is known of upstreams beyond the own zone.
	distances sync.Map // farKey to *marks
}

// NewPicker returns a Picker without evidence.
func NewPicker() *Picker {
	p := &Picker{}
	p.known.Store(&map[model.NodeID]*Stats{})
	return p
}

// Evidence returns the evidence of one node, new if there is none yet.
func (p *Picker) Stats(id model.NodeID, now time.Duration) *Stats {
	if e, ok := (*p.known.Load())[id]; ok {
		return e
	}
	p.grow.Lock()
	defer p.grow.Unlock()
	old := *p.known.Load()
	if e, ok := old[id]; ok {
		return e
	}
	next := make(map[model.NodeID]*Stats, len(old)+1)
	for k, e := range old {
		if e.InFlight() > 0 || now-time.Duration(e.lastUsed.Load()) < evidenceIdle {
			next[k] = e
		}
	}
	e := &Stats{}
	e.lastUsed.Store(int64(now))
	next[id] = e
	p.known.Store(&next)
	return e
}

// set is the candidates of one distance, as indexes into the entries.
type set struct {
	up, busy, idle, down []int32
	sent, accepted       float64
}

// scratch is reused between choices.
type scratch struct {
	sets  [tiers]set
	reach int // distances whose upstreams may be chosen
}

var scratches = sync.Pool{New: func() any { return new(scratch) }}

// Pick chooses an entry for one call.
func (p *Picker) Pick(r Request) (Choice, Result) {
	s := scratches.Get().(*scratch)
	defer scratches.Put(s)
	rnd := stream(r.Seed)
	found := p.collect(s, &r, &rnd)
	if found == 0 {
		return Choice{}, NoUpstream
	}
	refused := false
	for i := range s.sets[:s.reach] {
		c := &s.sets[i]
		if len(c.up) == 0 {
			continue
		}
		if !r.Download && rnd.float() < refusing(c.sent, c.accepted) {
			refused = true
			continue
		}
		return p.best(&r, c.up, &rnd), Picked
	}
	if refused {
		return Choice{}, Overloaded
	}
	for i := range s.sets[:s.reach] {
		if c := &s.sets[i]; len(c.busy) > 0 {
			return p.best(&r, c.busy, &rnd), Busy
		}
	}
	return p.lastResort(s, &r, &rnd)
}

// lastResort serves a service none of whose upstreams seems to take work: what
// is known of them may be late, and asking costs one round trip.
func (p *Picker) lastResort(s *scratch, r *Request, rnd *stream) (Choice, Result) {
	for i := range s.sets[:s.reach] {
		if c := s.sets[i].idle; len(c) > 0 {
			return p.best(r, c, rnd), Picked
		}
	}
	for i := range s.sets[:s.reach] {
		if c := s.sets[i].down; len(c) > 0 {
			return p.best(r, c, rnd), Picked
		}
	}
	return Choice{}, NoUpstream
}

// collect sorts the entries into distances and returns how many are usable.
func (p *Picker) collect(s *scratch, r *Request, rnd *stream) int {
	for i := range s.sets {
		c := &s.sets[i]
		c.up, c.busy, c.idle, c.down = c.up[:0], c.busy[:0], c.idle[:0], c.down[:0]
		c.sent, c.accepted = 0, 0
	}
	var held [model.OtherRegion + 1]bool
	for d := model.SameRegion; d <= model.OtherRegion && !r.IgnoreBackoff; d++ {
		held[d] = p.far(r.Service, d).has(r.Route, r.Now)
	}
	found := 0
	s.reach = len(s.sets)
	for i := range r.Candidates {
		e := &r.Candidates[i]
		distance := r.From.DistanceTo(e.Location)
		if r.Download && distance < model.OtherRegion && e.State == model.Ready && !p.Stats(e.Node, r.Now).down(r.Now, rnd.float()) {
			s.reach = tier(model.OtherRegion, r.Prefer)
		}
		if e.State == model.Unreachable || avoided(e.Node, r.Exclude) {
			continue
		}
		found++
		c := &s.sets[tier(distance, r.Prefer)]
		ev := p.Stats(e.Node, r.Now)
		c.sent += ev.sent[r.Rank].value(r.Now, answerHalfLife)
		c.accepted += ev.accepted[r.Rank].value(r.Now, answerHalfLife)
		switch {
		case ev.down(r.Now, rnd.float()):
			c.down = append(c.down, int32(i))
		case e.State == model.NotServing:
			c.idle = append(c.idle, int32(i))
		case !r.IgnoreBackoff && (held[distance] || ev.busy.has(r.Route, r.Now)):
			c.busy = append(c.busy, int32(i))
		default:
			c.up = append(c.up, int32(i))
		}
	}
	return found
}

func avoided(id model.NodeID, avoid []model.NodeID) bool {
	for _, a := range avoid {
		if a == id {
			return true
		}
	}
	return false
}

// tier merges the distances that the rule treats alike.
func tier(d model.Distance, p model.Preference) int {
	switch {
	case p == model.PreferAny:
		return 0
	case p == model.PreferRegion && d == model.SameRegion:
		return 0
	}
	return int(d)
}

// refusing is the chance that a call is kept back from a set of upstreams that
// accepted only part of what they were sent.
func refusing(sent, accepted float64) float64 {
	return max(0, (sent-acceptHeadroom*accepted)/(sent+1))
}

// best compares two random candidates (Mitzenmacher, "The Power of Two Choices
// in Randomized Load Balancing", 2001).
func (p *Picker) best(r *Request, candidates []int32, rnd *stream) Choice {
	a := p.choice(r, candidates[rnd.below(len(candidates))])
	if len(candidates) == 1 {
		return a
	}
	b := p.choice(r, candidates[rnd.below(len(candidates))])
	if cost(b, r) < cost(a, r) {
		return b
	}
	return a
}

func (p *Picker) choice(r *Request, i int32) Choice {
	e := &r.Candidates[i]
	return Choice{Index: int(i), Stats: p.Stats(e.Node, r.Now), Distance: r.From.DistanceTo(e.Location)}
}

// cost is the load of an upstream, raised by its refusals of this rank.
func cost(c Choice, r *Request) float64 {
	e := c.Stats
	sent := e.sent[r.Rank].value(r.Now, answerHalfLife)
	refused := sent - e.accepted[r.Rank].value(r.Now, answerHalfLife)
	return e.load(r.Now) * (1 + max(0, refused))
}
