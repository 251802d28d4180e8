package contact

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

// Bounds that the parts of a fleet add to Timeout. The node that asks notices a silent
// connection overdueTime after its watch should have ended.
const (
	overdueTime = 700 * ms // platform.overdueMargin
	retryTime   = 150 * ms // follow.initialBackoff with its jitter
	maxLatency  = 30 * ms  // of a message or a request, one way
	connectTime = 4 * maxLatency
	// fetchTime is until a node that hears of a version has it from another node.
	fetchTime = 900 * ms
	// announceRepeat is when a version that was announced and not acknowledged is announced
	// again.
	announceRepeat = 250 * ms
	// noticedTime bounds the time from the silence of all connections until all nodes
	// watch on new ones, or have heard of a version, if any node asks in time.
	noticedTime = Interval + overdueTime + retryTime + 2*connectTime + maxLatency
	// replacedTime is the same if the node that should ask has ended.
	replacedTime = Interval + noticeSlack + rankDelay + connectTime + maxLatency + fetchTime
)

// Guards the sum of the times that pass until a silence of all connections to the store
// is noticed: it must be shorter than the stable window of the smallest deployment.
func TestTimesUntilSilenceIsNoticed(t *testing.T) {
	const stableWindow = 3 * time.Second
	is := is.New(t)
	is.True(noticedTime < stableWindow)
	is.True(replacedTime < stableWindow)
	for rank := range 5000 {
		is.True(Timeout(rank) <= MaxAge)
		is.True(Timeout(rank) <= Timeout(rank+1))
	}
}

// event is one step of the model.
type event struct {
	at time.Duration
	do func()
}

// model is a fleet of followers in virtual time.
type model struct {
	rand   *rand.Rand
	now    time.Duration
	events []event
	nodes  []*modelNode
	calls  int
	lossOf float64 // part of the notices that are lost
	// silentFrom is when all connections that are open fall silent.
	silentFrom time.Duration
	versionAt  time.Duration // when the store accepts a version
	unlimited  bool          // a fault of the product: watches are as long as the store permits
}

type modelNode struct {
	m       *model
	id      int
	tracker *Tracker
	up      bool
	watch   int // number of the present watch
	opened  time.Duration
	knows   func(o *modelNode) bool // the members of the fleet that it knows
	version bool
	gotAt   time.Duration
}

func (m *model) after(d time.Duration, do func()) {
	e := event{m.now + d, do}
	at := len(m.events)
	for at > 0 && m.events[at-1].at > e.at {
		at--
	}
	m.events = append(m.events, event{})
	copy(m.events[at+1:], m.events[at:])
	m.events[at] = e
}

func (m *model) latency() time.Duration {
	return 2*ms + time.Duration(m.rand.Int64N(int64(maxLatency-2*ms)))
}

// runUntil plays the events before a time.
func (m *model) runUntil(end time.Duration) {
	for len(m.events) > 0 && m.events[0].at <= end {
		e := m.events[0]
		m.events, m.now = m.events[1:], e.at
		e.do()
	}
	m.now = end
}

// rank returns the rank of a node among those that it knows, and their number. They are
// ordered by id.
func (n *modelNode) rank() (rank, followers int) {
	for _, o := range n.m.nodes {
		if o != n && !n.knows(o) {
			continue
		}
		if o.id < n.id {
			rank++
		}
		followers++
	}
	return rank, followers
}

func (n *modelNode) start() {
	n.up, n.tracker, n.version = true, NewTracker(n.m.now), false
	n.ask(true)
	n.timer()
}

func (n *modelNode) end() { n.up = false; n.watch++ }

// ask sends the next watch, on a new connection or on that of the last response.
func (n *modelNode) ask(newConnection bool) {
	m := n.m
	m.calls++
	n.watch++
	watch := n.watch
	if newConnection {
		n.opened = m.now
	}
	rank, followers := n.rank()
	wait := n.tracker.NextWatch(rank, followers, m.rand.Float64(), m.now)
	if m.unlimited {
		wait = MaxWatch
	}
	if newConnection {
		wait = 0 // the first request on a connection is answered at once
	}
	answer := func(delay time.Duration) {
		m.after(delay, func() {
			switch {
			case n.watch != watch || !n.up:
			case n.opened <= m.silentFrom && m.silentFrom <= m.now: // nothing arrives
			default:
				n.answered()
			}
		})
	}
	answer(wait + 2*m.latency())
	if m.versionAt > m.now && m.versionAt < m.now+wait {
		answer(m.versionAt - m.now + m.latency())
	}
	m.after(wait+overdueTime, func() {
		if n.watch == watch && n.up {
			n.tracker.RecordSilence(m.now)
			m.after(time.Duration(m.rand.Int64N(int64(retryTime))), func() {
				if n.watch == watch && n.up {
					n.ask(true)
				}
			})
		}
	})
}

// answered processes a response of the store.
func (n *modelNode) answered() {
	m := n.m
	n.tracker.RecordResponse(m.now)
	before := n.version
	n.learn()
	rank, _ := n.rank()
	if n.tracker.OwesNotice(rank, n.version != before, m.now) {
		n.tracker.RecordNoticeSent(m.now)
		age, silent := n.tracker.SilenceAge(m.now)
		version := n.version
		for _, o := range m.nodes {
			lost := m.rand.Float64() < m.lossOf
			if o == n || !n.knows(o) || lost && !version {
				continue
			}
			delay := m.latency()
			if lost {
				delay += announceRepeat
			}
			m.after(delay, func() { o.hear(version, silent, age) })
		}
	}
	n.ask(false)
}

