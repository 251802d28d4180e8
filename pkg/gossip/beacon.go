package gossip

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/quota"
	"github.com/lentilflow/lentilflow/pkg/relay"
	"github.com/lentilflow/lentilflow/pkg/rollout"
)

// Datagram is the message that a node sends to the other nodes of its zone by
// UDP. Relays send one every relay.BeaconPeriod and after each change (a
// beacon). Other nodes send one only if there are states to forward.
type Datagram struct {
	From model.NodeID `json:"from"`
	// IsRelay reports whether the sender follows the store for the zone, and
	// StoreAvailable whether the store responds to it.
	IsRelay        bool `json:"relay,omitempty"`
	StoreAvailable bool `json:"store,omitempty"`
	// ConfigVersion, ConfigAge, FleetRevision, FleetEra and MembersDigest are those of the sender, as
	// in a Digest. They are set by relays only.
	ConfigVersion config.Version  `json:"config,omitempty"`
	ConfigAge     milliseconds    `json:"config_age_ms,omitempty"`
	FleetRevision follow.Revision `json:"fleet,omitempty"`
	FleetEra      follow.Era      `json:"fleet_era,omitempty"`
	MembersDigest uint64          `json:"members_digest,omitempty"`
	// Announced is the newest version that the sender has announced to all zones.
	Announced config.Version `json:"announced,omitempty"`
	// Known is a version that the sender does not have.
	Known *KnownVersion `json:"known,omitempty"`
	// Announces requests a datagram with the version of the receiver, so that the
	// sender knows that this one has arrived.
	Announces bool `json:"announces,omitempty"`
	// StoreSilent says that the store has ceased to respond to the sender, a relay of
	// another zone.
	StoreSilent bool `json:"store_silent,omitempty"`
	// Contact says that the store has just responded to the sender, so that ConfigVersion
	// was the newest version then.
	Contact bool `json:"contact,omitempty"`
	// SilenceAge is how long ago the sender has found that an open connection to the
	// store had fallen silent, 0 if it has not recently.
	SilenceAge milliseconds `json:"silence_age_ms,omitempty"`
	// States are states of any nodes that the receiver is to apply.
	States []State `json:"states,omitempty"`
	// RolloutDigest is that of the sender, as in a Digest. It is set by relays only.
	RolloutDigest uint64 `json:"rollouts,omitempty"`
	// Rollouts are states of rollouts. Forwards asks the receiver to send those that are
	// new to it to its zone.
	Rollouts []rollout.State `json:"rollout_states,omitempty"`
	Forwards bool            `json:"forwards,omitempty"`
	// Counts are those of the upstream of the sender, for a coordinator of its rollout.
	Counts *rollout.Counts `json:"counts,omitempty"`
}

// fleetPosition returns the position of the sender's fleet.
func (d *Datagram) fleetPosition() follow.Position {
	return follow.Position{Era: d.FleetEra, Revision: d.FleetRevision}
}

const (
	// maxDatagramBytes bounds a datagram, in bytes, so that it fits in one packet.
	maxDatagramBytes = 1400
	// statesPerDatagram keeps a datagram below maxDatagramBytes with node names of
	// 63 bytes.
	statesPerDatagram = 6
	// stateBatchDelay is the time in which states are collected before they are
	// forwarded together. It limits the number of datagrams when hundreds of nodes
	// of a zone return at once.
	stateBatchDelay = 100 * time.Millisecond
	// maxFetchJitter spreads the fetches of the nodes of a zone, so that they do
	// not reach a relay at the same time.
	maxFetchJitter = 40 * time.Millisecond
	// minFetchInterval is the minimum time from a fetch to the next one after it has
	// succeeded. When versions follow each other quickly, 20 nodes that fetch each one saturate the link of
	// the relay.
	minFetchInterval = 600 * time.Millisecond
	// fetchTimeout bounds one fetch from a relay. A compressed configuration of
	// 1,400 routes has 40 KB, and 20 nodes share the link of the relay.
	fetchTimeout = 3 * time.Second
)

// TriggerBeacon makes RunBeacons send the pending states, and a beacon if this
// node is a relay, at once. It does not block and is safe for concurrent use.
func (n *Node) TriggerBeacon() {
	select {
	case n.beaconTrigger <- struct{}{}:
	default:
	}
}

