package gossip

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/catchup"
	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/crashguard"
	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/recovery"
	"github.com/lentilflow/lentilflow/pkg/relay"
)

// peer is a node with a message listener that counts the bytes it sends.
type peer struct {
	*Node
	serving      atomic.Bool
	bytesSent    atomic.Int64
	lastAccepted atomic.Int64
}

type countingWriter struct {
	http.ResponseWriter
	n *atomic.Int64
}

func (c countingWriter) Write(b []byte) (int, error) {
	c.n.Add(int64(len(b)))
	return c.ResponseWriter.Write(b)
}

func newPeer(t *testing.T, name string) *peer {
	t.Helper()
	p := &peer{}
	p.serving.Store(true)
	e := echo.New()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.ServeHTTP(countingWriter{w, &p.bytesSent}, r)
	}))
	t.Cleanup(server.Close)
	p.Node = &Node{
		Self: fleet.Member{
			Node: model.NodeID(name), Service: "s", CallAddress: "127.0.0.1:1", MessageAddress: strings.TrimPrefix(server.URL, "http://"),
			Location: model.Location{Region: "r", AvailabilityZone: "z"},
		},
		Config: config.NewHolder(), View: fleet.NewView(), Notices: crashguard.NewMemoryRegistry(time.Now), Departures: recovery.NewDepartures(time.Time{}), Serving: p.serving.Load,
		ApplyTime: relay.MinApplyTime, Client: NewClient(), Log: zap.NewNop(), OnConfig: func(v config.Version, _ string) { p.lastAccepted.Store(int64(v)) },
	}
	p.OnFleet = func([]model.NodeID) {}
	p.OnEra = func(follow.Era) {}
	// Datagrams use the port of the message listener, as on a node.
	at := netip.MustParseAddrPort(p.Self.MessageAddress)
	var err error
	if p.Datagrams, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(at)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Datagrams.Close() })
	p.Init(time.Now())
	p.RegisterHandlers(e)
	return p
}

func configuration(v config.Version) *config.Configuration {
	c := &config.Configuration{Version: v, Services: []config.Service{{Name: "s"}}}
	for i := range 300 {
		c.Routes = append(c.Routes, config.Route{
			Name: "r", Host: strings.Repeat("h", i+1), Prefix: "/", MaxAttempts: 1, Split: []config.Share{{Service: "s", Weight: 1}},
		})
	}
	return c
}

func (p *peer) offerConfig(t *testing.T, v config.Version) {
	t.Helper()
	if _, err := p.Config.Offer(configuration(v)); err != nil {
		t.Fatal(err)
	}
}

// Guards the transfer of configuration and fleet to a node without the store,
// and to a node that has neither.
func TestNodeWithoutStoreSyncsFromPeer(t *testing.T) {
	is := is.New(t)
	a, b := newPeer(t, "a"), newPeer(t, "b")
	a.offerConfig(t, 7)
	a.View.Replace([]fleet.Member{a.Self, b.Self}, follow.At(3), time.Now())
	b.SetStoreAvailable(false)
	b.syncWith(t.Context(), a.Self)
	is.Equal(b.Config.Version(), config.Version(7))
	is.Equal(b.View.Current().Position, follow.At(3))
	is.Equal(b.lastAccepted.Load(), int64(7))

	// In the other direction: a node that receives a newer digest requests the
	// update.
	c := newPeer(t, "c")
	a.syncWith(t.Context(), c.Self)
	for end := time.Now().Add(5 * time.Second); c.Config.Version() == 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(c.Config.Version(), config.Version(7))
}

// Guards against whole configurations that are sent to nodes which are reading
// the same version from the store. With 90 nodes they saturated the links
// between zones whenever an upstream was added or removed.
func TestNodeWithStoreReceivesDigestsOnly(t *testing.T) {
	is := is.New(t)
	a, b := newPeer(t, "a"), newPeer(t, "b")
	b.offerConfig(t, 6)
	a.offerConfig(t, 7)
	a.View.Replace([]fleet.Member{a.Self, b.Self}, follow.At(3), time.Now())
	b.View.Replace([]fleet.Member{a.Self}, follow.At(2), time.Now())
	for range 10 {
		b.syncWith(t.Context(), a.Self)
		a.syncWith(t.Context(), b.Self)
	}
	is.Equal(b.Config.Version(), config.Version(6))
	const digest = 500 // upper bound for a digest, in bytes
	is.True(a.bytesSent.Load()+b.bytesSent.Load() < 20*digest)

	// If the store does not deliver the version within configLagTimeout, the other
	// node does.
	b.configLag.CaughtUp(versionPosition(7), time.Now())
	b.configLag.Observe(catchup.Observation{At: versionPosition(7), From: "a"}, versionPosition(6), time.Now().Add(-configLagTimeout-time.Millisecond))
	b.syncWith(t.Context(), a.Self)
	is.Equal(b.Config.Version(), config.Version(7))
	is.Equal(b.View.Current().Position, follow.At(3))
}

