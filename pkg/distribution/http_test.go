package distribution

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/lentilflow/lentilflow/pkg/distribution/wire"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// grow starts a publisher and count more nodes in four zones of two regions.
func grow(m *mesh, count int) *meshNode {
	publisher := m.add("n-0", "a1")
	publisher.publisher.Store(true)
	m.eventually(5*time.Second, "publisher started", publisher.Settled)
	m.accept(publisher, version(1))
	for i := range count {
		m.add(fmt.Sprintf("n-%d", i+1), []string{"a1", "a2", "b1", "b2"}[i%4])
	}
	m.eventually(10*time.Second, "all at version 1", m.all(m.nodes, atVersion(1)))
	m.eventually(10*time.Second, "rosters complete", m.all(m.nodes, knows(count+1)))
	return publisher
}

// Guards against nodes that miss a version, rosters that stay apart and leases
// that are not granted.
func TestJoinAndStream(t *testing.T) {
	is := is.New(t)
	m := newMesh(t)
	publisher := grow(m, 14)
	for v := 2; v <= 4; v++ {
		m.accept(publisher, version(v))
		m.eventually(5*time.Second, "all at the new version", m.all(m.nodes, atVersion(model.Version(v))))
	}
	m.eventually(5*time.Second, "leases", m.all(m.nodes, func(n *meshNode) bool { return n.roster.MayServe() }))
	m.eventually(5*time.Second, "ages", m.all(m.nodes, func(n *meshNode) bool { return n.AsOfAge() < time.Second }))
	for _, n := range m.nodes {
		is.Equal(n.State().ApplyError, "")
		is.Equal(n.roster.View().Digest(), publisher.roster.View().Digest())
	}
}

// readFrame opens a raw stream and returns its first frame.
func readFrame(t *testing.T, n *meshNode, query string) wire.Frame {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.self.Address+wire.Stream.Path()+"?"+query, nil)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	f, _, err := wire.NewFrames(resp.Body).Next()
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// Guards against whole texts for nodes that were away briefly, and against
// deltas for nodes that hold another text.
func TestResumeByDelta(t *testing.T) {
	is := is.New(t)
	m := newMesh(t)
	publisher := grow(m, 0)
	held := publisher.held()
	m.accept(publisher, version(2))
	m.accept(publisher, version(3))
	f := readFrame(t, publisher, "node=x&generation=1&have=1&digest="+held.Digest)
	is.Equal(f.Version.From, model.Version(1))
	is.True(len(f.Version.Delta) > 0)
	text, err := textOf(f.Version, rulesText(1))
	is.NoErr(err)
	is.Equal(string(text), string(rulesText(3)))
	f = readFrame(t, publisher, "node=x&generation=2&have=1&digest=other")
	is.Equal(f.Version.From, model.Version(0))
	is.True(len(f.Version.Full) > 0)
	f = readFrame(t, publisher, "node=x&generation=3&have=3&digest="+publisher.held().Digest)
	is.True(f.Version == nil) // nothing to send but a heartbeat
}

// Guards against a version that is applied in part after a cut in the middle
// of its frame, and against a stream that does not come back.
func TestCutInMidFrame(t *testing.T) {
	is := is.New(t)
	m := newMesh(t)
	publisher := grow(m, 3)
	child := m.nodes[1]
	child.link.cut.Store(300) // heartbeats pass, versions do not
	m.accept(publisher, version(2))
	m.eventually(5*time.Second, "cut counted", func() bool {
		return testutil.ToFloat64(child.metrics.reconnects.WithLabelValues(string(endCut))) > 0
	})
	child.link.cut.Store(0)
	m.eventually(5*time.Second, "all at version 2", m.all(m.nodes, atVersion(2)))
	is.Equal(string(child.holder.Active().Text), string(rulesText(2)))
}

// Guards against a relay that takes every node of a herd, or sends the others
// away without a place to go.
func TestAdmission(t *testing.T) {
	is := is.New(t)
	m := newMesh(t)
	publisher := grow(m, 4)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	refused := 0
	for i := range maxChildren + 6 {
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s?node=x%d&generation=1&have=1", publisher.self.Address, wire.Stream.Path(), i), nil)
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		if resp.StatusCode == http.StatusServiceUnavailable {
			refused++
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			var out wire.Refusal
			is.NoErr(wire.Unmarshal(body, resp.Header.Get("Content-Encoding") == wire.Encoding, &out))
			is.True(len(out.Candidates) > 0)
			is.NoErr(resp.Body.Close())
		}
	}
	is.True(refused >= 6)
	is.Equal(publisher.hub.count(), maxChildren)
	m.accept(publisher, version(2)) // children by position are not shut out
	m.eventually(10*time.Second, "all at version 2", m.all(m.nodes, atVersion(2)))
}

// Guards against nodes that stay without a version after many relays die at
// once and the survivors reconnect together.
func TestHerdReconnects(t *testing.T) {
	m := newMesh(t)
	publisher := grow(m, 40)
	for _, n := range m.nodes[1:10] { // the oldest ones: roots and relays
		n.kill()
	}
	m.accept(publisher, version(2))
	live := append([]*meshNode{publisher}, m.nodes[10:]...)
	m.eventually(10*time.Second, "survivors at version 2", m.all(live, atVersion(2)))
	m.eventually(10*time.Second, "survivors attached", m.all(live[1:], func(n *meshNode) bool { return n.attached().open }))
}

