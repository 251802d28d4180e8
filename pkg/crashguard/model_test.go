package crashguard

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// The model has a few nodes with an upstream each, and a store. Time is virtual, and each
// node has a clock of its own. One request that crashes upstreams is sent again and again.
// Notices are lost, nodes are killed and started again, in turn or all together, clocks
// jump, and the store is away for some time. The records are those of the product; the
// messages do what pkg/gossip and pkg/agent do with them.
const (
	crashNodes       = 9
	crashHistory     = 120 * time.Second
	crashRequests    = 333 * time.Millisecond // between two requests
	crashAttempts    = 2                      // of one call
	crashBack        = 3 * time.Second        // until a crashed upstream is back
	crashRestart     = 500 * time.Millisecond
	crashDigests     = 2400 * time.Millisecond
	crashRecoverFrom = 5
	// crashInTouch is how long a node must have run for its requests to count, and how
	// long after the third crash they do.
	crashInTouch = 3 * time.Second
	// crashAllowed is the number of requests that may reach an upstream after that.
	crashAllowed = 3
)

var crashing = Fingerprint{1}

// crashEvent is something that happens at a time of the model.
type crashEvent struct {
	at    time.Duration
	order int // of events at the same time
	do    func()
}

type crashEvents []crashEvent

func (q crashEvents) Len() int { return len(q) }
func (q crashEvents) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].order, q[j].order)) < 0
}
func (q crashEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *crashEvents) Push(e any)   { *q = append(*q, e.(crashEvent)) }
func (q *crashEvents) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

type crashNode struct {
	w        *crashWorld
	id       model.NodeID
	offset   time.Duration // of its clock at the start of its process
	jumped   time.Duration // offset of the next process; within one, times are monotonic
	registry *MemoryRegistry
	started  time.Duration // of its process
	alive    bool
	settled  bool
	cut      bool // notices do not reach it
	down     bool // its upstream has crashed
}

// crashWorld is one history of the model.
type crashWorld struct {
	rand    *rand.Rand
	variant crashVariant
	now     time.Duration
	events  crashEvents
	order   int
	nodes   []*crashNode
	store   *Record
	away    bool
	boots   int
	crashes []time.Duration
	late    int // requests that reached an upstream although they must not
}

// crashVariant is a deliberate fault of the product.
type crashVariant struct{ forgets, trustsClocks bool }

var crashEpoch = time.Unix(1_800_000_000, 0)

func (n *crashNode) clock() time.Time { return crashEpoch.Add(n.w.now + n.offset) }

func (w *crashWorld) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, crashEvent{w.now + d, w.order, do})
}

func (w *crashWorld) every(d time.Duration, do func()) {
	w.after(d/2+time.Duration(w.rand.Int64N(int64(d))), func() { do(); w.every(d, do) })
}

func (w *crashWorld) node() *crashNode { return w.nodes[w.rand.IntN(crashNodes)] }

// receive merges a record that another node has sent at the present time of the model.
func (n *crashNode) receive(sent Record) {
	if n.w.variant.trustsClocks {
		sent = sent.mapCrashes(func(c Crash) Crash { c.Age = 0; return c })
	}
	if r := sent; r.Check(n.clock()) == nil {
		n.registry.Merge(crashing, r.ReceivedAt(n.clock()))
	}
}

// recordsOf returns what a node sends of its record, and whether it has one.
func (n *crashNode) recordsOf() (Record, bool) {
	r, ok := n.registry.Lookup(crashing)
	return r.WithAges(n.clock()), ok && len(r.Crashes) > 0
}

func (n *crashNode) refuses() bool {
	r, ok := n.registry.Lookup(crashing)
	return ok && r.Refused(n.clock())
}

func (n *crashNode) start() {
	n.offset = n.jumped
	n.registry = NewMemoryRegistry(n.clock)
	n.started, n.alive, n.settled = n.w.now, true, false
	n.w.after(30*time.Millisecond, n.recover)
}

// recover gets the record from other nodes, or from the store if none of them is settled.
func (n *crashNode) recover() {
	if !n.alive || n.settled || n.w.variant.forgets {
		return
	}
	answered := false
	for _, i := range n.w.rand.Perm(crashNodes)[:crashRecoverFrom] {
		if o := n.w.nodes[i]; o != n && o.alive && o.settled {
			answered = true
			if r, ok := o.recordsOf(); ok {
				n.receive(r)
			}
		}
	}
	if !answered && n.w.away {
		n.w.after(200*time.Millisecond, n.recover)
		return
	}
	if !answered && n.w.store != nil && n.w.store.Check(n.clock()) == nil {
		n.registry.Merge(crashing, *n.w.store)
	}
	n.settled = true
}

func (w *crashWorld) kill(nodes ...*crashNode) {
	for _, n := range nodes {
		if n.alive {
			n.alive = false
			w.after(crashRestart, n.start)
		}
	}
}

