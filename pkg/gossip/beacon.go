package gossip

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/relay"
)

// Datagram goes to the other nodes of a zone. Relays send one every
// relay.BeaconPeriod and at each change; other nodes only with states.
type Datagram struct {
	From model.NodeID `json:"from"`
	// Relay says that the sender follows the store for the zone, and Store that
	// the store answers it.
	IsRelay        bool `json:"relay,omitempty"`
	StoreAvailable bool `json:"store,omitempty"`
	// Config, Fleet and Members say what the sender has, as in a Digest.
	ConfigVersion config.Version  `json:"config,omitempty"`
	FleetRevision follow.Revision `json:"fleet,omitempty"`
	MembersDigest uint64          `json:"members_digest,omitempty"`
	States        []State         `json:"states,omitempty"`
}

const (
	// maxDatagram bounds a datagram, in bytes: one packet.
	maxDatagramBytes = 1400
	// statesPerDatagram keeps a datagram below that with names of 63 bytes.
	statesPerDatagram = 7
	// statesPause gathers the states that are sent on together when a zone of
	// hundreds returns at once.
	stateBatchDelay = 100 * time.Millisecond
	// fetchSpread keeps the nodes of a zone from asking a relay at once.
	maxFetchJitter = 40 * time.Millisecond
	// fetchPause is the least time between two fetches: while versions come in
	// quick succession, 20 nodes that fetch each one fill the relay's link.
	minFetchInterval = 600 * time.Millisecond
	// fetchTime bounds the transfer of what a relay has: a configuration of
	// 1,400 routes takes 40 KB, and 20 nodes share the relay's link.
	fetchTimeout = 3 * time.Second
)

// Beat sends a beacon soon, because something has changed.
func (n *Node) TriggerBeacon() {
	select {
	case n.beaconTrigger <- struct{}{}:
	default:
	}
}

// ConfigTaken notes that a newer configuration is in force here.
func (n *Node) ConfigUpdated() {
	n.configLag.caughtUp(uint64(n.Config.Version()))
	n.TriggerBeacon()
}

// FleetTaken notes that a newer fleet is known here.
func (n *Node) FleetUpdated() {
	n.fleetLag.caughtUp(uint64(n.View.Current().Revision))
	n.TriggerBeacon()
}

// RunBeacons sends beacons while this node is a relay, and states that are to
// be passed on, until ctx ends.
func (n *Node) RunBeacons(ctx context.Context) error {
	for {
		t := time.NewTimer(relay.BeaconPeriod)
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-t.C:
		case <-n.beaconTrigger:
			t.Stop()
		}
		n.sendBeacon()
	}
}

func (n *Node) sendBeacon() {
	isRelay, _, _ := n.RelayRole()
	n.mu.Lock()
	states := n.pendingStates
	n.pendingStates = nil
	n.mu.Unlock()
	if !isRelay && len(states) == 0 {
		return
	}
	d := Datagram{From: n.Self.Node}
	if isRelay {
		f := n.View.Current()
		d.IsRelay, d.StoreAvailable = true, !n.storeUnavailable.Load()
		d.ConfigVersion, d.FleetRevision, d.MembersDigest = n.Config.Version(), f.Revision, f.Digest
	}
	for first := true; first || len(states) > 0; first = false {
		count := min(len(states), statesPerDatagram)
		d.States, states = states[:count], states[count:]
		n.sendDatagram(&d)
	}
}

// sendDatagram sends d to the neighbours. A lost one is made up for by the next
// beacon, and a lost state by a refusal.
func (n *Node) sendDatagram(d *Datagram) {
	body, err := json.Marshal(d)
	if err != nil {
		n.Log.Error("datagram cannot be encoded", zap.Error(err))
		return
	}
	for _, m := range n.zonePeers() {
		to, err := netip.ParseAddrPort(m.MessageAddress)
		if err != nil {
			n.Log.Warn("message address of a node is no IP address", zap.String("other", string(m.Node)), zap.Error(err))
			continue
		}
		if _, err := n.Datagrams.WriteToUDPAddrPort(body, to); err != nil && !errors.Is(err, net.ErrClosed) {
			n.Log.Debug("datagram was not sent", zap.String("to", string(m.Node)), zap.Error(err))
		}
	}
}

// ReadDatagrams takes the datagrams of the zone until ctx ends.
func (n *Node) ReadDatagrams(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = n.Datagrams.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	buf := make([]byte, 2*maxDatagramBytes)
	for ctx.Err() == nil {
		size, from, err := n.Datagrams.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() == nil && errors.Is(err, net.ErrClosed) {
				return err
			}
			continue // such as a port that nobody listens on
		}
		var d Datagram
		if err := json.Unmarshal(buf[:size], &d); err != nil || d.From == "" {
			n.Log.Debug("datagram cannot be used", zap.Stringer("remote", from), zap.Error(err))
			continue
		}
		n.handleDatagram(&d)
	}
	return nil
}

func (n *Node) handleDatagram(d *Datagram) {
	n.applyStates(d.States)
	if !d.IsRelay || d.From == n.Self.Node {
		return
	}
	n.mu.Lock()
	n.zone.RecordBeacon(d.From, d.StoreAvailable, n.clock())
	n.mu.Unlock()
	now := time.Now()
	f := n.View.Current()
	configBehind := d.ConfigVersion > n.Config.Version()
	fleetBehind := n.View.Loaded() && d.FleetRevision > f.Revision && d.MembersDigest != f.Digest
	if configBehind {
		n.configLag.observe(uint64(d.ConfigVersion), now)
	}
	if fleetBehind {
		n.fleetLag.observe(uint64(d.FleetRevision), now)
	}
	if !configBehind && !fleetBehind {
		return
	}
	if last := n.lastFetch.Load(); last > 0 && n.clock()-time.Duration(last) < minFetchInterval {
		return // the next beacon comes soon
	}
	if m, ok := f.Members[d.From]; ok && n.fetching.CompareAndSwap(false, true) {
		n.lastFetch.Store(int64(n.clock()))
		n.Guard.Go("fetch from relay", func() { n.fetchFromRelay(m) })
	}
}

// fetch takes from a relay what this node lacks. A relay whose store answers
// gets the same from there.
func (n *Node) fetchFromRelay(m fleet.Member) {
	defer n.fetching.Store(false)
	if isRelay, first, _ := n.RelayRole(); isRelay && !n.storeUnavailable.Load() && (first || !n.fleetLag.active()) {
		return
	}
	time.Sleep(rand.N(maxFetchJitter))
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	d := n.digest()
	d.NeedsUpdate = true
	n.exchangeDigests(ctx, m, d)
}
