package rollout

import (
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// rotationPeriod is the time for which the same upstreams of the new version get the
// share of the canary. In turn, all of them do.
const rotationPeriod = time.Second

// minCanary is the number of requests of the new version before a load test.
const minCanary = 20

// Facts is what a coordinator knows when it decides.
type Facts struct {
	Elapsed  time.Duration // since the order
	PhaseAge time.Duration // since the phase began
	Verdict  Verdict
	Old, New Tally   // all requests since the order
	Rate     float64 // requests of the service per second, lately
	// Nodes are the nodes whose upstreams have the new version and serve, in the order in
	// which they are used. OldNodes is the number of those with the old version.
	Nodes    []model.NodeID
	OldNodes int
	// Capacity reports whether the upstreams of the new version can carry the service.
	Capacity bool
	// OldOpen is the number of old upstreams that may still accept requests, as far as is
	// known, and OldBusy that of requests at the others.
	OldOpen, OldBusy int
}

// Step is what a coordinator does next.
type Step struct {
	State
	// Completes says that the rollout is to be completed: once the store has the status,
	// the phase becomes Completed.
	Completes bool
}

// Next returns what follows from the state of a running rollout. The result has the
// sequence of s; its ages are those of s.
func (b Bounds) Next(s State, f Facts) Step {
	limit := s.Within.Duration()
	t := b.times(limit)
	next := Step{State: s}
	next.Old, next.New, next.ShareFor = f.Old, f.New, 0
	switch {
	case s.Phase.Final():
		return next
	case s.From == s.To:
		next.Completes = true
		next.Reason = VersionInUse
		return next
	case s.Withdrawn:
		return next.moveTo(RolledBack, Withdrawn)
	case f.Verdict.Bad:
		next.Route = f.Verdict.Route
		return next.moveTo(RolledBack, f.Verdict.Reason)
	}
	switch s.Phase {
	case Pending:
		switch {
		case len(f.Nodes) > 0 && f.Elapsed < t.latest:
			next = next.moveTo(Canary, UpstreamsFound)
		case f.Elapsed >= t.latest:
			return next.moveTo(RolledBack, NoUpstreams)
		}
	case Canary:
		if duration := b.loadTest(&f, limit); f.Elapsed >= t.loadTest && f.Elapsed < t.cutover && duration > 0 && len(f.Nodes) > 0 &&
			f.New.Requests >= minCanary && f.Verdict.Against < suspicionLimit {
			next = next.moveTo(LoadTest, TimeForLoadTest)
			next.Share, next.ShareFor = loadTestShare, InMilliseconds(duration)
			break
		}
		next = b.cutOverIfDue(next, f, t)
	case LoadTest:
		if s.ShareFor > 0 { // as long as it lasts
			next.ShareFor = s.ShareFor
			break
		}
		next = b.cutOverIfDue(next, f, t)
	case Cutover:
		ended := f.OldOpen == 0 && f.OldBusy == 0
		over := f.PhaseAge >= DrainLimit && (f.OldBusy == 0 || f.Elapsed >= limit-writeMargin || f.PhaseAge >= 2*DrainLimit)
		switch {
		case !f.Verdict.Sure && f.Elapsed >= limit-writeMargin:
			next.Route = f.Verdict.Route
			return next.moveTo(RolledBack, TooFewCounts)
		case f.Verdict.Sure && (f.PhaseAge > b.leastCutover(limit) && ended || over):
			next.Completes = true
			next.Reason = Drained
			if !ended {
				next.Reason = DrainTimeOver
			}
		}
	}
	return b.withShare(next, f)
}

// cutOverIfDue begins the cutover if it is time and the verdict and the capacity permit
// it, or gives the rollout up if it is too late.
func (b Bounds) cutOverIfDue(next Step, f Facts, t times) Step {
	switch {
	case f.Elapsed < t.cutover:
		return next
	case f.Verdict.Good && f.Capacity && len(f.Nodes) > 0:
		return next.moveTo(Cutover, VersionGood)
	case f.Elapsed < t.latest:
		return next
	case len(f.Nodes) == 0:
		return next.moveTo(RolledBack, NoUpstreams)
	case !f.Verdict.Good:
		next.Route = f.Verdict.Route
		return next.moveTo(RolledBack, TooFewCounts)
	}
	return next.moveTo(RolledBack, TooLittleCapacity)
}

func (s Step) moveTo(p Phase, r Reason) Step {
	s.Phase, s.Reason, s.PhaseAge, s.Written = p, r, 0, false
	if p == RolledBack {
		s.Share, s.Rest, s.ShareFor, s.Nodes = 0, 0, 0, nil
	}
	return s
}

// withShare sets the share of the calls, and the upstreams that get it.
func (b Bounds) withShare(s Step, f Facts) Step {
	if !s.Phase.running() {
		return s
	}
	limit := s.Within.Duration()
	s.Rest = b.canaryShare(&f, limit)
	if f.Elapsed >= b.times(limit).cutover && !f.Verdict.Good {
		s.Rest = max(s.Rest, b.lateShare(&f, limit))
	}
	switch {
	case s.Phase == Cutover:
		s.Share = 1
	case s.ShareFor == 0:
		s.Share = s.Rest
	}
	n := len(f.Nodes)
	count := subset(s.Share, f.OldNodes, n)
	var first int
	if n > 0 && s.Phase == Canary {
		first = int(f.Elapsed/rotationPeriod) * count % n
	}
	var used []model.NodeID
	for i := range count {
		used = append(used, f.Nodes[(first+i)%n])
	}
	s.Nodes = HashNodes(used)
	return s
}
