package distribution

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lentilflow/lentilflow/pkg/delta"
	"github.com/lentilflow/lentilflow/pkg/distribution/wire"
	"github.com/lentilflow/lentilflow/pkg/membership"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// variant switches one mechanism off, to show that the fuzzer notices.
type variant string

const (
	sound             variant = ""
	noVersionOrder    variant = "versions are applied in the order of arrival"
	partialText       variant = "a cut text is applied"
	staleSnapshot     variant = "the snapshot of the previous version is kept"
	noFetch           variant = "a lost version is never requested"
	noRefutation      variant = "a node accepts a suspicion about itself"
	noSync            variant = "rosters are never compared"
	leaseFromAnswer   variant = "a lease counts from its answer"
	readyOnly         variant = "suspect entries are never used"
	startFromAnyNode  variant = "a process starts with the first answer"
	ageWithoutVersion variant = "a heartbeat renews the age of an older version"
)

const simTick = 500 * time.Millisecond

// steadyTime is how long a process must have held a version before its
// successor must start with it while the store is down: a process that started
// from the store may be alone with its version until others have fetched it. The
// same time is granted after a partition, when a process that finds only nodes
// of the side that was behind cannot know better.
const steadyTime = 10 * time.Second

// sim is a network of nodes in one goroutine with a virtual clock. Nodes use
// the decision code of this package and of package membership; messages of
// streams are lost, duplicated, delayed and reordered, requests fail before or
// after they take effect.
type sim struct {
	rnd       *rand.Rand
	variant   variant
	now       time.Time
	nodes     []*simNode
	net       []simMessage
	accepted  []model.VersionedText // by number - 1
	storeUp   bool
	publisher int  // index of the node with the publisher lease, -1 for none
	loss      int  // percent of messages and requests lost
	cut       bool // regions cannot reach each other
	healed    time.Time
	calm      bool // faults have ended
	failure   error
}

type simNode struct {
	id             model.NodeID
	loc            model.Location
	alive          bool
	died           time.Time
	pausedTill     time.Time
	deafTill       time.Time // its requests fail and streams to it carry nothing
	process        int
	slept, settled bool
	core           *membership.Core
	view           *membership.View
	watch          *membership.Watch
	holder         *Holder
	frames         *frameCache
	children       map[model.NodeID]*simChild
	parent         model.NodeID
	stream         int
	fresh          freshness
	search         search
	since          time.Time // of the last change of parent
	improper       time.Time
	beat           wire.BeatFrame
	asOf           asOf
	up             map[model.NodeID]model.Entry
	hint           model.Version
	hintFrom       model.NodeID
	lease          time.Time
	grantor        model.NodeID
	regenerated    bool
	contact        time.Time
	lastBeat       time.Time
	lastRenew      time.Time
	lastSync       time.Time
	best           model.Version       // highest version in force in this process, or steadily in an earlier one
	history        []model.VersionInfo // versions of this process; AcceptedAt is when they came into force
}

// simChild is a stream as its server sees it.
type simChild struct {
	stream, process int
	held            model.VersionInfo
	entries         map[model.NodeID]model.Entry
}

type simMessage struct {
	at      time.Time
	to      *simNode
	process int
	from    model.NodeID
	stream  int
	frame   wire.Frame
	renewal *simRenewal
}

type simRenewal struct {
	sent    time.Time
	grantor model.NodeID
}

func newSim(seed uint64, v variant) *sim {
	s := &sim{
		rnd: rand.New(rand.NewPCG(seed, 7)), variant: v, storeUp: true,
		now: time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC),
	}
	for i := range 12 {
		zone := []string{"a1", "a1", "a2", "b1"}[i%4]
		n := &simNode{id: model.NodeID(fmt.Sprintf("n%d", i)), loc: model.Location{
			Region: model.Region(zone[:1]), AvailabilityZone: model.AvailabilityZone(zone),
		}}
		s.nodes = append(s.nodes, n)
		s.boot(n)
		s.advance(1)
	}
	s.elect(0)
	s.publish()
	s.advance(10)
	return s
}

// service puts two nodes in each service.
func service(id model.NodeID) string { return "svc-" + string('0'+id[len(id)-1]%6) }

func (s *sim) fail(format string, args ...any) {
	if s.failure == nil {
		s.failure = fmt.Errorf(format, args...)
	}
}

func (s *sim) chance(percent int) bool { return s.rnd.IntN(100) < percent }