// Guards against a drain that waits for the store.
func TestDrainWithStoreDown(t *testing.T) {
	is := is.New(t)
	m := newMesh(t)
	grow(m, 20)
	m.store.setDown(true)
	leaving := m.nodes[15]
	leaving.roster.SetState(model.Draining)
	took := m.eventually(3*time.Second, "drain known everywhere", m.all(m.nodes, func(n *meshNode) bool {
		e, ok := n.roster.Get(leaving.self.Node)
		return ok && e.State == model.Draining
	}))
	t.Logf("drain known by 21 nodes after %v", took)
	leaving.roster.SetState(model.Gone)
	leaving.Flush(context.Background())
	m.eventually(3*time.Second, "leave known everywhere", m.all(m.nodes[:15], knows(20)))
	is.True(leaving.up.empty())
}

// Guards against a process that starts with an older version, or without
// enough sources, while the store is down.
func TestStartWithStoreDown(t *testing.T) {
	is := is.New(t)
	m := newMesh(t)
	publisher := grow(m, 8)
	m.accept(publisher, version(2))
	m.eventually(5*time.Second, "all at version 2", m.all(m.nodes, atVersion(2)))
	m.store.setDown(true)
	late := m.add("late", "b1")
	m.eventually(5*time.Second, "late node started", late.Settled)
	is.Equal(late.held().Number, model.Version(2))

	m.store.setDown(false)
	m.store.mu.Lock()
	m.store.head = version(3) // accepted, but its text is nowhere yet
	m.store.head.Info.Digest = "missing"
	m.store.mu.Unlock()
	early := m.add("early", "a2")
	time.Sleep(300 * time.Millisecond)
	is.True(!early.Settled())
	is.True(early.holder.Active() == nil) // version 2 would be a step back

	lonely := newMesh(t)
	lonely.store.setDown(true)
	n := lonely.add("lonely", "a1")
	time.Sleep(300 * time.Millisecond)
	is.True(!n.Settled())
	is.True(strings.Contains(n.State().Starting, "no other node is known"))
	is.True(!n.roster.MayServe())
}

// Guards against a partitioned region that stops or hides how old its
// configuration is, and against streams that flap while no publisher is heard.
func TestPartitionedRegion(t *testing.T) {
	is := is.New(t)
	m := newMesh(t)
	publisher := grow(m, 11)
	side := make(map[string]byte)
	for _, n := range m.nodes {
		side[n.self.Address] = n.self.Location.Region[0]
	}
	var far []*meshNode
	for _, n := range m.nodes {
		own := n.self.Location.Region[0]
		if own == 'b' {
			far = append(far, n)
		}
		blocked := func(host string) bool { return side[host] != own }
		n.link.blocked.Store(&blocked)
	}
	m.accept(publisher, version(2))
	time.Sleep(1500 * time.Millisecond)
	for _, n := range far {
		is.Equal(n.held().Number, model.Version(1))
		is.True(n.AsOfAge() > time.Second)
		is.True(n.roster.MayServe())
	}
	stale := 0.0
	for _, n := range far {
		stale += testutil.ToFloat64(n.metrics.reconnects.WithLabelValues(string(endStale)))
	}
	is.True(stale <= float64(len(far))) // at most once each, when the link breaks
	for _, n := range m.nodes {
		n.link.blocked.Store(nil)
	}
	m.eventually(10*time.Second, "far side at version 2", m.all(far, atVersion(2)))
	m.eventually(10*time.Second, "rosters complete", m.all(m.nodes, knows(12)))
	m.eventually(5*time.Second, "ages", m.all(far, func(n *meshNode) bool { return n.AsOfAge() < time.Second }))
}

// Guards against a node that goes on serving or keeps its generation after it
// was paused past its lease.
func TestLapsedLease(t *testing.T) {
	is := is.New(t)
	m := newMesh(t)
	grow(m, 4)
	n := m.nodes[3]
	before := n.generation()
	s := renewal{}
	lapsed := n.roster.Lease()
	is.True(lapsed.Ever)
	n.roster.Lapse()
	is.True(!n.roster.MayServe())
	n.renewOnce(context.Background(), &s)
	is.True(n.roster.MayServe())
	is.True(n.generation() > before)
	m.eventually(5*time.Second, "new generation known", m.all(m.nodes, func(o *meshNode) bool {
		e, _ := o.roster.Get(n.self.Node)
		return e.Generation == n.generation()
	}))
}

// Guards against versions of a new publisher that do not arrive because the
// tree still points at its dead predecessor.
func TestPublisherDies(t *testing.T) {
	m := newMesh(t)
	publisher := grow(m, 15)
	publisher.kill()
	live := m.nodes[1:]
	next := m.nodes[14] // a leaf
	next.publisher.Store(true)
	m.accept(next, version(2))
	took := m.eventually(10*time.Second, "all at version 2", m.all(live, atVersion(2)))
	m.accept(next, version(3))
	t.Logf("in force at 15 nodes after %v, the next version after %v", took,
		m.eventually(10*time.Second, "all at version 3", m.all(live, atVersion(3))))
	m.eventually(10*time.Second, "ages", m.all(live, func(n *meshNode) bool { return n.AsOfAge() < time.Second }))
	m.eventually(15*time.Second, "predecessor gone", m.all(live, knows(15)))
}
