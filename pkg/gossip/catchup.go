package gossip

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lentilflow/lentilflow/pkg/catchup"
	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
)

const (
	// zoneGrace and remoteGrace are how long a node that follows the store leaves a
	// newer configuration to the store before it fetches it from a node of its zone,
	// or of another zone. The store delivers a change within 50 ms to nodes that
	// watch it. Together with announcements that are lost and nodes that do not
	// respond they must stay below the 2 s after which a version must be in force.
	zoneGrace   = 300 * time.Millisecond
	remoteGrace = 400 * time.Millisecond
	// pollGrace replaces remoteGrace on a node to which the store has responded within
	// that time: it may be between two polls, which are 0.9 s apart.
	pollGrace = time.Second
	// isolatedGrace replaces remoteGrace on a node to which the store does not
	// respond.
	isolatedGrace = 100 * time.Millisecond
	// rankStagger and wideStagger spread the fetches of the nodes of a zone from
	// another zone, so that the first nodes fetch a version and the others get it from
	// them: rankStagger for each of the first maxRankDelays nodes, wideStagger for each
	// further one.
	rankStagger   = 100 * time.Millisecond
	wideStagger   = 2 * time.Millisecond
	maxRankDelays = 3
	// idleCatchUpPeriod is the time between two checks while there is nothing to fetch
	// or to announce. News end the wait, so the value delays nothing.
	idleCatchUpPeriod = time.Minute
)

// triggerCatchUp makes RunCatchUp check at once what is due. It does not block.
func (n *Node) triggerCatchUp() {
	select {
	case n.catchUpTrigger <- struct{}{}:
	default:
	}
}

// RunCatchUp fetches newer versions from nodes that are known to have them, and
// announces those of this node to other zones, until ctx ends. It returns nil.
func (n *Node) RunCatchUp(ctx context.Context) error {
	for {
		wait := idleCatchUpPeriod
		for _, due := range []time.Duration{
			n.startFetches(ctx, &n.configLag, n.configPosition, n.configDelays()),
			n.startFetches(ctx, &n.fleetLag, n.fleetPosition, n.fleetDelays()),
			n.sendAnnouncements(),
		} {
			if due > 0 {
				wait = min(wait, due)
			}
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-t.C:
		case <-n.catchUpTrigger:
			t.Stop()
		}
	}
}

func (n *Node) configPosition() follow.Position { return versionPosition(n.Config.Version()) }
func (n *Node) fleetPosition() follow.Position  { return n.View.Current().Position }

// startFetches starts the requests that are due, and returns the time until the next
// one may be, 0 if there is nothing to fetch.
func (n *Node) startFetches(ctx context.Context, t *catchup.Tracker, own func() follow.Position, d catchup.Delays) time.Duration {
	for {
		id, wait, due := t.Next(d, time.Now())
		if !due {
			return wait
		}
		m, ok := n.View.Current().Members[id]
		switch {
		case id == "":
			if m, ok = n.randomNode(); ok {
				n.Guard.Go("fetch", func() { n.fetch(ctx, m) })
			}
		case !ok || n.View.IsUnreachable(id):
			t.Finish(id, own(), time.Now())
		default:
			n.Guard.Go("fetch", func() {
				defer n.triggerCatchUp()
				defer func() { t.Finish(id, own(), time.Now()) }()
				if d.SameZone == 0 && m.Location == n.Self.Location {
					time.Sleep(rand.N(maxFetchJitter))
				}
				n.fetch(ctx, m)
			})
		}
	}
}

// fetch gets from m what this node does not have.
func (n *Node) fetch(ctx context.Context, m fleet.Member) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	d := n.digest()
	d.NeedsUpdate = true
	n.exchangeDigests(ctx, m, d)
}

// configDelays returns how soon this node fetches a newer configuration. A node that
// follows the store leaves it to the store first, a node of a zone with relays to
// these.
func (n *Node) configDelays() catchup.Delays {
	isRelay, _, _ := n.RelayRole()
	d := catchup.Delays{Elsewhere: remoteGrace + n.stagger(), Interval: minFetchInterval}
	switch {
	case n.Config.Current() == nil || n.isolated() || isRelay && n.storeUnavailable.Load():
		d.Elsewhere = isolatedGrace + n.stagger()
	case isRelay:
		d.SameZone = zoneGrace
		if silence := n.storeSilence(); silence >= 0 && silence < pollGrace {
			d.Elsewhere = pollGrace + n.stagger()
		}
	}
	return d
}

// fleetDelays returns how soon this node fetches a newer fleet. Only the first relay
// follows the fleet in the store, with pauses.
func (n *Node) fleetDelays() catchup.Delays {
	isRelay, first, _ := n.RelayRole()
	d := catchup.Delays{Elsewhere: fleetLagTimeout + n.stagger(), Interval: minFetchInterval}
	switch {
	case n.isolated() || isRelay && n.storeUnavailable.Load():
		d.Elsewhere = isolatedGrace + n.stagger()
	case isRelay && first:
		d.SameZone = fleetLagTimeout
	}
	return d
}

// rank returns how many nodes of the zone precede this one in the order of relays.
func (n *Node) rank() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(slices.Index(n.reachableZone().ids, n.Self.Node), 0)
}

// stagger returns the delay of this node among the nodes of its zone that all fetch
// the same from another zone.
func (n *Node) stagger() time.Duration {
	rank := n.rank()
	return time.Duration(min(rank, maxRankDelays))*rankStagger + time.Duration(rank)*wideStagger
}

// precedingNodeHas reports whether a node of the zone that precedes this one in the
// order of relays has version v or a later one.
func (n *Node) precedingNodeHas(v model.Version) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, id := range n.reachableZone().ids {
		if id == n.Self.Node {
			return false
		}
		if n.zoneVersions[id] >= v {
			return true
		}
	}
	return false
}
