package balance

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilflow/lentilflow/pkg/model"
)

const (
	// acceptHalfLife is the half-life of the counts of accepted and refused
	// calls. An upstream works off a full queue in well under a second. With
	// 500 ms, 15% of the calls still went to a zone after 2 s of refusals.
	acceptHalfLife = 250 * time.Millisecond
	// failureHalfLife is the half-life of the count of connection failures. An
	// upstream may be left out (suspectedDown) for one half-life after a single
	// failure, and for five (10 s) after maxFailures of them. Each call that it
	// accepts shortens this by one half-life.
	failureHalfLife = 2 * time.Second
	// latencyHalfLife makes the latency decay without samples, so that a slow
	// upstream, which is chosen rarely, is tried again.
	latencyHalfLife = 5 * time.Second
	// latencyWeight is the share of one sample in the moving average.
	latencyWeight = 0.2
	// maxFailures bounds the count of failures, so that a recovered upstream
	// gets calls again within a few half-lives.
	maxFailures = 16
	// failurePenalty is what each recent failure adds to the factor by which the
	// load is multiplied, which is 1 without failures. It raises the load of an
	// upstream with a recent failure above that of one with a few more calls in
	// flight.
	failurePenalty = 8
	ranks          = int(model.MaxRank) + 1
	// teamClasses is the number of classes into which the calls of teams are divided.
	// Teams of one class are limited together.
	teamClasses = 16
)

// Class is a class of calls. How many calls of a class upstreams refused limits further
// calls of the same class.
type Class uint8

// ClassOf returns the class of the calls of a rank without a team, or of a team. A rank
// above model.MaxRank counts as model.MaxRank.
func ClassOf(rank model.Rank, team string) Class {
	if team == "" {
		return Class(min(rank, model.MaxRank))
	}
	return Class(ranks + int(xxhash.Sum64String(team)%teamClasses))
}

// decayed is a value that halves in every half-life. It packs a float32 and
// the time of its last change in milliseconds into one word, so that it can be
// read and changed without a lock. The time wraps after 49 days, so the decay is
// right for values that were changed within the last 24 days.
type decayed struct{ word atomic.Uint64 }

func pack(v float64, now time.Duration) uint64 {
	return uint64(math.Float32bits(float32(v)))<<32 | uint64(uint32(now/time.Millisecond))
}

func unpack(w uint64, now, halfLife time.Duration) float64 {
	v := float64(math.Float32frombits(uint32(w >> 32)))
	if v == 0 {
		return 0
	}
	age := int32(uint32(now/time.Millisecond) - uint32(w))
	if age <= 0 {
		return v
	}
	return v * math.Exp2(-float64(age)/float64(halfLife/time.Millisecond))
}

func (d *decayed) value(now, halfLife time.Duration) float64 {
	return unpack(d.word.Load(), now, halfLife)
}

func (d *decayed) update(now, halfLife time.Duration, f func(float64) float64) {
	for {
		w := d.word.Load()
		if d.word.CompareAndSwap(w, pack(f(unpack(w, now, halfLife)), now)) {
			return
		}
	}
}

func (d *decayed) add(now, halfLife time.Duration, x, limit float64) {
	d.update(now, halfLife, func(v float64) float64 { return min(v+x, limit) })
}

// Stats holds what this node has observed of one upstream. Its methods are safe
// for concurrent use; their now arguments are times on the clock of
// Request.Now.
type Stats struct {
	inFlight atomic.Int64
	lastUsed atomic.Int64 // nanoseconds of the picker's clock
	latency  decayed      // milliseconds
	failures decayed
	sent     [ranks + teamClasses]decayed // calls with a response or a refusal, by class
	accepted [ranks + teamClasses]decayed // of those, calls that were not refused
	backoffs backoffs
}

// backoffs holds the ends of backoffs, in nanoseconds on the clock of Request.Now,
// by the hash of a route. Two routes in one bucket share their backoffs, which
// costs only a little time.
type backoffs [16]atomic.Int64

func (b *backoffs) bucket(route string) *atomic.Int64 {
	return &b[xxhash.Sum64String(route)%uint64(len(b))]
}

func (b *backoffs) set(route string, until time.Duration) { b.bucket(route).Store(int64(until)) }

func (b *backoffs) active(route string, now time.Duration) bool {
	return b.bucket(route).Load() > int64(now)
}