// Guards the order of the digests of a node: a late digest does not replace a
// newer one, and after a restart the sequence starts again.
func TestDigestsAreOrdered(t *testing.T) {
	is := is.New(t)
	a := newPeer(t, "a")
	other := fleet.Member{Node: "b", Service: "s", CallAddress: "127.0.0.1:2", MessageAddress: "127.0.0.1:3", Location: a.Self.Location}
	a.View.Replace([]fleet.Member{a.Self, other}, follow.At(1), time.Now())
	state := func() model.UpstreamNodeState { return a.View.Current().UpstreamNodes("s")[1].State }
	a.applyDigestState(Digest{From: other, Serving: false, Started: 1, Sequence: 5})
	is.Equal(state(), model.NotServing)
	a.applyDigestState(Digest{From: other, Serving: true, Started: 1, Sequence: 4})
	is.Equal(state(), model.NotServing)
	a.applyDigestState(Digest{From: other, Serving: true, Started: 2, Sequence: 1})
	is.Equal(state(), model.Ready)
}

// Guards against a node whose states are ignored forever because its clock was
// set back before a restart.
func TestEarlierStartIsAcceptedAfterGracePeriod(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	last := stateOrder{started: 10, sequence: 5, at: now}
	earlierStart := State{Started: 8, Sequence: 1}
	is.True(!last.olderThan(&earlierStart, now.Add(restartGracePeriod)))
	is.True(last.olderThan(&earlierStart, now.Add(restartGracePeriod+1)))
}

// Guards against invalid messages: they are rejected and change nothing.
func TestInvalidMessagesAreRejected(t *testing.T) {
	is := is.New(t)
	a := newPeer(t, "a")
	for _, path := range []string{pathSync, pathCrash} {
		for _, body := range []string{"", "{", `[]`, `{"from":7}`, `{"fingerprint":"zz"}`} {
			resp, err := http.Post("http://"+a.Self.MessageAddress+path, "application/json", strings.NewReader(body))
			is.NoErr(err)
			_ = resp.Body.Close()
			is.Equal(resp.StatusCode, http.StatusBadRequest)
		}
	}
	is.True(a.Notices.Empty())
}

// Guards the distribution of crash notices: after two crashes of a request,
// other nodes refuse it, and a completed request is cleared.
func TestCrashNoticesReachOtherNodes(t *testing.T) {
	is := is.New(t)
	a, b := newPeer(t, "a"), newPeer(t, "b")
	a.View.Replace([]fleet.Member{a.Self, b.Self}, follow.At(1), time.Now())
	f := crashguard.Fingerprint{1}
	now := time.Now()
	for i, up := range []model.NodeID{"x", "y"} {
		c := crashguard.Crash{ID: string(up), Upstream: up, At: now.Add(time.Duration(i) * time.Second)}
		a.ReportCrash(t.Context(), CrashNotice{Fingerprint: f, Service: "s", Crash: &c})
	}
	r, ok := b.Notices.Lookup(f)
	is.True(ok)
	is.True(r.Refused(now.Add(time.Second)))
	g := crashguard.Fingerprint{2}
	a.ReportCrash(t.Context(), CrashNotice{Fingerprint: g, Service: "s", Crash: &crashguard.Crash{ID: "1", Upstream: "x", At: now}})
	a.ReportCrash(t.Context(), CrashNotice{Fingerprint: g, Service: "s"})
	_, ok = b.Notices.Lookup(g)
	is.True(!ok)
}

