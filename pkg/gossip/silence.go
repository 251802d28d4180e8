package gossip

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// A silence of the store to a node that follows it is noticed there (see package contact).
// In zones with relays, the other nodes do not notice a version then, although the store
// may respond to them: the relay warns the relays of other zones, and in its own zone the
// first nodes read the store once, and those to which it responds follow it until their
// relays have it again.
const (
	// minZonesForOneFollower is the number of zones from which one relay of each
	// follows the configuration. If it fails unnoticed, another zone announces the
	// version.
	minZonesForOneFollower = 3
	// suspicionInterval is the shortest time between two checks of the store because
	// of warnings.
	suspicionInterval = 1500 * time.Millisecond
	// maxChecks bounds the nodes of a zone that read the store because of a warning.
	maxChecks = 8
	// warningRepeat is the time after which a warning is sent once more, because
	// datagrams may be lost, and warnedPerZone the number of nodes of each zone that
	// get it.
	warningRepeat = 100 * time.Millisecond
	warnedPerZone = 2
)

// silence is what a node knows about a store that may be silent.
type silence struct {
	lastCheck atomic.Int64 // start of the last check, as returned by clock; 0 if there was none
	readDue   atomic.Bool  // the configuration is to be read once
}

// hasRelays reports whether the zone of this node has relays.
func (n *Node) hasRelays() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.zone.HasRelays(len(n.reachableZone().ids))
}

// zoneCount returns the number of zones of the fleet.
func (n *Node) zoneCount() int {
	zones := make(map[model.AvailabilityZone]bool)
	for _, m := range n.View.Current().Members {
		zones[m.Location.AvailabilityZone] = true
	}
	return len(zones)
}

// warnOfSilentStore tells the first nodes of the other zones that the store has
// ceased to respond to this node, if it is a relay.
func (n *Node) warnOfSilentStore() {
	if isRelay, _, _ := n.RelayRole(); !isRelay || !n.hasRelays() {
		return
	}
	d := Datagram{From: n.Self.Node, StoreSilent: true, ConfigVersion: n.Config.Version()}
	for range 2 {
		for _, members := range n.remoteZones() {
			n.sendDatagramTo(&d, members[:min(warnedPerZone, len(members))])
		}
		time.Sleep(warningRepeat)
	}
}

// suspectStore checks whether the store responds to this node, because it does not
// respond to the node other: a node that follows it verifies its watch, another one
// reads the configuration once.
func (n *Node) suspectStore(other model.NodeID) {
	if !n.hasRelays() {
		return
	}
	now, last := n.clock(), n.silence.lastCheck.Load()
	if last > 0 && now-time.Duration(last) < suspicionInterval || !n.silence.lastCheck.CompareAndSwap(last, int64(now)) {
		return
	}
	isRelay, _, _ := n.RelayRole()
	reads := n.rank() < maxChecks
	n.Log.Info("store does not respond to another node; it is checked", zap.String("other", string(other)),
		zap.Bool("relay", isRelay), zap.Bool("reads", reads), zap.Duration("store_silent_for", n.storeSilence()))
	if isRelay && n.OnStoreSuspected != nil {
		n.OnStoreSuspected(time.Now())
	}
	if reads {
		n.silence.readDue.Store(true)
	}
}

// standsIn reports whether this node follows the configuration although it is no
// relay that does: the store responds to it, and not to a relay of its zone.
func (n *Node) standsIn() bool {
	if n.storeUnavailable.Load() || n.silence.lastCheck.Load() == 0 || n.rank() >= maxChecks {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.zone.AnyWithoutStore(n.clock())
}
