package quota

import (
	"slices"
	"sync"
	"time"
)

const (
	// MaxWait bounds the time for which a request waits for a token.
	MaxWait = 300 * time.Millisecond
	// askTimeout is how long a holder is waited for before the holders of other areas
	// are asked. A round trip between regions takes 24 ms, and nodes with a sixth of a
	// core are often late by as much.
	askTimeout = 60 * time.Millisecond
	// repeatAfter is when a holder that has not answered is asked again.
	repeatAfter = 150 * time.Millisecond
	// unavailableRetry is the Retry-After of requests that holders have not answered.
	unavailableRetry = 500 * time.Millisecond
	// remoteHoldOff is the shortest time between a denial of another area and the next
	// ask to it. It limits the traffic between regions. It is shorter, a share of the
	// time in which a bucket fills, for teams with a small burst.
	remoteHoldOff      = 250 * time.Millisecond
	remoteHoldOffShare = 0.4
	// minRetryAfter and maxRetryAfter bound the Retry-After of denied requests.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// maxWaiting bounds the requests of a team that wait at one node.
	maxWaiting = 512
	// minDemand is the number of requests within prefetchLife from which a node asks
	// for tokens ahead of demand. Of fewer, most would expire.
	minDemand = 3
	// answerLife is how long an answer counts in the verdict on a request that has waited
	// until its deadline.
	answerLife = 2 * time.Second
	// minUse is the time that a request must have left for an ask to be sent for it. A
	// token that arrives later would be lost.
	minUse  = 40 * time.Millisecond
	maxLots = 6
	maxAsks = 2 // outstanding asks that are remembered for each area
)

// lot is a number of tokens with one expiry.
type lot struct {
	tokens  int
	expires time.Duration
}

// stock holds the tokens that a node was granted, in the order of their expiry.
type stock struct {
	lots []lot
}

// take removes one token. It returns the expiry of the token, and false if there is none.
func (s *stock) take(now time.Duration) (time.Duration, bool) {
	for len(s.lots) > 0 {
		l := &s.lots[0]
		if l.tokens > 0 && now < l.expires {
			l.tokens--
			return l.expires, true
		}
		s.lots = append(s.lots[:0], s.lots[1:]...)
	}
	return 0, false
}

// add adds tokens. If there are too many lots, two are joined with the earlier expiry.
func (s *stock) add(tokens int, expires time.Duration) {
	if tokens <= 0 {
		return
	}
	at, _ := slices.BinarySearchFunc(s.lots, expires, func(l lot, e time.Duration) int { return int(l.expires - e) })
	s.lots = slices.Insert(s.lots, at, lot{tokens, expires})
	if len(s.lots) > maxLots {
		s.lots[0].tokens += s.lots[1].tokens
		s.lots = slices.Delete(s.lots, 1, 2)
	}
}

// waiter is a request that waits for a token.
type waiter struct {
	deadline time.Duration
	resolve  func(Decision)
	expires  time.Duration // of the token that it was granted
}

// pendingAsk is an ask whose answer has not arrived.
type pendingAsk struct {
	number uint32
	wanted int
	sentAt time.Duration
}

// areaState is what a node knows about the tokens of a team in one area.
type areaState struct {
	asks        []pendingAsk // the newest last
	answeredAt  time.Duration
	deniedUntil time.Duration // 0 if the last answer was no denial
	weight      weight        // of the holder that has answered, 0 if it does not know the team
	// contenders is how many nodes the holder has promised a token before this one, when
	// it has denied one last.
	contenders float64
}

// asker sends asks. If this node is the holder itself, it returns the answer.
type asker interface {
	ask(area int, w want, class uint8) (number uint32, local *grant, weight weight)
	// fleet returns the version and the number of the areas, and the number of nodes.
	fleet() (version uint32, areas, nodes int)
}

// usageWindow is the time over which the use of a team is counted for operators.
const usageWindow = 10 * time.Second

