package test

import (
	"time"

	"github.com/lentilflow/lentilflow/pkg/standin/upstream"
)

func (s *soak) randomBehaviour() upstream.Behaviour {
	all := []upstream.Behaviour{
		{LoseResponses: true}, {Truncate: true}, {Fail: true}, {Duplicate: true}, {ServiceTime: 200 * time.Millisecond}, {ServiceTime: 5 * time.Second},
	}
	return all[s.rnd.IntN(len(all))]
}

// replaceUpstream drains the upstream of a node and starts another boot at its
// address. The upstream serves on for drainTime after the drain.
func (s *soak) replaceUpstream(n *node, drainTime time.Duration) {
	if n.upstream.Drain() {
		s.mu.Lock()
		s.drainTimes[n.upstream.ID] = time.Now()
		s.mu.Unlock()
	}
	time.Sleep(drainTime)
	n.upstream.Leave()
	n.upstream.Crash()
	n.startUpstream()
}

// leaveWithLateReports lets the upstream of a node leave, kills the node, and sends it
// reports as of before the departure. The upstream serves on for a while, and another
// boot starts at its address. If others is set, nodes that may hold the departure are
// killed at the same time.
func (s *soak) leaveWithLateReports(n *node, pause time.Duration, others bool) {
	if n.upstream.Leave() {
		s.mu.Lock()
		s.drainTimes[n.upstream.ID] = time.Now()
		s.mu.Unlock()
	}
	count := 0
	if others {
		count = 3
	}
	s.restartTogether(n, count)
	const reports = 6
	for range reports {
		time.Sleep(pause / reports)
		n.upstream.Report()
	}
	time.Sleep(soakDrainLimit + pause)
	n.upstream.Leave() // once more, as upstreams do that leave without draining
	n.upstream.Crash()
	n.startUpstream()
}

// statedLimit is the rate limit that a boot states from a time on.
type statedLimit struct {
	rate  float64
	since time.Time
}

// limitUpstream makes the upstream of a node state a rate limit until its end. It
// keeps its first limit.
func (s *soak) limitUpstream(n *node, rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, limited := s.limits[n.upstream.ID]; !limited {
		s.limits[n.upstream.ID] = statedLimit{rate, time.Now()}
		n.upstream.Set(upstream.Behaviour{RateLimit: rate})
	}
}

// setBehaviour changes the behaviour of the upstream of a node, which still states
// its rate limit.
func (s *soak) setBehaviour(n *node, b upstream.Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b.RateLimit = s.limits[n.upstream.ID].rate
	n.upstream.Set(b)
}

// retireUpstream lets the upstream of a node state in its responses, but not in
// its reports, that it leaves, and starts another boot after drainTime.
func (s *soak) retireUpstream(n *node, drainTime time.Duration) {
	s.setBehaviour(n, upstream.Behaviour{Leaving: true})
	time.Sleep(drainTime)
	n.upstream.Crash()
	n.startUpstream()
}