// RunBeacons sends beacons while this node is a relay, and forwards pending
// states, until ctx ends. It returns nil.
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
	forwardsKnown := n.forwardsKnown.Swap(false)
	if !isRelay && len(states) == 0 && !forwardsKnown {
		return
	}
	d := Datagram{From: n.Self.Node}
	if isRelay || forwardsKnown {
		d.Known = n.knownVersion(time.Now())
	}
	if isRelay {
		f := n.View.Current()
		d.IsRelay, d.StoreAvailable = true, !n.storeUnavailable.Load()
		d.ConfigVersion, d.ConfigAge, d.MembersDigest = n.Config.Version(), n.configAge(time.Now()), f.Digest
		d.FleetRevision, d.FleetEra = f.Position.Revision, f.Position.Era
		d.Announced = config.Version(n.announcer.Announced().Revision)
		d.RolloutDigest = n.rolloutDigest()
	}
	for first := true; first || len(states) > 0; first = false {
		count := min(len(states), statesPerDatagram)
		d.States, states = states[:count], states[count:]
		n.sendDatagram(&d)
	}
}

// sendDatagram sends d to the other reachable nodes of the zone. Datagrams may
// be lost: the next beacon replaces a lost beacon, and a node that missed a
// state gets it from a refusal.
func (n *Node) sendDatagram(d *Datagram) {
	n.sendDatagramTo(d, n.zonePeers())
}

// sendDatagramTo sends d to members.
func (n *Node) sendDatagramTo(d *Datagram, members []fleet.Member) {
	body, err := json.Marshal(d)
	if err != nil {
		n.Log.Error("datagram cannot be encoded", zap.Error(err))
		return
	}
	for _, m := range members {
		to, err := netip.ParseAddrPort(m.MessageAddress)
		if err != nil {
			n.Log.Warn("message address of a node is not an IP address with a port", zap.String("other", string(m.Node)), zap.Error(err))
			continue
		}
		n.writeDatagram(body, to)
	}
}

// SendDatagram sends a datagram of another kind than Datagram on the same socket, once
// that is open. It may be lost.
func (n *Node) SendDatagram(body []byte, to netip.AddrPort) { n.writeDatagram(body, to) }

func (n *Node) writeDatagram(body []byte, to netip.AddrPort) {
	if _, err := n.Datagrams.WriteToUDPAddrPort(body, to); err != nil && !errors.Is(err, net.ErrClosed) {
		n.Log.Debug("datagram was not sent", zap.Stringer("to", to), zap.Error(err))
	}
}

// ReadDatagrams reads and processes the datagrams of the zone until ctx ends.
// Invalid datagrams are ignored. It returns an error only if the socket is
// closed before ctx ends.
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
			continue // for example an ICMP error for a datagram to a closed port
		}
		if size > 0 && buf[0] == quota.FirstByte {
			if n.OnQuotaDatagram != nil {
				n.OnQuotaDatagram(buf[:size], from)
			}
			continue
		}
		var d Datagram
		if err := n.decodeDatagram(buf[:size], &d); err != nil {
			n.Log.Debug("datagram is invalid", zap.Stringer("remote", from), zap.Error(err))
			continue
		}
		n.handleDatagram(&d)
		if d.Announces {
			n.acknowledge(from)
		}
	}
	return nil
}

func (n *Node) handleDatagram(d *Datagram) {
	n.applyStates(d.States)
	if d.From == n.Self.Node {
		return
	}
	now := time.Now()
	n.handleRollouts(d)
	n.observeAnnouncement(d, now)
	if d.StoreSilent {
		n.suspectStore(d.From)
	}
	if d.Contact {
		n.handleContact(d, now)
	}
	if !d.IsRelay {
		return
	}
	n.mu.Lock()
	lostStore := n.zone.RecordBeacon(d.From, d.StoreAvailable, n.clock())
	n.zoneVersions[d.From] = d.ConfigVersion
	n.mu.Unlock()
	if lostStore {
		n.suspectStore(d.From)
	}
	n.announcer.End(versionPosition(d.Announced))
	n.observeRolloutDigest(d.From, d.RolloutDigest)
	f := n.View.Current()
	if d.FleetEra > f.Position.Era {
		n.OnEra(d.FleetEra)
	}
	if n.View.Loaded() && d.MembersDigest != f.Digest {
		n.observeFleet(d.fleetPosition(), d.From, now)
	}
}