// usage counts the decisions on the requests of a team.
type usage struct {
	total        [verdicts]uint64 // by Verdict
	recent, last [verdicts]uint64 // since start, and in usageWindow before that
	start        time.Duration
}

// verdicts is the number of verdicts.
const verdicts = 3

func (u *usage) count(v Verdict, now time.Duration) {
	u.roll(now)
	u.total[v]++
	u.recent[v]++
}

func (u *usage) roll(now time.Duration) {
	switch passed := now - u.start; {
	case passed >= 2*usageWindow:
		u.recent, u.last, u.start = [verdicts]uint64{}, [verdicts]uint64{}, now
	case passed >= usageWindow:
		u.recent, u.last, u.start = [verdicts]uint64{}, u.recent, u.start+usageWindow
	}
}

// perSecond returns the rate of a verdict lately.
func (u *usage) perSecond(v Verdict, now time.Duration) float64 {
	u.roll(now)
	return float64(u.last[v]+u.recent[v]) / (usageWindow + now - u.start).Seconds()
}

// teamState is the state of one team at a node: its stock, the requests that wait for a
// token, the asks, and what holders have denied. It is safe for concurrent use if the
// mutex is held during each call.
type teamState struct {
	mu       sync.Mutex
	hash     uint64
	name     string
	asker    asker
	limit    Limit
	stock    stock
	waiting  []*waiter
	areas    []areaState
	version  uint32 // of areas
	nodes    int
	removed  bool // from the table of the node
	active   bool // in the list of the node
	lastUsed time.Duration

	slotStart       time.Duration // of the count of requests
	slot, lastSlot  int           // requests in this slot and in the one before
	refusedUntil    time.Duration // when a token for the last denied request is expected
	usage           usage
	lastGrantsStart time.Duration
	grantsSlot      int     // tokens granted since lastGrantsStart
	grantRate       float64 // tokens per second that this node has been granted lately
}

// grantRateWindow is the time over which grantRate is measured.
const grantRateWindow = time.Second

// decide returns the decision on a request that need not wait.
func (t *teamState) decide(l Limit, deadline, now time.Duration) (Decision, bool) {
	t.limit, t.lastUsed = l, now
	t.count(now)
	if len(t.waiting) == 0 {
		if _, ok := t.stock.take(now); ok {
			t.usage.count(Granted, now)
			return Decision{Verdict: Granted}, true
		}
	}
	t.refresh()
	if until, denied := t.deniedUntil(now); denied && until >= deadline {
		return t.exceed(until, now), true
	}
	if len(t.waiting) >= maxWaiting {
		return t.fail(now), true
	}
	return Decision{}, false
}

func (t *teamState) enqueue(w *waiter, now time.Duration) {
	t.waiting = append(t.waiting, w)
	t.step(now)
}

// count counts a request for the demand.
func (t *teamState) count(now time.Duration) {
	switch passed := now - t.slotStart; {
	case passed >= 2*prefetchLife:
		t.slotStart, t.slot, t.lastSlot = now, 0, 0
	case passed >= prefetchLife:
		t.slotStart, t.slot, t.lastSlot = t.slotStart+prefetchLife, 0, t.slot
	}
	t.slot++
}

// demand returns the number of tokens that an ask requests ahead of demand.
func (t *teamState) demand() uint16 {
	if n := max(t.slot, t.lastSlot); n >= minDemand {
		return uint16(min(n, maxWaiting))
	}
	return 0
}

// refresh forgets what holders have answered if the areas have changed.
func (t *teamState) refresh() {
	version, areas, nodes := t.asker.fleet()
	if t.version != version || len(t.areas) != areas {
		t.version, t.areas = version, make([]areaState, areas)
	}
	t.nodes = max(nodes, 1)
}

