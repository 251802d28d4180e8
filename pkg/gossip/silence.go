package gossip

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/relay"
)

// Where every node follows the store, their watches end in turn, so that the next one
// that ends shows a silence to all of them.
//
// In zones with relays, a node does not notice a version if the store is silent to
// its relays, although it may respond to the node itself. The watches of the relays
// therefore end at different times, so that one of them soon shows the silence, and
// that relay warns the others. Then the nodes of its zone read the store once, and
// those to which it responds follow it until their relays have it again.
const (
	// watchEndInterval is the mean time between the ends of two watches of relays in
	// the whole fleet, if nothing changes. It bounds the time until a silence is
	// noticed, and with it the number of requests: one a second.
	watchEndInterval = time.Second
	// minWatchTime bounds the time of a watch in fleets with few zones.
	minWatchTime = 4 * time.Second
	// spreadInterval is the time between the ends of two watches in a fleet whose nodes
	// all follow the store, up to maxSpreadPeriod between two ends at one node. It bounds
	// the time until a silence to all nodes is noticed: the next watch that ends gets no
	// response, and its node reads the store on another connection and has the next
	// version for the others.
	spreadInterval  = 1600 * time.Millisecond
	maxSpreadPeriod = 29 * time.Second
	// minSpreadWatch is the shortest watch at a node whose turn is next.
	minSpreadWatch = 300 * time.Millisecond
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

// WatchTime returns how long the next watch of the configuration is to wait for a
// change.
func (n *Node) WatchTime() time.Duration {
	if !n.hasRelays() {
		return n.spreadWatchTime(time.Now())
	}
	mean := max(time.Duration(n.zoneCount())*watchEndInterval, minWatchTime)
	return mean/10 + rand.N(mean*18/10)
}

// spreadWatchTime returns the time until the next turn of this node. The turns of all
// nodes follow each other, in the order of relays, from the time on at which the version
// in force came into force: a change ends the watches of all nodes at once.
func (n *Node) spreadWatchTime(now time.Time) time.Duration {
	ids := relay.Order(slices.Collect(maps.Keys(n.View.Current().Members)))
	count := max(len(ids), 1)
	period := min(time.Duration(count)*spreadInterval, maxSpreadPeriod)
	turn := period * time.Duration(max(slices.Index(ids, n.Self.Node), 0)) / time.Duration(count)
	since := n.startTime
	if t := n.configSince.Load(); t != nil {
		since = *t
	}
	wait := (turn - now.Sub(since)) % period
	if wait < 0 {
		wait += period
	}
	if wait < minSpreadWatch {
		wait += period
	}
	return wait
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