// send sends the request to a node, which tries upstreams until one refuses it.
func (w *crashWorld) send() {
	caller := w.node()
	for attempt := 0; caller.alive && attempt < crashAttempts && !caller.refuses(); attempt++ {
		u := w.node()
		if !u.alive || u.down {
			continue
		}
		if u.refuses() {
			return
		}
		w.crash(caller, u)
		w.now += 40 * time.Millisecond // until the loss is known
	}
}

// crash lets an upstream run the request, which ends it, and its node report that.
func (w *crashWorld) crash(caller, u *crashNode) {
	inTouch := w.now-max(caller.started, u.started) >= crashInTouch && !caller.cut && !u.cut
	if len(w.crashes) >= 3 && w.now-w.crashes[2] >= crashInTouch && inTouch {
		w.late++
	}
	w.crashes = append(w.crashes, w.now)
	u.down = true
	w.after(crashBack, func() { u.down = false })
	w.boots++
	const ran = 10 * time.Millisecond
	c := Crash{ID: fmt.Sprint(w.boots), Upstream: u.id, At: u.clock(), RanFor: ran, Alone: true}
	u.registry.RecordLocal(crashing, "s", c)
	if r, ok := u.registry.Lookup(crashing); ok && r.Refused(u.clock()) {
		w.write(r)
	}
	for _, o := range w.nodes {
		latency := time.Duration(1+w.rand.IntN(30)) * time.Millisecond
		if o == u || o.cut || u.cut || w.rand.IntN(20) == 0 { // some notices are lost
			continue
		}
		sent := Record{Service: "s", Crashes: []Crash{c}}.WithAges(u.clock())
		w.after(latency, func() {
			if o.alive {
				o.receive(sent)
			}
		})
	}
}

// write writes a record to the store, again and again while it is away.
func (w *crashWorld) write(r Record) {
	if w.away {
		w.after(2*time.Second, func() { w.write(r) })
		return
	}
	w.store = &r
}

// digest exchanges the refused requests of two nodes if they differ.
func (w *crashWorld) digest(n *crashNode) {
	o := w.node()
	if n == o || !n.alive || !o.alive || n.cut || o.cut || n.registry.RefusedDigest() == o.registry.RefusedDigest() {
		return
	}
	for _, pair := range [][2]*crashNode{{n, o}, {o, n}} {
		if r, ok := pair[0].recordsOf(); ok && pair[0].refuses() {
			pair[1].receive(r)
		}
	}
}

// disturb makes one random disturbance.
func (w *crashWorld) disturb() {
	n := w.node()
	switch w.rand.IntN(7) {
	case 0, 1, 2:
		w.kill(n)
	case 3:
		w.kill(n, w.node(), w.node())
	case 4:
		w.away = !w.away
		w.after(10*time.Second, func() { w.away = false })
	case 5:
		n.jumped = time.Duration(w.rand.Int64N(int64(6*time.Minute))) - 3*time.Minute
	case 6:
		n.cut = true
		w.after(3*time.Second, func() { n.cut = false })
	}
}

// crashFault plays the history of a seed and returns a description of the fault, "" if
// there is none.
func crashFault(seed uint64, variant crashVariant) string {
	w := &crashWorld{rand: rand.New(rand.NewPCG(seed, 1)), variant: variant}
	for i := range crashNodes {
		n := &crashNode{w: w, id: model.NodeID(fmt.Sprint("n", i))}
		w.nodes = append(w.nodes, n)
		n.registry, n.alive, n.settled, n.started = NewMemoryRegistry(n.clock), true, true, -time.Minute
		w.every(crashDigests, func() { w.digest(n) })
	}
	w.every(crashRequests, w.send)
	w.every(time.Second, w.disturb)
	for w.now < crashHistory {
		e := heap.Pop(&w.events).(crashEvent)
		w.now = max(w.now, e.at)
		e.do()
	}
	if w.late > crashAllowed {
		return fmt.Sprintf("%d requests crashed upstreams later than %s after the third crash, %d in all", w.late, crashInTouch, len(w.crashes))
	}
	return ""
}

// crashSeeds returns the number of histories that are played. LENTILFLOW_SEEDS sets
// another one for long runs.
func crashSeeds() uint64 {
	n, _ := strconv.ParseUint(os.Getenv("LENTILFLOW_SEEDS"), 10, 64)
	return cmp.Or(n, 300)
}

// Guards against a request that goes on crashing upstreams, in any order of crashes, lost
// notices, ends and starts of nodes, outages of the store and jumps of clocks.
func TestCrashingRequestIsStoppedInAnyOrder(t *testing.T) {
	for seed := range crashSeeds() {
		if fault := crashFault(seed, crashVariant{}); fault != "" {
			t.Fatalf("seed %d: %s", seed, fault)
		}
	}
}

// Checks that crashFault detects a product whose nodes do not get records back after a
// start, and one that compares the clocks of different nodes.
func TestCrashModelDetectsBrokenVariants(t *testing.T) {
	for _, variant := range []crashVariant{{forgets: true}, {trustsClocks: true}} {
		found := false
		for seed := range crashSeeds() {
			found = found || crashFault(seed, variant) != ""
		}
		if !found {
			t.Errorf("%+v: no fault was found", variant)
		}
	}
}