// learn records the version if the store has accepted it.
func (n *modelNode) learn() {
	if !n.version && n.m.versionAt > 0 && n.m.now >= n.m.versionAt {
		n.version, n.gotAt = true, n.m.now
	}
}

// hear processes a notice.
func (n *modelNode) hear(version, silent bool, age time.Duration) {
	m := n.m
	if !n.up {
		return
	}
	if version || !n.version {
		n.tracker.RecordNotice(m.now)
	}
	if version && !n.version {
		m.after(fetchTime, n.learn)
	}
	if silent && n.opened <= m.now-age {
		n.ask(true)
	}
}

// timer ends the watch when a response is due.
func (n *modelNode) timer() {
	m := n.m
	rank, _ := n.rank()
	if n.tracker.UntilRenewal(rank, m.now) <= 0 && !m.unlimited {
		n.tracker.RecordRenewal(m.now)
		n.ask(true)
	}
	rank, _ = n.rank()
	tracker := n.tracker
	m.after(max(n.tracker.UntilRenewal(rank, m.now), ms), func() {
		if n.up && n.tracker == tracker {
			n.timer()
		}
	})
}

// newModel returns a fleet whose nodes have started at random times within a minute, and
// have restarted since in part. Some of them do not know all others.
func newModel(seed uint64, nodes int, partialViews bool) *model {
	m := &model{rand: rand.New(rand.NewPCG(seed, 1)), silentFrom: time.Hour}
	for id := range nodes {
		n := &modelNode{m: m, id: id, knows: func(*modelNode) bool { return true }}
		if partialViews && m.rand.IntN(4) == 0 {
			missing := m.rand.IntN(nodes)
			n.knows = func(o *modelNode) bool { return o.id != missing }
		}
		m.nodes = append(m.nodes, n)
		m.after(time.Duration(m.rand.Int64N(int64(20*time.Second))), n.start)
		if m.rand.IntN(2) == 0 {
			m.after(20*time.Second+time.Duration(m.rand.Int64N(int64(20*time.Second))), func() {
				n.end()
				m.after(500*ms, n.start)
			})
		}
	}
	m.runUntil(time.Minute + time.Duration(m.rand.Int64N(int64(time.Minute))))
	return m
}

// lateNode plays a silence of all connections at a random time and a version after it. It
// returns which node has the version too late, "" if none has.
func lateNode(m *model, firstEnds bool) string {
	const (
		stableWindow = 3 * time.Second
		applyTime    = 2 * time.Second
	)
	m.silentFrom = m.now
	if firstEnds && len(m.nodes) > 1 {
		m.nodes[0].end()
	}
	m.versionAt = m.now + time.Duration(m.rand.Int64N(int64(6*time.Second)))
	m.runUntil(m.now + 20*time.Second)
	for _, n := range m.nodes {
		if n.up && (!n.version || n.gotAt > max(m.silentFrom+stableWindow, m.versionAt+applyTime)) {
			return fmt.Sprintf("node %d has the version %s after the silence, %s after it was accepted", n.id, n.gotAt-m.silentFrom, n.gotAt-m.versionAt)
		}
	}
	return ""
}

// Guards against a version that nodes see too late because all open connections to the
// store have fallen silent, whenever the nodes have started, and also if the node that
// asks for the others ends at that moment. Found by the review of 2026-12-07 (review/9).
func TestSilenceIsNoticedInTime(t *testing.T) {
	for _, nodes := range []int{1, 2, 3, 6, 18, 24, 100} {
		for seed := range uint64(60) {
			for _, firstEnds := range []bool{false, true} {
				m := newModel(seed, nodes, true)
				m.lossOf = 0.01
				if late := lateNode(m, firstEnds); late != "" {
					t.Fatalf("%d nodes, seed %d, first ends %v: %s", nodes, seed, firstEnds, late)
				}
			}
		}
	}
}

// Checks that lateNode detects a fleet in which no node asks the store.
func TestSilenceCheckDetectsUnlimitedWatches(t *testing.T) {
	detected := 0
	for seed := range uint64(20) {
		m := newModel(seed, 6, false)
		m.unlimited = true
		m.runUntil(m.now + time.Minute)
		if lateNode(m, false) != "" {
			detected++
		}
	}
	if detected < 10 {
		t.Errorf("detected in %d of 20 histories", detected)
	}
}

// Guards the cost: one response in Interval for a whole fleet, beside the ends of the
// watches of the others, whether its nodes started together or not.
func TestCallsOfCalmFleet(t *testing.T) {
	for _, nodes := range []int{1, 6, 18, 24, 100} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			m := newModel(7, nodes, false)
			m.lossOf = 0.001
			m.calls = 0
			const watched = 5 * time.Minute
			m.runUntil(m.now + watched)
			spread := min(time.Duration(nodes)*watchSpread, maxWatchSpread)
			permitted := float64(watched)/float64(Interval) + float64(nodes)*float64(watched)/float64(MaxWatch-spread)
			if float64(m.calls) > 1.05*permitted+2*float64(nodes) {
				t.Errorf("%d calls, %.0f permitted", m.calls, permitted)
			}
			t.Logf("%.2f calls a second", float64(m.calls)/watched.Seconds())
		})
	}
}