// deniedUntil returns when the first holder expects a token, and whether holders of
// most of the quota have denied a token until then.
func (t *teamState) deniedUntil(now time.Duration) (earliest time.Duration, denied bool) {
	sum := weight(0)
	for i := range t.areas {
		a := &t.areas[i]
		if now >= a.deniedUntil {
			return 0, false
		}
		sum += a.weight
		if earliest == 0 || a.deniedUntil < earliest {
			earliest = a.deniedUntil
		}
	}
	return earliest, sum >= unit/2
}

// exceed returns the decision on a denied request. The requests that this node denies
// are told to return one after another, at the rate at which it gets tokens.
func (t *teamState) exceed(until, now time.Duration) Decision {
	t.usage.count(Exceeded, now)
	first := max(until, now+minRetryAfter)
	t.refusedUntil = max(t.refusedUntil+time.Duration(float64(time.Second)/t.tokenRate()), first)
	if t.refusedUntil > now+maxRetryAfter {
		t.refusedUntil = first
	}
	return Decision{Exceeded, min(t.refusedUntil-now, maxRetryAfter)}
}

// tokenRate returns the tokens per second that this node may expect: what it got lately,
// or its part if the nodes that were denied a token get the same.
func (t *teamState) tokenRate() float64 {
	contenders := 1.0
	for i := range t.areas {
		contenders = max(contenders, t.areas[i].contenders)
	}
	return max(t.grantRate, t.limit.Rate/min(contenders, float64(t.nodes)), minRate)
}

// fail returns the decision on a request that has waited for too long or cannot wait:
// exceeded only if holders of most of the quota have answered lately, and none of those
// that were asked is late.
func (t *teamState) fail(now time.Duration) Decision {
	sum, until := weight(0), now
	for i := range t.areas {
		a := &t.areas[i]
		if len(a.asks) > 0 && now-a.asks[0].sentAt >= askTimeout {
			sum = 0
			break
		}
		if now-a.answeredAt <= answerLife {
			sum += a.weight
			until = max(until, a.deniedUntil)
		}
	}
	if sum >= unit/2 {
		return t.exceed(until, now)
	}
	t.usage.count(Unavailable, now)
	return Decision{Unavailable, unavailableRetry}
}

// step does what is due at now: it gives tokens to requests that wait, ends those that
// have waited for too long, and sends the next asks.
func (t *teamState) step(now time.Duration) {
	t.serve(now)
	t.end(now)
	if len(t.waiting) == 0 {
		return
	}
	t.refresh()
	for t.useful(now) > 0 {
		area, open := t.nextArea(now)
		if !open {
			break
		}
		t.sendAsk(area, now)
		t.serve(now)
	}
	t.endDenied(now)
}

// serve gives the tokens of the stock to the requests that wait.
func (t *teamState) serve(now time.Duration) {
	served := 0
	for _, w := range t.waiting {
		expires, ok := t.stock.take(now)
		if !ok {
			break
		}
		w.expires = expires
		t.usage.count(Granted, now)
		served++
		w.resolve(Decision{Verdict: Granted})
	}
	t.waiting = slices.Delete(t.waiting, 0, served)
}

// end ends the requests whose time is over.
func (t *teamState) end(now time.Duration) {
	t.waiting = slices.DeleteFunc(t.waiting, func(w *waiter) bool {
		if now < w.deadline {
			return false
		}
		w.resolve(t.fail(now))
		return true
	})
}

// endDenied ends the requests that cannot wait for the time at which a holder expects
// a token.
func (t *teamState) endDenied(now time.Duration) {
	until, denied := t.deniedUntil(now)
	if !denied {
		return
	}
	t.waiting = slices.DeleteFunc(t.waiting, func(w *waiter) bool {
		if until < w.deadline {
			return false
		}
		w.resolve(t.exceed(until, now))
		return true
	})
}

