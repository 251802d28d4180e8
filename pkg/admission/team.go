package admission

import "time"

// maxTeams bounds the teams that one rule keeps. At the bound, a new team drops those
// without waiting calls, with what they have used of their shares.
const maxTeams = 256

// teamShares divides the starts of the calls of one rule among teams in proportion to
// their weights (start-time fair queuing, as in rankQueue). A team that sends more than
// its share waits behind its own calls.
type teamShares struct {
	byName      map[string]*teamShare
	virtualTime float64 // of the team whose call was taken last
}

// teamShare is what one team has used of its share.
type teamShare struct {
	virtualTime float64 // starts, divided by the weight of the team
	weight      float64 // that the newest call of the team stated
	waiting     int
	counted     int // scratch of flow.callsAhead
}

// push counts a call that begins to wait.
func (s *teamShares) push(w *Waiter) {
	t, ok := s.byName[w.Team]
	if !ok {
		if s.byName == nil || len(s.byName) >= maxTeams {
			s.dropIdle()
		}
		t = &teamShare{}
		s.byName[w.Team] = t
	}
	if t.waiting == 0 { // an idle team accumulates no share
		t.virtualTime = max(t.virtualTime, s.virtualTime)
	}
	t.waiting++
	t.weight = w.teamWeight()
	w.share = t
}

func (s *teamShares) dropIdle() {
	kept := make(map[string]*teamShare)
	for name, t := range s.byName {
		if t.waiting > 0 {
			kept[name] = t
		}
	}
	s.byName = kept
}

// charge deducts the start of a call from the share of its team.
func (s *teamShares) charge(t *teamShare) {
	s.virtualTime = t.virtualTime
	t.virtualTime += 1 / t.weight
}

// teamWeight returns the weight of the team of a call.
func (c *Call) teamWeight() float64 {
	if c.TeamWeight > 0 {
		return c.TeamWeight
	}
	return 1
}

// first returns the waiting call that is to run next: of those that can meet their
// latency target, or of all if none can, the oldest one of the team that has received
// the least of its share.
func (f *flow) first(now time.Duration) *Waiter {
	best, oldest, bestInTime := f.head, f.head, f.meetsTarget(f.head, now)
	for w := f.head.next; w != nil; w = w.next {
		inTime := f.meetsTarget(w, now)
		switch {
		case inTime && !bestInTime:
			best, oldest, bestInTime = w, w, true
		case inTime == bestInTime && w.share.virtualTime < best.share.virtualTime:
			best = w
		}
	}
	best.overtook = best != oldest
	return best
}

// callsAhead returns how many calls of the flow go before a new one: those of its team,
// and of every other team as many as its weight entitles it to meanwhile. If the new call
// can meet its latency target, only calls that can do so count.
func (f *flow) callsAhead(now time.Duration, w *Call) float64 {
	all := !f.meetsTarget(&Waiter{Call: *w}, now)
	for v := f.head; v != nil; v = v.next {
		v.share.counted = 0
	}
	own := f.teams.byName[w.Team]
	n := 0.0
	for v := f.head; v != nil; v = v.next {
		if all || f.meetsTarget(v, now) {
			v.share.counted++
		}
	}
	if own != nil && own.waiting > 0 {
		n = float64(own.counted)
		own.counted = 0
	}
	sum := n
	for v := f.head; v != nil; v = v.next {
		if t := v.share; t.counted > 0 {
			sum += min(float64(t.counted), n*t.weight/w.teamWeight()+1)
			t.counted = 0
		}
	}
	return sum
}

// last returns the waiting call that is dropped first: the newest one of the team with
// the most waiting calls relative to its weight.
func (f *flow) last() *Waiter {
	last := f.tail
	for w := f.tail.prev; w != nil; w = w.prev {
		if w.share.excess() > last.share.excess() {
			last = w
		}
	}
	return last
}

// excess is the number of waiting calls relative to the weight.
func (t *teamShare) excess() float64 { return float64(t.waiting) / t.weight }

// lastOfOtherTeam returns the waiting call that is dropped for a new call w of the same
// rule, or nil: the last one, if its team then still has at least as many waiting calls
// as that of w, relative to their weights.
func (f *flow) lastOfOtherTeam(w *Call) *Waiter {
	own := 1.0
	if t, ok := f.teams.byName[w.Team]; ok {
		own += float64(t.waiting)
	}
	if last := f.last(); last.Team != w.Team && float64(last.share.waiting-1)/last.share.weight >= own/w.teamWeight() {
		return last
	}
	return nil
}
