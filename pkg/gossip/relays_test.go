package gossip

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/relay"
)

const testTimeout = 5 * time.Second // only bounds a hanging test

// newZone returns peers of one zone in the order in which they become relays.
func newZone(t *testing.T, zone string, count int) []*peer {
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

// setFleet sets the fleet of all peers to these peers, at one revision.
func setFleet(peers []*peer, at follow.Revision) {
	var members []fleet.Member
	for _, p := range peers {
		members = append(members, p.Self)
	}
	for _, p := range peers {
		p.View.Replace(members, follow.At(at), time.Now())
	}
}

// run runs the loops of p for datagrams and for fetches until the test ends.
func (p *peer) run(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{}, 3)
	for _, loop := range []func(context.Context) error{p.RunBeacons, p.ReadDatagrams, p.RunCatchUp} {
		go func() {
			_ = loop(ctx)
			ended <- struct{}{}
		}()
	}
	t.Cleanup(func() {
		cancel()
		for range 3 {
			<-ended
		}
	})
}

// eventually waits until condition returns true and fails the test after
// testTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met within %v: %s", testTimeout, what)
}

// Guards the distribution from a relay to the nodes of its zone: configurations
// and changes of the fleet reach nodes that do not read the store.
func TestRelayDistributesStateToZone(t *testing.T) {
	is := is.New(t)
	peers := newZone(t, "z", 8)
	setFleet(peers, 5)
	for _, p := range peers {
		p.run(t)
	}
	first := peers[0]
	isRelay, isFirst, _ := first.RelayRole()
	is.True(isRelay && isFirst)
	isRelay, isFirst, _ = peers[1].RelayRole()
	is.True(isRelay && !isFirst)
	isRelay, _, _ = peers[5].RelayRole()
	is.True(!isRelay)
	// The store is unavailable for the second relay. It gets its state from the
	// first one, and the third node becomes a relay in its place.
	peers[1].SetStoreAvailable(false)
	first.offerConfig(t, 7)
	first.TriggerBeacon()
	joined := first.Self
	joined.Node, joined.MessageAddress = "z-new", "127.0.0.1:1"
	first.View.Apply(fleet.Change{Set: []fleet.Member{joined}, Removed: []model.NodeID{peers[7].Self.Node}, Position: follow.At(6)}, time.Now())
	first.TriggerBeacon()
	eventually(t, "third node is a relay", func() bool {
		isRelay, _, _ := peers[2].RelayRole()
		return isRelay
	})
	for _, p := range append([]*peer{first, peers[1]}, peers[3:7]...) {
		eventually(t, string(p.Self.Node)+" has version 7 and revision 6", func() bool {
			f := p.View.Current()
			_, gone := f.Members[peers[7].Self.Node]
			_, new := f.Members["z-new"]
			return p.Config.Version() == 7 && f.Position == follow.At(6) && new && !gone
		})
	}
}

// Guards against messages that grow with the fleet for a change of one node. A
// node that has an earlier revision gets the changes only.
func TestFleetUpdateSendsChangeOnly(t *testing.T) {
	is := is.New(t)
	a, b := newPeer(t, "a"), newPeer(t, "b")
	var members []fleet.Member
	for i := range 500 {
		m := a.Self
		m.Node = model.NodeID(fmt.Sprint("n", i))
		members = append(members, m)
	}
	members = append(members, a.Self, b.Self)
	a.View.Replace(members, follow.At(10), time.Now())
	b.View.Replace(members, follow.At(10), time.Now())
	for r := follow.Revision(11); r < 14; r++ {
		m := members[int(r)]
		m.CallAddress = fmt.Sprint("127.0.0.1:", r)
		a.View.Apply(fleet.Change{Set: []fleet.Member{m}, Position: follow.At(r)}, time.Now())
	}
	d := b.digest()
	d.NeedsUpdate = true
	b.exchangeDigests(t.Context(), a.Self, d)
	is.Equal(b.View.Current().Digest, a.View.Current().Digest)
	is.Equal(b.View.Current().Position, follow.At(13))
	is.True(a.bytesSent.Load() < 2500)

	c := newPeer(t, "c") // has no fleet, so it gets all nodes
	c.syncWith(t.Context(), a.Self)
	is.Equal(c.View.Current().Digest, a.View.Current().Digest)
}