// nextArea returns the area that is to be asked next: the own one, then the others, one
// at a time. It returns false while an answer is expected, or if there is none to ask.
func (t *teamState) nextArea(now time.Duration) (area int, open bool) {
	for i := range t.areas {
		area = t.areaAt(i)
		a := &t.areas[area]
		if now < a.deniedUntil {
			continue
		}
		if len(a.asks) == 0 {
			return area, true
		}
		switch passed := now - a.asks[len(a.asks)-1].sentAt; {
		case passed < askTimeout:
			return 0, false
		case passed >= repeatAfter:
			return area, true
		}
	}
	return 0, false
}

// useful returns the number of requests that wait long enough for the answer to an ask.
func (t *teamState) useful(now time.Duration) int {
	n := 0
	for _, w := range t.waiting {
		if w.deadline-now >= minUse {
			n++
		}
	}
	return n
}

// areaAt returns the area in place i. Teams begin with different ones of the others.
func (t *teamState) areaAt(i int) int {
	if i == 0 {
		return 0
	}
	others := len(t.areas) - 1
	return 1 + (int(t.hash%uint64(others))+i-1)%others
}

func (t *teamState) sendAsk(area int, now time.Duration) {
	wanted := min(t.useful(now), maxWaiting)
	number, local, weight := t.asker.ask(area, want{t.hash, uint16(wanted), t.demand()}, classOf(t.hash))
	a := &t.areas[area]
	if len(a.asks) == maxAsks {
		a.asks = slices.Delete(a.asks, 0, 1)
	}
	a.asks = append(a.asks, pendingAsk{number, wanted, now})
	if local != nil {
		t.receive(number, *local, weight, now)
	}
}

// receive applies the answer to an ask. An answer that was received before, or that
// belongs to an ask that is forgotten, changes nothing.
func (t *teamState) receive(number uint32, g grant, holderWeight weight, now time.Duration) {
	for i := range t.areas {
		a := &t.areas[i]
		at := slices.IndexFunc(a.asks, func(p pendingAsk) bool { return p.number == number })
		if at < 0 {
			continue
		}
		p := a.asks[at]
		a.asks = slices.Delete(a.asks, 0, at+1) // earlier ones are lost, as far as is known
		t.stock.add(int(g.granted), p.sentAt+demandLife)
		t.stock.add(int(g.prefetched), p.sentAt+prefetchLife)
		t.measureGrants(int(g.granted)+int(g.prefetched), now)
		a.deniedUntil, a.answeredAt, a.weight = 0, now, holderWeight
		if g.flags&flagUnknown != 0 {
			a.weight = 0
		}
		if int(g.granted) < p.wanted {
			a.contenders = g.retry.Seconds() * t.limit.Rate * float64(holderWeight) / float64(unit)
			if i > 0 {
				g.retry = max(g.retry, t.holdOff())
			}
			a.deniedUntil = now + g.retry
		}
		return
	}
}

// holdOff returns the shortest time between a denial of another area and the next ask.
func (t *teamState) holdOff() time.Duration {
	fills := t.limit.Burst / max(t.limit.Rate, minRate)
	return min(remoteHoldOff, time.Duration(remoteHoldOffShare*fills*float64(time.Second)))
}

// measureGrants counts granted tokens for grantRate.
func (t *teamState) measureGrants(tokens int, now time.Duration) {
	if passed := now - t.lastGrantsStart; passed >= grantRateWindow {
		t.grantRate = float64(t.grantsSlot) / passed.Seconds()
		t.grantsSlot, t.lastGrantsStart = 0, now
	}
	t.grantsSlot += tokens
}

// cancel removes a request whose caller no longer waits. If it was granted a token in
// the meantime, the token returns to the stock.
func (t *teamState) cancel(w *waiter) {
	if at := slices.Index(t.waiting, w); at >= 0 {
		t.waiting = slices.Delete(t.waiting, at, at+1)
		return
	}
	if w.expires != 0 {
		t.stock.add(1, w.expires)
	}
}
