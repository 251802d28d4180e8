package gossip

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/relay"
)

const patience = 5 * time.Second // bounds what must happen, not how fast

// zoneOfPeers returns peers of one zone with their loops running, in the order
// in which they become relays.
func zoneOfPeers(t *testing.T, zone string, count int) []*peer {
	t.Helper()
	byName := make(map[model.NodeID]*peer)
	var ids []model.NodeID
	for i := range count {
		p := newPeer(t, fmt.Sprintf("%s-%d", zone, i))
		p.Self.Location.AvailabilityZone = model.AvailabilityZone(zone)
		byName[p.Self.Node] = p
		ids = append(ids, p.Self.Node)
	}
	var peers []*peer
	for _, id := range relay.Order(ids) {
		peers = append(peers, byName[id])
	}
	return peers
}

func introduce(peers []*peer, at follow.Revision) {
	var members []fleet.Member
	for _, p := range peers {
		members = append(members, p.Self)
	}
	for _, p := range peers {
		p.View.Replace(members, at)
	}
}

func (p *peer) run(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{}, 2)
	for _, loop := range []func(context.Context) error{p.RunBeacons, p.ReadDatagrams} {
		go func() {
			_ = loop(ctx)
			ended <- struct{}{}
		}()
	}
	t.Cleanup(func() {
		cancel()
		<-ended
		<-ended
	})
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal("not in time: " + what)
}

// Guards the way from a relay to the nodes of its zone: configurations and
// changes of the fleet reach nodes that do not read the store.
func TestZoneGetsWhatARelayReads(t *testing.T) {
	is := is.New(t)
	peers := zoneOfPeers(t, "z", 8)
	introduce(peers, 5)
	for _, p := range peers {
		p.run(t)
	}
	first := peers[0]
	relays, foremost, _ := first.RelayRole()
	is.True(relays && foremost)
	relays, foremost, _ = peers[1].RelayRole()
	is.True(relays && !foremost)
	relays, _, _ = peers[5].RelayRole()
	is.True(!relays)
	// The store turns the second relay away: it gets its state from the first
	// one, and the third node follows the store in its place.
	peers[1].SetStoreAvailable(false)
	first.offer(t, 7)
	first.TriggerBeacon()
	joined := first.Self
	joined.Node, joined.MessageAddress = "z-new", "127.0.0.1:1"
	first.View.Apply(fleet.Change{Set: []fleet.Member{joined}, Removed: []model.NodeID{peers[7].Self.Node}, Revision: 6})
	first.TriggerBeacon()
	eventually(t, "third relay", func() bool {
		relays, _, _ := peers[2].RelayRole()
		return relays
	})
	for _, p := range append([]*peer{first, peers[1]}, peers[3:7]...) {
		eventually(t, "state at "+string(p.Self.Node), func() bool {
			f := p.View.Current()
			_, gone := f.Members[peers[7].Self.Node]
			_, new := f.Members["z-new"]
			return p.Config.Version() == 7 && f.Revision == 6 && new && !gone
		})
	}
}

// Guards against bytes that grow with the fleet for a change of one row: a
// node that has the revision before gets the change only.
func TestOneChangeIsSentAlone(t *testing.T) {
	is := is.New(t)
	a, b := newPeer(t, "a"), newPeer(t, "b")
	var members []fleet.Member
	for i := range 500 {
		m := a.Self
		m.Node = model.NodeID(fmt.Sprint("n", i))
		members = append(members, m)
	}
	members = append(members, a.Self, b.Self)
	a.View.Replace(members, 10)
	b.View.Replace(members, 10)
	for r := follow.Revision(11); r < 14; r++ {
		m := members[int(r)]
		m.CallAddress = fmt.Sprint("x:", r)
		a.View.Apply(fleet.Change{Set: []fleet.Member{m}, Revision: r})
	}
	d := b.digest()
	d.NeedsUpdate = true
	b.exchange(t.Context(), a.Self, d)
	is.Equal(b.View.Current().Digest, a.View.Current().Digest)
	is.Equal(b.View.Current().Revision, follow.Revision(13))
	is.True(a.sent.Load() < 2500)

	c := newPeer(t, "c") // knows nothing, so it gets everything
	c.ask(t.Context(), a.Self)
	is.Equal(c.View.Current().Digest, a.View.Current().Digest)
}