// Guards against messages that grow with the configuration for a change of one
// route. A node that has the previous version gets the change only.
func TestConfigUpdateSendsChangeOnly(t *testing.T) {
	is := is.New(t)
	a, b := newPeer(t, "a"), newPeer(t, "b")
	a.offerConfig(t, 7)
	b.offerConfig(t, 7)
	next := configuration(8)
	next.Routes[5].MaxAttempts = 9
	_, err := a.Config.Offer(next)
	is.NoErr(err)
	d := b.digest()
	d.NeedsUpdate = true
	b.exchangeDigests(t.Context(), a.Self, d)
	is.Equal(b.Config.Version(), config.Version(8))
	is.True(b.ConfigLag().Active()) // until the agent calls ConfigUpdated
	b.ConfigUpdated()
	is.True(!b.ConfigLag().Active()) // otherwise the node would read the store a second later
	is.Equal(b.Config.Current().Routes[5].MaxAttempts, 9)
	is.Equal(len(b.Config.Current().Routes), len(next.Routes))
	is.True(a.bytesSent.Load() < 2000)
}

// Guards Schedule: relays follow the store. The other nodes read it only when
// they receive no beacons, or when no other node sends them a newer version
// they know of.
func TestStoreReadSchedule(t *testing.T) {
	is := is.New(t)
	peers := newZone(t, "z", 7)
	setFleet(peers, 1)
	schedule := func(p *peer) (*Schedule, context.Context) {
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		t.Cleanup(cancel)
		return p.ConfigSchedule(true), ctx
	}
	first, ctx := schedule(peers[0])
	is.True(first.Next(ctx))
	is.True(peers[0].FleetSchedule().Next(ctx))
	is.True(peers[1].ConfigSchedule(true).Next(ctx))
	shortCtx, stop := context.WithTimeout(ctx, relay.BeaconTimeout/2)
	defer stop()
	is.True(!peers[1].FleetSchedule().Next(shortCtx)) // one relay is enough for the fleet
	is.True(shortCtx.Err() != nil)
	withoutFleet := newPeer(t, "alone") // has no fleet yet, so its zone may have relays
	shortCtx, stop = context.WithTimeout(ctx, relay.BeaconTimeout/2)
	defer stop()
	is.True(!withoutFleet.ConfigSchedule(true).Next(shortCtx))
	is.True(shortCtx.Err() != nil)

	last := peers[6]
	restarted := newPeer(t, "again") // restarted, without a configuration
	is.True(!restarted.ConfigSchedule(false).Next(ctx))
	is.NoErr(ctx.Err())

	sched, ctx := schedule(last)
	var lastBeacon, beaconBefore atomic.Pointer[time.Time]
	sendBeacons := func() {
		for _, p := range peers[:2] {
			last.handleDatagram(&Datagram{From: p.Self.Node, IsRelay: true, StoreAvailable: true})
		}
		beaconBefore.Store(lastBeacon.Swap(new(time.Now())))
	}
	sendBeacons() // the steps above took about relay.BeaconTimeout
	go func() {   // both relays send beacons for a while, then stop
		for range 5 {
			time.Sleep(relay.BeaconPeriod)
			sendBeacons()
		}
	}()
	is.True(!sched.Next(ctx)) // reads the store once
	is.NoErr(ctx.Err())
	// The beacons may have been late, and the last one may have come just after the decision.
	silence := time.Since(*lastBeacon.Load())
	if before := beaconBefore.Load(); silence < 10*time.Millisecond && before != nil {
		silence = time.Since(*before)
	}
	is.True(silence >= relay.BeaconTimeout)

	for _, p := range peers[:2] { // they announce a newer version and cannot be reached
		p.Self.MessageAddress = "127.0.0.1:1"
	}
	setFleet(peers, 2)
	sched, ctx = schedule(peers[5])
	sendNewerBeacons := func() {
		for _, p := range peers[:2] {
			peers[5].handleDatagram(&Datagram{From: p.Self.Node, IsRelay: true, StoreAvailable: true, ConfigVersion: 9})
		}
	}
	sendNewerBeacons()
	ticker := time.NewTicker(relay.BeaconPeriod)
	defer ticker.Stop()
	done := make(chan bool, 1)
	go func() { done <- sched.Next(ctx) }()
	for waiting := true; waiting; {
		select {
		case <-ticker.C:
			sendNewerBeacons()
		case follows := <-done:
			is.True(!follows)
			waiting = false
		}
	}
	is.NoErr(ctx.Err())
}

