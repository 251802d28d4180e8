package gossip

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/relay"
	"github.com/lentilflow/lentilflow/pkg/sleep"
)

const (
	// maxFollowers is the number of followers that share their contact with the store.
	// Those of larger fleets share it within their zone, since each notice goes to all.
	maxFollowers = 100
	// noticedPerZone is the number of nodes of a zone with relays that get the notices:
	// the first ones are its relays.
	noticedPerZone = relay.PerZone
)

// followers are the nodes that follow the configuration in the store, as far as the fleet
// tells, and share their contact with it. It is valid for one snapshot of the fleet.
type followers struct {
	snapshot *fleet.Snapshot
	count    int
	rank     int            // of this node
	others   []fleet.Member // to which notices are sent
}

// contactGroup returns the followers that share their contact with this node. n.mu must
// be held.
func (n *Node) contactGroup() *followers {
	s := n.View.Current()
	if n.followers.snapshot == s {
		return &n.followers
	}
	zones := map[model.AvailabilityZone][]model.NodeID{n.Self.Location.AvailabilityZone: {n.Self.Node}}
	for id, m := range s.Members {
		if id != n.Self.Node && !n.View.IsUnreachable(id) {
			zones[m.Location.AvailabilityZone] = append(zones[m.Location.AvailabilityZone], id)
		}
	}
	g := followers{snapshot: s}
	ids := n.addFollowers(&g, zones)
	if len(ids) > maxFollowers {
		own := n.Self.Location.AvailabilityZone
		g.others = nil
		ids = n.addFollowers(&g, map[model.AvailabilityZone][]model.NodeID{own: zones[own]})
	}
	g.count = len(ids)
	if g.rank = slices.Index(relay.Order(ids), n.Self.Node); g.rank < 0 {
		g.rank = len(ids) // it follows in place of a relay
	}
	n.followers = g
	return &n.followers
}

// addFollowers returns the followers of zones, and adds those to which notices are sent to
// g. Of a zone with relays the first one follows, and another one may take its place.
func (n *Node) addFollowers(g *followers, zones map[model.AvailabilityZone][]model.NodeID) (ids []model.NodeID) {
	for _, zone := range zones {
		follow, noticed := zone, zone
		if n.zone.HasRelays(len(zone)) {
			ordered := relay.Order(zone)
			follow, noticed = ordered[:1], ordered[:noticedPerZone]
		}
		ids = append(ids, follow...)
		for _, id := range noticed {
			if id != n.Self.Node {
				g.others = append(g.others, g.snapshot.Members[id])
			}
		}
	}
	return ids
}

// WatchTime returns how long the next watch of the configuration is to wait for a
// change.
func (n *Node) WatchTime() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	g := n.contactGroup()
	return n.contact.NextWatch(g.rank, g.count, rand.Float64(), n.clock())
}

// RecordStoreResponse must be called when the store has responded to a read of the
// configuration, after what it returned was applied. The node tells the other followers
// of it if it asks for them.
func (n *Node) RecordStoreResponse() {
	v, now := n.Config.Version(), n.clock()
	d := Datagram{From: n.Self.Node, Contact: true, ConfigVersion: v, ConfigAge: n.configAge(time.Now())}
	n.mu.Lock()
	n.contact.RecordResponse(now)
	g := n.contactGroup()
	owed := n.contact.OwesNotice(g.rank, v != n.noticedVersion, now)
	if owed {
		n.contact.RecordNoticeSent(now)
		n.noticedVersion = v
		if age, ok := n.contact.SilenceAge(now); ok {
			d.SilenceAge = max(milliseconds(age.Milliseconds()), 1)
		}
	}
	others := g.others
	n.mu.Unlock()
	if owed && len(others) > 0 {
		n.sendDatagramTo(&d, others)
	}
}

// RecordSilence must be called when the store responds again after a response was overdue
// since at. The connections of other nodes may have fallen silent at the same time.
func (n *Node) RecordSilence(at time.Time) {
	n.Log.Warn("open connection to the store had fallen silent; other nodes are told", zap.Duration("overdue_for", time.Since(at)))
	n.mu.Lock()
	n.contact.RecordSilence(n.clock() - time.Since(at))
	n.mu.Unlock()
	n.OnConnectionsSilent(at)
}

// handleContact processes a notice of a response of the store to another node. It counts
// as contact only if that node has the version of this one: its response may be a stale
// one.
func (n *Node) handleContact(d *Datagram, now time.Time) {
	if d.ConfigVersion >= n.Config.Version() {
		n.mu.Lock()
		n.contact.RecordNotice(n.clock())
		n.mu.Unlock()
	}
	if d.SilenceAge > 0 {
		n.OnConnectionsSilent(now.Add(-d.SilenceAge.duration()))
	}
}

// ContactAge returns the time since the last response of the store to any node that this
// one has heard of.
func (n *Node) ContactAge() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.contact.Age(n.clock())
}

// RunContact ends the watch of the configuration whenever no node has told of a response
// of the store for too long, so that this node asks it. It returns nil when ctx ends.
func (n *Node) RunContact(ctx context.Context) error {
	for ctx.Err() == nil {
		now := n.clock()
		n.mu.Lock()
		rank := n.contactGroup().rank
		wait, age := n.contact.UntilRenewal(rank, now), n.contact.Age(now)
		if wait <= 0 {
			n.contact.RecordRenewal(now)
		}
		n.mu.Unlock()
		if wait <= 0 {
			if n.OnContactDue(time.Now()) {
				n.Log.Info("no node has told of a response of the store; this one asks it", zap.Int("rank", rank), zap.Duration("last_response", age))
			}
			continue
		}
		sleep.For(ctx, wait)
	}
	return nil
}