// Guards against bytes that grow with the configuration for a change of one
// route: a node that has the version before gets the change only.
func TestOneChangedRouteIsSentAlone(t *testing.T) {
	is := is.New(t)
	a, b := newPeer(t, "a"), newPeer(t, "b")
	a.offer(t, 7)
	b.offer(t, 7)
	next := configuration(8)
	next.Routes[5].MaxAttempts = 9
	_, err := a.Config.Offer(next)
	is.NoErr(err)
	d := b.digest()
	d.NeedsUpdate = true
	b.exchange(t.Context(), a.Self, d)
	is.Equal(b.Config.Version(), config.Version(8))
	is.True(b.configBehind.known()) // until the agent says otherwise
	b.ConfigUpdated()
	is.True(!b.configBehind.known()) // else the node would read the store a second later
	is.Equal(b.Config.Current().Routes[5].MaxAttempts, 9)
	is.Equal(len(b.Config.Current().Routes), len(next.Routes))
	is.True(a.sent.Load() < 2000)
}

// Guards the turns at the store: relays follow it, the others read only when
// they hear no relay, or know of something newer that nobody gives them.
func TestTurnsAtTheStore(t *testing.T) {
	is := is.New(t)
	peers := zoneOfPeers(t, "z", 7)
	introduce(peers, 1)
	turns := func(p *peer) (*Schedule, context.Context) {
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		t.Cleanup(cancel)
		return p.ConfigSchedule(true), ctx
	}
	first, ctx := turns(peers[0])
	is.True(first.Next(ctx))
	is.True(peers[0].FleetSchedule().Next(ctx))
	is.True(peers[1].ConfigSchedule(true).Next(ctx))
	brief, stop := context.WithTimeout(ctx, relay.BeaconTimeout/2)
	defer stop()
	is.True(!peers[1].FleetSchedule().Next(brief)) // one is enough for the fleet
	is.True(brief.Err() != nil)
	alone := newPeer(t, "alone") // does not know the fleet yet, so it may have relays
	brief, stop = context.WithTimeout(ctx, relay.BeaconTimeout/2)
	defer stop()
	is.True(!alone.ConfigSchedule(true).Next(brief))
	is.True(brief.Err() != nil)

	last := peers[6]
	again := newPeer(t, "again") // it has started again and has no configuration
	is.True(!again.ConfigSchedule(false).Next(ctx))
	is.NoErr(ctx.Err())

	own, ctx := turns(last)
	began := time.Now()
	relaysHeard := func() {
		for _, p := range peers[:2] {
			last.takeDatagram(&Datagram{From: p.Self.Node, IsRelay: true, StoreAvailable: true})
		}
	}
	relaysHeard() // the peer was made a second ago
	go func() {   // both relays are heard for a while, then end
		for range 5 {
			time.Sleep(relay.BeaconPeriod)
			relaysHeard()
		}
	}()
	is.True(!own.Next(ctx)) // a read out of turn
	is.NoErr(ctx.Err())
	is.True(time.Since(began) > 5*relay.BeaconPeriod+relay.BeaconTimeout/2)

	for _, p := range peers[:2] { // they say that they have a newer version, and do not answer
		p.Self.MessageAddress = "127.0.0.1:1"
	}
	introduce(peers, 2)
	own, ctx = turns(peers[5])
	hear := func() {
		for _, p := range peers[:2] {
			peers[5].takeDatagram(&Datagram{From: p.Self.Node, IsRelay: true, StoreAvailable: true, ConfigVersion: 9})
		}
	}
	hear()
	heard := time.NewTicker(relay.BeaconPeriod)
	defer heard.Stop()
	done := make(chan bool, 1)
	go func() { done <- own.Next(ctx) }()
	for waiting := true; waiting; {
		select {
		case <-heard.C:
			hear()
		case follows := <-done:
			is.True(!follows)
			waiting = false
		}
	}
	is.NoErr(ctx.Err())
}

// Guards the way of a state to the nodes of another zone: one of them gets it
// and passes it on, also when the first ones do not answer.
func TestStatesReachOtherZones(t *testing.T) {
	near, far := zoneOfPeers(t, "near", 3), zoneOfPeers(t, "far", 5)
	introduce(append(near, far...), 1)
	for _, p := range append(near[1:], far...) {
		p.run(t)
	}
	from := near[0]
	from.serving.Store(false)
	state := func(p *peer) model.UpstreamNodeState {
		for _, e := range p.View.Current().Entries("s") {
			if e.Node == from.Self.Node {
				return e.State
			}
		}
		return model.Ready
	}
	from.run(t)
	from.Announce(t.Context())
	for _, p := range append(near[1:], far...) {
		eventually(t, "state at "+string(p.Self.Node), func() bool { return state(p) == model.NotServing })
	}
	far[0].Self.MessageAddress = "127.0.0.1:1" // nobody listens
	introduce(append(near, far...), 2)
	from.serving.Store(true)
	from.Announce(t.Context())
	for _, p := range far[1:] {
		eventually(t, "return at "+string(p.Self.Node), func() bool { return state(p) == model.Ready })
	}
}