// Guards the distribution of a state to another zone: one of its nodes receives
// the state and forwards it, also if the first ones cannot be reached.
func TestStatesReachOtherZones(t *testing.T) {
	senderZone, otherZone := newZone(t, "near", 3), newZone(t, "far", 5)
	setFleet(append(senderZone, otherZone...), 1)
	for _, p := range append(senderZone[1:], otherZone...) {
		p.run(t)
	}
	from := senderZone[0]
	from.serving.Store(false)
	state := func(p *peer) model.UpstreamNodeState {
		for _, e := range p.View.Current().UpstreamNodes("s") {
			if e.Node == from.Self.Node {
				return e.State
			}
		}
		return model.Ready
	}
	from.run(t)
	from.Announce(t.Context())
	for _, p := range append(senderZone[1:], otherZone...) {
		eventually(t, string(p.Self.Node)+" records the sender as not serving", func() bool { return state(p) == model.NotServing })
	}
	otherZone[0].Self.MessageAddress = "127.0.0.1:1" // closed port
	setFleet(append(senderZone, otherZone...), 2)
	from.serving.Store(true)
	from.Announce(t.Context())
	for _, p := range otherZone[1:] {
		eventually(t, string(p.Self.Node)+" records the sender as ready", func() bool { return state(p) == model.Ready })
	}
}

// Guards the size of datagrams when hundreds of nodes of a zone return at once.
func TestDatagramsAreBounded(t *testing.T) {
	is := is.New(t)
	d := Datagram{From: model.NodeID(strings.Repeat("n", 63)), IsRelay: true, StoreAvailable: true, ConfigVersion: 1 << 60, FleetRevision: 1 << 60, FleetEra: 1 << 60, MembersDigest: 1 << 63}
	d.ConfigAge, d.Announced, d.Known = 1<<60, 1<<60, &KnownVersion{Version: 1 << 60, Node: d.From, Age: 1 << 60}
	for range statesPerDatagram {
		d.States = append(d.States, State{Node: d.From, Serving: true, Started: 1 << 62, Sequence: 1 << 62})
	}
	body, err := json.Marshal(&d)
	is.NoErr(err)
	is.True(len(body) <= maxDatagramBytes)
}

// Guards against invalid datagrams: they change nothing.
func TestInvalidDatagramsAreIgnored(t *testing.T) {
	is := is.New(t)
	peers := newZone(t, "z", 5)
	setFleet(peers, 1)
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
	peers[0].offerConfig(t, 3)
	peers[0].run(t)
	peers[0].TriggerBeacon()
	eventually(t, "version 3 is in force after invalid datagrams", func() bool { return last.Config.Version() == 3 })
}

// Guards against whole configurations that are sent between regions as plain
// JSON. With 1,400 routes and 30 nodes without the store they were most of the
// traffic between regions.
func TestLargeResponsesAreCompressed(t *testing.T) {
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
	b.syncWith(t.Context(), a.Self)
	is.Equal(b.Config.Version(), config.Version(7))
	is.Equal(len(b.Config.Current().Routes), len(c.Routes))
	is.True(a.bytesSent.Load() < int64(len(plain)/5))
}

// Guards against invalid states: they are rejected.
func TestInvalidStatesAreRejected(t *testing.T) {
	is := is.New(t)
	a := newPeer(t, "a")
	for _, body := range []string{"", "{}", `[{"node":1}]`} {
		resp, err := http.Post("http://"+a.Self.MessageAddress+pathStates, "application/json", strings.NewReader(body))
		is.NoErr(err)
		_ = resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusBadRequest)
	}
}

// Guards against a lag that ends on contact with another node that lags too.
// The store did not respond to the relays of a zone, and calls of other zones
// showed that there was a newer version: the zone applied it 2.7 s late.
func TestLaggingNodeDoesNotClearLag(t *testing.T) {
	is := is.New(t)
	a, b := newPeer(t, "a"), newPeer(t, "b")
	a.offerConfig(t, 4)
	b.offerConfig(t, 4)
	a.View.Replace([]fleet.Member{a.Self, b.Self}, follow.At(1), time.Now())
	b.View.Replace([]fleet.Member{a.Self, b.Self}, follow.At(1), time.Now())
	a.NoteNewerConfig(6, "c")
	a.syncWith(t.Context(), b.Self)
	b.syncWith(t.Context(), a.Self)
	is.True(a.ConfigLag().Active())
	a.offerConfig(t, 5)
	a.ConfigUpdated()
	is.True(a.ConfigLag().Active())
	a.offerConfig(t, 6)
	a.ConfigUpdated()
	is.True(!a.ConfigLag().Active())
}
