package gossip

import (
	"time"

	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/catchup"
	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// versionPosition returns a version of the configuration as a position, so that a
// catchup.Tracker can hold it. Versions are ordered in the same way in each era of
// the store.
func versionPosition(v config.Version) follow.Position { return follow.At(follow.Revision(v)) }

// undeliveredDelay is how long after the first news of a newer version the store must
// have responded to a node that follows it. Otherwise the node checks whether the
// store still responds. It covers the pause between two polls.
const undeliveredDelay = time.Second

// observeConfig records that another node has version v of the configuration, which
// some node has had for age. It reports whether nothing as new was known before. If
// the version is still missing after configLagTimeout, a line is logged.
func (n *Node) observeConfig(v config.Version, from model.NodeID, age time.Duration, now time.Time) bool {
	own := n.Config.Version()
	if v <= own {
		return false
	}
	o := catchup.Observation{At: versionPosition(v), Age: age}
	o.From, o.Distance = n.reachable(from)
	isNew := n.configLag.Observe(o, versionPosition(own), now)
	n.triggerCatchUp()
	if !isNew {
		return false
	}
	time.AfterFunc(configLagTimeout, func() {
		if own := n.Config.Version(); own < v {
			n.logConfigLag(v, own)
		}
	})
	time.AfterFunc(undeliveredDelay, func() {
		if isRelay, _, _ := n.RelayRole(); isRelay && n.OnStoreSuspected != nil {
			n.OnStoreSuspected(now)
		}
	})
	return true
}

// reachable returns a node of the fleet and its distance, or an empty name if the
// node is not known.
func (n *Node) reachable(id model.NodeID) (model.NodeID, model.Distance) {
	m, ok := n.View.Current().Members[id]
	if !ok {
		return "", 0
	}
	return id, n.Self.Location.DistanceTo(m.Location)
}

// logConfigLag says that this node lags behind others, since when, and what it has
// heard of the store meanwhile.
func (n *Node) logConfigLag(v, own config.Version) {
	lag := n.configLag.Lag(time.Now())
	n.Log.Warn("configuration of this node is behind that of other nodes", zap.Uint64("in_force", uint64(own)), zap.Uint64("known", uint64(v)),
		zap.String("known_from", string(lag.From)), zap.Duration("known_for", lag.Known), zap.Duration("behind_for", lag.Total),
		zap.Bool("store_available", !n.storeUnavailable.Load()), zap.Duration("store_silent_for", n.storeSilence()))
}

// storeSilence returns for how long the store has not responded to this node; -1 if
// that is not known.
func (n *Node) storeSilence() time.Duration {
	if n.StoreSilence == nil {
		return -1
	}
	return n.StoreSilence()
}

// configAge returns how long the version in force here has been in force at some
// node, as far as is known.
func (n *Node) configAge(now time.Time) milliseconds {
	since := n.configSince.Load()
	if since == nil {
		return 0
	}
	return milliseconds(now.Sub(*since).Milliseconds())
}

// ConfigLag returns how far the configuration of this node is behind that of other
// nodes.
func (n *Node) ConfigLag() catchup.Lag { return n.configLag.Lag(time.Now()) }

// updateLag compares the versions of another node with those of this one.
func (n *Node) updateLag(d *Digest) {
	now := time.Now()
	n.observeConfig(d.ConfigVersion, d.From.Node, d.ConfigAge.duration(), now)
	n.announcer.Heard(d.From.Location, versionPosition(d.ConfigVersion), versionPosition(d.ConfigVersion))
	f := n.View.Current()
	if d.FleetEra > f.Position.Era {
		n.OnEra(d.FleetEra)
	}
	switch {
	case !n.View.Loaded():
	case d.MembersDigest == f.Digest: // the same fleet, whatever the positions
		n.fleetLag.CaughtUp(catchup.Later(d.fleetPosition(), f.Position), now)
	default:
		n.observeFleet(d.fleetPosition(), d.From.Node, now)
	}
}

// observeFleet records that another node has a fleet at a position.
func (n *Node) observeFleet(at follow.Position, from model.NodeID, now time.Time) {
	own := n.View.Current().Position
	if !at.After(own) {
		return
	}
	o := catchup.Observation{At: at}
	o.From, o.Distance = n.reachable(from)
	n.fleetLag.Observe(o, own, now)
	n.triggerCatchUp()
}

// NoteNewerConfig records that the node from has decided a call by version v,
// which is newer than the one on this node.
func (n *Node) NoteNewerConfig(v config.Version, from model.NodeID) {
	n.observeConfig(v, from, 0, time.Now())
}

// ConfigUpdated must be called when a newer configuration is in force on this
// node. It updates the lag, announces the version, and returns the lag that has
// ended. It is safe for concurrent use.
func (n *Node) ConfigUpdated() catchup.Lag {
	now := time.Now()
	ended := n.configLag.CaughtUp(versionPosition(n.Config.Version()), now)
	since := now.Add(-ended.Total)
	n.configSince.Store(&since)
	n.announcer.Begin(versionPosition(n.Config.Version()), n.announceDelay(), now)
	n.TriggerBeacon()
	n.triggerCatchUp()
	return ended
}

// FleetUpdated must be called when this node has a newer fleet. It updates the
// lag and sends a beacon. It is safe for concurrent use.
func (n *Node) FleetUpdated() {
	n.fleetLag.CaughtUp(n.View.Current().Position, time.Now())
	n.TriggerBeacon()
	n.triggerCatchUp()
}
