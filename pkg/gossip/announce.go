package gossip

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/catchup"
	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// KnownVersion is a version of the configuration that a node knows of and does not
// have.
type KnownVersion struct {
	Version config.Version `json:"version"`
	Node    model.NodeID   `json:"node,omitempty"` // a node that has it
	Age     milliseconds   `json:"age_ms,omitempty"`
}

const (
	// maxAnnounceJitter and announceRankDelay delay the announcements of a version. If
	// the store serves all zones, an announcement from one zone to another then saves
	// the one in the other direction, in most cases.
	maxAnnounceJitter = 120 * time.Millisecond
	announceRankDelay = 60 * time.Millisecond
	// forwardDelay is how long the first node of a zone that hears of a version waits
	// for it before it tells the other nodes of the zone.
	forwardDelay = 100 * time.Millisecond
)

// announceDelay returns the delay of the announcements of this node.
func (n *Node) announceDelay() time.Duration {
	return time.Duration(min(n.rank(), maxRankDelays))*announceRankDelay + rand.N(maxAnnounceJitter)
}

// sendAnnouncements sends the announcements that are due, and returns the time until
// the next one may be, 0 if there is none. A relay tells other zones of its version;
// a node that is no relay tells its relays, if none of them has the version. A node
// that has been told of a version, and does not get it soon, tells the other zones of
// its region.
func (n *Node) sendAnnouncements() time.Duration {
	if !n.View.Loaded() {
		return 0
	}
	now := time.Now()
	known := n.knownVersion(now)
	announces := n.announcer.Pending()
	forwards := known != nil && n.forwarder.Pending()
	if !announces && !forwards {
		return 0
	}
	zones := n.remoteZones()
	var wait time.Duration
	if announces {
		candidates := n.areas(zones)
		if isRelay, _, _ := n.RelayRole(); !isRelay {
			own := n.Self.Location
			candidates = map[catchup.Area][]fleet.Member{{Region: own.Region, Zone: own.AvailabilityZone}: n.zonePeers()}
		}
		d := Datagram{From: n.Self.Node, Announces: true, ConfigVersion: n.Config.Version(), ConfigAge: n.configAge(now)}
		wait = n.announce(&n.announcer, &d, candidates, n.precedingNodeHas(n.Config.Version()), now)
	}
	if forwards {
		candidates := n.areas(zones)
		maps.DeleteFunc(candidates, func(a catchup.Area, _ []fleet.Member) bool { return a.Zone == "" })
		d := Datagram{From: n.Self.Node, Announces: true, ConfigVersion: n.Config.Version(), Known: known}
		if next := n.announce(&n.forwarder, &d, candidates, false, now); next > 0 && (wait == 0 || next < wait) {
			wait = next
		}
	}
	return wait
}

// announce sends d to the next node of each area for which an announcement is due,
// and returns the time until the next one may be, 0 if there is none.
func (n *Node) announce(a *catchup.Announcer, d *Datagram, candidates map[catchup.Area][]fleet.Member, deputy bool, now time.Time) time.Duration {
	due, wait := a.Next(slices.Collect(maps.Keys(candidates)), deputy, now)
	for _, next := range due {
		if members := candidates[next.Area]; len(members) > 0 {
			n.sendDatagramTo(d, members[next.Attempt%len(members):][:1])
		}
	}
	return wait
}

// areas returns the areas that a relay announces its version to, and the nodes of
// each in the order in which they are told: the other zones of this region, and the
// other regions, with the first nodes of their zones first. The zones of this region
// begin with different zones of another one.
func (n *Node) areas(zones map[model.AvailabilityZone][]fleet.Member) map[catchup.Area][]fleet.Member {
	areas := make(map[catchup.Area][]fleet.Member)
	regions := make(map[model.Region][][]fleet.Member)
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		members := zones[zone]
		region := members[0].Location.Region
		if region == n.Self.Location.Region {
			areas[catchup.Area{Region: region, Zone: zone}] = members
		} else {
			regions[region] = append(regions[region], members)
		}
	}
	for region, byZone := range regions {
		first := int(xxhash.Sum64String(string(n.Self.Location.AvailabilityZone)) % uint64(len(byZone)))
		area := catchup.Area{Region: region}
		for i := range maxAnnounceTries {
			for z := range byZone {
				if members := byZone[(first+z)%len(byZone)]; i < len(members) {
					areas[area] = append(areas[area], members[i])
				}
			}
		}
	}
	return areas
}

// knownVersion returns the newest version that this node knows of and does not have,
// nil if there is none.
func (n *Node) knownVersion(now time.Time) *KnownVersion {
	lag := n.configLag.Lag(now)
	if !lag.Active() {
		return nil
	}
	return &KnownVersion{Version: config.Version(lag.Newest.Revision), Node: lag.From, Age: milliseconds(lag.Total.Milliseconds())}
}

// acknowledge sends the versions of this node to a node that has announced its own.
func (n *Node) acknowledge(to netip.AddrPort) {
	now := time.Now()
	body, err := json.Marshal(&Datagram{
		From: n.Self.Node, ConfigVersion: n.Config.Version(), ConfigAge: n.configAge(now), Known: n.knownVersion(now),
	})
	if err != nil {
		n.Log.Error("datagram cannot be encoded", zap.Error(err))
		return
	}
	n.writeDatagram(body, to)
}

// observeAnnouncement records the versions that another node has or knows of. If an
// announcement is news to this node, the other nodes of the zone and of the region
// are told, unless the version arrives soon.
func (n *Node) observeAnnouncement(d *Datagram, now time.Time) {
	known := d.ConfigVersion
	isNew := n.observeConfig(d.ConfigVersion, d.From, d.ConfigAge.duration(), now)
	if d.Known != nil && d.Known.Version > known {
		known = d.Known.Version
		isNew = n.observeConfig(known, d.Known.Node, d.Known.Age.duration(), now) || isNew
	}
	if m, ok := n.View.Current().Members[d.From]; ok {
		n.announcer.Heard(m.Location, versionPosition(d.ConfigVersion), versionPosition(known))
		n.forwarder.Heard(m.Location, versionPosition(known), versionPosition(known))
	}
	if !isNew || !d.Announces {
		return
	}
	time.AfterFunc(forwardDelay, func() {
		if n.Config.Version() < known {
			n.forwardsKnown.Store(true)
			n.TriggerBeacon()
			n.forwarder.Begin(versionPosition(known), 0, time.Now())
			n.triggerCatchUp()
		}
	})
}