// Guards the size of datagrams when a zone of hundreds returns at once.
func TestDatagramsAreBounded(t *testing.T) {
	is := is.New(t)
	d := Datagram{From: model.NodeID(strings.Repeat("n", 63)), IsRelay: true, StoreAvailable: true, ConfigVersion: 1 << 60, FleetRevision: 1 << 60, MembersDigest: 1 << 63}
	for range statesPerDatagram {
		d.States = append(d.States, State{Node: d.From, Serving: true, Started: 1 << 62, Sequence: 1 << 62})
	}
	body, err := json.Marshal(&d)
	is.NoErr(err)
	is.True(len(body) <= maxDatagram)
}

// Guards against datagrams that cannot be used: they change nothing.
func TestUnusableDatagramsAreIgnored(t *testing.T) {
	is := is.New(t)
	peers := zoneOfPeers(t, "z", 5)
	introduce(peers, 1)
	last := peers[4]
	last.run(t)
	to := last.Datagrams.LocalAddr().String()
	for _, text := range []string{"", "{", "[]", `{"from":""}`, `{"from":7}`, strings.Repeat("x", 1300)} {
		nc, err := net.Dial("udp", to)
		is.NoErr(err)
		_, err = nc.Write([]byte(text))
		is.NoErr(err)
		_ = nc.Close()
	}
	is.Equal(last.Config.Version(), config.Version(0))
	peers[0].offer(t, 3)
	peers[0].run(t)
	peers[0].TriggerBeacon()
	eventually(t, "version after unusable datagrams", func() bool { return last.Config.Version() == 3 })
}

// Guards against whole configurations that cross regions as plain JSON: with
// 1,400 routes and 30 nodes without the store they were most of the bytes
// between regions.
func TestLargeAnswersAreCompressed(t *testing.T) {
	is := is.New(t)
	a, b := newPeer(t, "a"), newPeer(t, "b")
	c := configuration(7)
	for i := range 500 {
		r := c.Routes[0]
		r.Name, r.Prefix = fmt.Sprint("r", i), fmt.Sprintf("/p%d/", i)
		c.Routes = append(c.Routes, r)
	}
	plain, err := json.Marshal(c)
	is.NoErr(err)
	_, err = a.Config.Offer(c)
	is.NoErr(err)
	b.ask(t.Context(), a.Self)
	is.Equal(b.Config.Version(), config.Version(7))
	is.Equal(len(b.Config.Current().Routes), len(c.Routes))
	is.True(a.sent.Load() < int64(len(plain)/5))
}

// Guards against states that cannot be read.
func TestUnusableStatesAreRefused(t *testing.T) {
	is := is.New(t)
	a := newPeer(t, "a")
	for _, body := range []string{"", "{}", `[{"node":1}]`} {
		resp, err := http.Post("http://"+a.Self.MessageAddress+pathStates, "application/json", strings.NewReader(body))
		is.NoErr(err)
		_ = resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusBadRequest)
	}
}

// Pattern: the store leaves the relays of a zone without an answer, and calls of
// other zones show that there is a newer version. Guards against a node that
// forgets it because a neighbour lags as well: the zone got a version 2.7 s late.
func TestLaggingNeighbourDoesNotEndBeingBehind(t *testing.T) {
	is := is.New(t)
	a, b := newPeer(t, "a"), newPeer(t, "b")
	a.offer(t, 4)
	b.offer(t, 4)
	a.View.Replace([]fleet.Member{a.Self, b.Self}, 1)
	b.View.Replace([]fleet.Member{a.Self, b.Self}, 1)
	a.NoteNewerConfig(6)
	a.ask(t.Context(), b.Self)
	b.ask(t.Context(), a.Self)
	is.True(a.configBehind.known())
	a.offer(t, 5)
	a.ConfigUpdated()
	is.True(a.configBehind.known())
	a.offer(t, 6)
	a.ConfigUpdated()
	is.True(!a.configBehind.known())
}