const (
	// minBackoff and maxBackoff bound, before the jitter of 50%, how long an
	// upstream at which a call would have waited too long is not used for the
	// route of that call. Queues change within a few service times, so a longer
	// backoff would leave out an upstream whose queue has become shorter. A
	// shorter one would cost further refused attempts, each with processor time
	// and the bytes of its request.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 250 * time.Millisecond
	// distanceBackoff is the backoff, before the jitter of 50%, of all upstreams
	// at one distance outside the local availability zone. A refused attempt there
	// costs bytes on links that are billed by volume. With failures or high
	// load, the backoffs save about a fifth of the bytes between zones.
	distanceBackoff = 200 * time.Millisecond
)

// BackOff starts a backoff of the chosen upstream for a route, after a call of the
// route would have waited there too long. excess is the expected queue time above
// the accepted one; the backoff is half of it, within minBackoff and maxBackoff.
// Outside the local availability zone BackOff also starts a backoff of all
// upstreams of the service at that distance. random, in [0, 1), spreads the ends
// of backoffs.
func (p *Picker) BackOff(c *Choice, service, route string, excess, now time.Duration, random float64) {
	c.Stats.BackOff(route, excess, now, random)
	if c.Distance > model.SameZone {
		p.backoffsAt(service, c.Distance).set(route, now+time.Duration((0.5+random)*float64(distanceBackoff)))
	}
}

// BackOff starts the backoff of this upstream alone, as Picker.BackOff does. It is
// for a wait that says nothing about other upstreams, such as one for the rate
// limit of this upstream.
func (s *Stats) BackOff(route string, excess, now time.Duration, random float64) {
	backoff := min(max(excess/2, minBackoff), maxBackoff)
	s.backoffs.set(route, now+time.Duration((0.5+random)*float64(backoff)))
}

type distanceKey struct {
	service  string
	distance model.Distance
}

// backoffsAt returns the backoffs of a service at a distance.
func (p *Picker) backoffsAt(service string, d model.Distance) *backoffs {
	m, ok := p.distanceBackoffs.Load(distanceKey{service, d})
	if !ok {
		m, _ = p.distanceBackoffs.LoadOrStore(distanceKey{service, d}, &backoffs{})
	}
	return m.(*backoffs)
}

// Outcome is how one attempt at an upstream ended.
type Outcome uint8

// Outcomes of attempts.
const (
	Accepted Outcome = iota // the upstream responded
	Refused                 // the node of the upstream, or the upstream, shed the call
	Failed                  // no connection, or the connection was lost
	Neutral                 // ended by the caller or for reasons unrelated to the upstream
)

// Begin counts a call in flight. End must be called once for it.
func (s *Stats) Begin(now time.Duration) {
	s.inFlight.Add(1)
	s.lastUsed.Store(int64(now))
}

// End records the outcome of a call that Begin counted. The latency is used
// for accepted calls only.
func (s *Stats) End(now time.Duration, class Class, o Outcome, latency time.Duration) {
	s.inFlight.Add(-1)
	switch o {
	case Accepted:
		s.sent[class].add(now, acceptHalfLife, 1, math.MaxFloat32)
		s.accepted[class].add(now, acceptHalfLife, 1, math.MaxFloat32)
		s.failures.update(now, failureHalfLife, func(v float64) float64 { return v / 2 })
		ms := float64(latency) / float64(time.Millisecond)
		s.latency.update(now, latencyHalfLife, func(v float64) float64 {
			if v == 0 {
				return ms
			}
			return v + latencyWeight*(ms-v)
		})
	case Refused:
		s.sent[class].add(now, acceptHalfLife, 1, math.MaxFloat32)
	case Failed:
		s.failures.add(now, failureHalfLife, 1, maxFailures)
	}
}

// InFlight returns how many calls this node has in flight at the upstream.
func (s *Stats) InFlight() int { return int(s.inFlight.Load()) }

// load is the expected cost of one more call; lower is better.
func (s *Stats) load(now time.Duration) float64 {
	const defaultLatency = 0.1 // ms; an upstream without samples is cheap, but not free
	latency := max(s.latency.value(now, latencyHalfLife), defaultLatency)
	return float64(s.inFlight.Load()+1) * latency * (1 + failurePenalty*s.failures.value(now, failureHalfLife))
}

// suspectedDown decides at random whether the upstream is left out because of
// recent connection failures. The probability never reaches 1, so that a
// recovered upstream is noticed. random is in [0, 1).
func (s *Stats) suspectedDown(now time.Duration, random float64) bool {
	f := s.failures.value(now, failureHalfLife)
	return f >= 0.5 && random < f/(f+1)
}