// Guards against a node that stays marked as unreachable although it responds,
// for example because this node itself was delayed when it sent a message.
func TestProbeRestoresReachability(t *testing.T) {
	is := is.New(t)
	a, b := newPeer(t, "a"), newPeer(t, "b")
	a.View.Replace([]fleet.Member{a.Self, b.Self}, follow.At(1), time.Now())
	ended := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { ended <- a.Probe(ctx) }()
	a.View.SetUnreachable("b", time.Now())
	for end := time.Now().Add(10 * time.Second); a.View.IsUnreachable("b") && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.True(!a.View.IsUnreachable("b"))
	cancel()
	is.NoErr(<-ended)
}

// Guards against a busy or starting node that is marked as unreachable. Only a
// connection attempt that times out may do so.
func TestOnlyDialTimeoutMakesNodeUnreachable(t *testing.T) {
	is := is.New(t)
	a := newPeer(t, "a")
	m := fleet.Member{Node: "b", Service: "s", CallAddress: "127.0.0.1:2", MessageAddress: "127.0.0.1:3", Location: a.Self.Location}
	a.View.Replace([]fleet.Member{a.Self, m}, follow.At(1), time.Now())
	a.handleSendError(m, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED})
	a.handleSendError(m, &net.OpError{Op: "read", Err: os.ErrDeadlineExceeded})
	a.handleSendError(m, context.DeadlineExceeded)
	is.True(!a.View.IsUnreachable("b"))
	a.handleSendError(m, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded})
	is.True(a.View.IsUnreachable("b"))
	_, found := a.randomNode()
	is.True(!found) // an unreachable node is not selected for a sync
}

// Guards against messages to all nodes that are delayed by unreachable ones.
func TestUnreachableNodesAreSentToLast(t *testing.T) {
	is := is.New(t)
	a := newPeer(t, "a")
	members := []fleet.Member{a.Self}
	for _, name := range []string{"b", "c", "d"} {
		m := a.Self
		m.Node = model.NodeID(name)
		members = append(members, m)
	}
	a.View.Replace(members, follow.At(1), time.Now())
	a.View.SetUnreachable("c", time.Now())
	others := a.allOthers()
	is.Equal(len(others), 3)
	is.Equal(others[2].Node, model.NodeID("c"))
}

// Guards against one odd entry of a message, for example a node with a port out of
// range, that makes a node refuse the message or take the entry for a node.
func TestOddEntriesOfMessagesCostOnlyThemselves(t *testing.T) {
	is := is.New(t)
	a := newPeer(t, "a")
	good, err := json.Marshal(a.Self)
	is.NoErr(err)
	odd := strings.Replace(strings.Replace(string(good), `"a"`, `"b"`, 1), a.Self.MessageAddress, "127.0.0.1:99999", 1)
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	list := fmt.Sprintf(`[%s,7,%s,{"node":%s},null]`, odd, good, deep)
	for _, text := range []string{
		fmt.Sprintf(`{"from":%s,"nodes":%s,"fleet":3}`, good, list),
		fmt.Sprintf(`{"from":%s,"changes":{"set":%s,"revision":3},"fleet":3}`, good, list),
	} {
		var u Update
		is.NoErr(a.decodeUpdate([]byte(text), &u, "x"))
		nodes := u.Nodes
		if u.FleetChange != nil {
			nodes = u.FleetChange.Set
			is.Equal(u.FleetChange.Position, follow.At(3))
		}
		is.Equal(nodes, []fleet.Member{a.Self})
		is.Equal(u.fleetPosition(), follow.At(3))
	}
	var d Datagram
	is.NoErr(a.decodeDatagram([]byte(`{"from":"b","relay":true,"states":[{"node":7},{"node":"c","serving":true,"sequence":1},{"node":""},{"node":"d","sequence":-1}]}`), &d))
	is.Equal(d.States, []State{{Node: "c", Serving: true, Sequence: 1}})
	is.True(d.IsRelay)

	body := `[{"node":1},{"node":"e","serving":true,"started":1,"sequence":1}]`
	resp, err := http.Post("http://"+a.Self.MessageAddress+pathStates, "application/json", strings.NewReader(body))
	is.NoErr(err)
	_ = resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusNoContent)
}

// Guards against memory that grows with the names in states of nodes that do not
// exist.
func TestStatesOfUnknownNodesAreBounded(t *testing.T) {
	is := is.New(t)
	a := newPeer(t, "a")
	for i := range 3 * maxUnknownNodes {
		a.applyStates([]State{{Node: model.NodeID(fmt.Sprint("unknown-", i)), Sequence: 1}})
	}
	is.Equal(len(a.lastStates), maxUnknownNodes)
}