func (s *sim) byID(id model.NodeID) *simNode {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (n *simNode) running(now time.Time) bool { return n.alive && !now.Before(n.pausedTill) }

func (n *simNode) held() model.VersionInfo {
	if a := n.holder.Active(); a != nil {
		return a.Info
	}
	return model.VersionInfo{}
}

func (n *simNode) tree() *membership.Tree {
	n.view = n.core.View(n.view)
	return n.view.Tree()
}

// linked reports whether packets pass between two nodes.
func (s *sim) linked(a, b *simNode) bool {
	return !s.cut || a.loc.Region == b.loc.Region
}

// call reports whether a request from a to b takes effect, and whether its
// answer arrives.
func (s *sim) call(a, b *simNode) (effect, answer bool) {
	if b == nil || a == b || s.now.Before(a.deafTill) || !b.running(s.now) || !s.linked(a, b) || s.chance(s.loss) {
		return false, false
	}
	answer = !s.chance(s.loss)
	b.contact = s.now
	if answer {
		a.contact = s.now
	}
	return true, answer
}

// send puts a stream frame or a renewal's answer on the network.
func (s *sim) send(m simMessage) {
	if s.now.Before(m.to.deafTill) || s.chance(s.loss) {
		return
	}
	for range 1 + s.rnd.IntN(10)/9 {
		delay := time.Duration(s.rnd.IntN(200)) * time.Millisecond
		if !s.calm && s.chance(5+s.loss) {
			delay = time.Duration(s.rnd.IntN(8000)) * time.Millisecond
		}
		m.at = s.now.Add(delay)
		s.net = append(s.net, m)
	}
}

// boot starts a new process of a node.
func (s *sim) boot(n *simNode) {
	s.now = s.now.Add(time.Millisecond)
	if s.isPublisher(n) {
		s.publisher = -1 // a new process holds no lease
	}
	steady := model.Version(0)
	if n.alive {
		n.died = s.now
	}
	for _, v := range n.history {
		if n.died.Sub(v.AcceptedAt) >= steadyTime && !s.cut && s.now.Sub(s.healed) >= steadyTime {
			steady = max(steady, v.Number)
		}
	}
	*n = simNode{
		id: n.id, loc: n.loc, best: steady, history: []model.VersionInfo{{Number: steady}}, process: n.process + 1, alive: true,
		watch: membership.NewWatch(), holder: NewHolder(), frames: &frameCache{},
		children: make(map[model.NodeID]*simChild), up: make(map[model.NodeID]model.Entry),
		since: s.now, contact: s.now, lastSync: s.now,
	}
	n.core = membership.NewCore(model.Entry{
		Node: n.id, Generation: uint64(s.now.UnixMilli()), Service: service(n.id), Location: n.loc, Address: "127.0.0.1:1",
	})
}

// advance runs ticks.
func (s *sim) advance(ticks int) {
	for range ticks {
		s.now = s.now.Add(simTick)
		s.deliver()
		for _, i := range s.rnd.Perm(len(s.nodes)) {
			if n := s.nodes[i]; n.running(s.now) {
				s.run(n)
			} else if n.alive {
				n.slept = true
			}
		}
		s.check()
	}
}

func (s *sim) deliver() {
	var later []simMessage
	due := s.net
	s.net = nil
	s.rnd.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, m := range due {
		switch from := s.byID(m.from); {
		case m.at.After(s.now) || m.to.alive && !m.to.running(s.now):
			later = append(later, m)
		case m.to.alive && m.to.process == m.process && s.linked(from, m.to):
			s.receive(m.to, m)
		}
	}
	s.net = append(s.net, later...)
}

func (s *sim) receive(n *simNode, m simMessage) {
	if m.renewal != nil {
		from := m.renewal.sent
		if s.variant == leaseFromAnswer {
			from = s.now
		}
		if end := membership.LeaseEnd(from, membership.LeaseDuration); end.After(n.lease) {
			n.lease, n.grantor = end, m.renewal.grantor
			n.regenerated = n.regenerated && !end.After(s.now)
		}
		return
	}
	if f := m.frame.Version; f != nil && n.settled {
		s.take(n, f, m.from)
	}
	s.merge(n, m.from, m.frame.Entries)
	if b := m.frame.Beat; b != nil && m.stream == n.stream && n.parent != "" && n.fresh.accept(b, s.now) {
		n.beat = *b
		n.hint = max(n.hint, b.Version)
		held := n.held()
		if s.variant == ageWithoutVersion {
			held.Number = max(held.Number, b.Version)
		}
		n.asOf.observe(b, held)
		s.beatDown(n)
	}
}

// take applies a version frame, as Relay.applyFrame does.
func (s *sim) take(n *simNode, f *wire.VersionFrame, from model.NodeID) {
	n.hint = max(n.hint, f.Info.Number)
	v := judgeFrame(n.held(), f)
	if s.variant == noVersionOrder && v == frameOld && len(f.Full) > 0 {
		n.holder, v = NewHolder(), frameApplies
	}
	if v == frameApplies {
		var held []byte
		if a := n.holder.Active(); a != nil {
			held = a.Text
		}
		text, err := textOf(f, held)
		if err != nil {
			s.fail("frame of version %d cannot be decoded: %v", f.Info.Number, err)
			return
		}
		s.apply(n, model.VersionedText{Info: f.Info, Text: text})
	} else if v != frameOld && s.variant != noFetch {
		s.fetch(n, s.byID(from), model.VersionInfo{})
	}
}

func (s *sim) apply(n *simNode, v model.VersionedText) {
	previous := n.holder.Active()
	if s.chance(s.loss / 2) { // cut on its way
		damaged := v
		damaged.Text = v.Text[:s.rnd.IntN(len(v.Text))]
		if s.variant == partialText && previous != nil {
			n.holder.active.Store(&Active{Info: v.Info, Text: damaged.Text, Snapshot: previous.Snapshot, File: previous.File})
			return
		}
		if n.holder.Apply(damaged) == nil && len(damaged.Text) < len(v.Text) && n.held().Number < v.Info.Number {
			s.fail("a damaged text was accepted")
		}
		return
	}
	_ = n.holder.Apply(v) // older versions are refused
	if s.variant == staleSnapshot && previous != nil {
		broken := *n.holder.Active()
		broken.Snapshot = previous.Snapshot
		n.holder.active.Store(&broken)
	}
	if a := n.holder.Active(); a != nil {
		n.frames.remember(a)
	}
}

func (s *sim) fetch(n, from *simNode, held model.VersionInfo) {
	if _, ok := s.call(n, from); !ok || !from.settled {
		return
	}
	if a := from.holder.Active(); a != nil && a.Info.Number > held.Number {
		if f, err := from.frames.frame(a, held); err != nil {
			s.fail("frame: %v", err)
		} else if judgeFrame(n.held(), f) == frameApplies {
			s.take(n, f, from.id)
		}
	}
}

// merge takes entries in and passes on what is new, as Relay.spread does.
func (s *sim) merge(n *simNode, from model.NodeID, entries []model.Entry) {
	for _, e := range entries {
		if s.variant == noRefutation && e.Node == n.id {
			continue
		}
		if changed, ok := n.core.Merge(e, s.now); ok {
			s.spread(n, from, changed)
		}
	}
}

func (s *sim) spread(n *simNode, from model.NodeID, e model.Entry) {
	if e.Node == n.id || from != n.parent || n.parent == "" {
		n.up[e.Node] = e
	}
	for id, c := range n.children {
		if id != from || e.Node == n.id {
			c.entries[e.Node] = e
		}
	}
}

func (s *sim) mark(n *simNode, v membership.Verdict) {
	if e, ok := n.core.Mark(v.Node, v.Generation, v.State, s.now); ok {
		s.spread(n, "", e)
	}
}

// publish accepts the next version at the publisher.
func (s *sim) publish() {
	if s.publisher < 0 || !s.nodes[s.publisher].running(s.now) || !s.storeUp {
		return
	}
	p := s.nodes[s.publisher]
	number := len(s.accepted) + 1
	text := []byte(fmt.Sprintf("service svc slots=12 connections=120 # Ana Prado: v%d\nservice svc-%d slots=1 connections=1 # Ana Prado: v\n"+
		"rule r path=/ service=svc-%d rank=0 deadline=%dms idempotent=yes # Ana Prado: v%d\n", number, number, number, 100+number, number))
	v := model.VersionedText{Text: text, Info: model.VersionInfo{
		Number: model.Version(number), Digest: delta.Digest(text), AcceptedAt: s.now, Publisher: p.id,
	}}
	s.accepted = append(s.accepted, v)
	if err := p.holder.Apply(v); err != nil {
		s.fail("publisher: %v", err)
	}
	p.frames.remember(p.holder.Active())
}

// roots returns the running nodes, in random order.
func (s *sim) running() []*simNode {
	out := slices.DeleteFunc(slices.Clone(s.nodes), func(n *simNode) bool { return !n.running(s.now) })
	s.rnd.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}
