package gossip

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/contact"
	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// fleetOf returns so many members in zones, the first of which are those of peers.
func fleetOf(peers []*peer, count, zones int) (members []fleet.Member) {
	for i := range count {
		m := fleet.Member{Node: model.NodeID(fmt.Sprint("n", i)), Service: "s", CallAddress: "127.0.0.1:1", MessageAddress: "127.0.0.1:1"}
		m.Location = model.Location{Region: "r", AvailabilityZone: model.AvailabilityZone(fmt.Sprint("z", i%zones))}
		if i < len(peers) {
			m.MessageAddress = peers[i].Self.MessageAddress
			peers[i].Self = m
		}
		members = append(members, m)
	}
	return members
}

// Guards against followers that ask the store all together, or of which none asks, and
// against notices that grow with a large fleet: the nodes have different ranks, whatever
// they know of each other's starts.
func TestFollowersHaveRanks(t *testing.T) {
	for name, c := range map[string]struct {
		nodes, zones     int
		allFollow        bool
		followers, heard int // of a group; nodes that hear a follower's notice
	}{
		"every node follows":         {18, 6, true, 18, 17},
		"zones with relays":          {189, 9, false, 9, 17},
		"one zone with relays":       {21, 1, false, 1, 1},
		"large, every node follows":  {2800, 7, true, 400, 399},
		"large, with relays":         {2800, 7, false, 7, 13},
		"small zones without relays": {9, 3, false, 9, 8},
		"a single node":              {1, 1, true, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			peers := make([]*peer, min(c.nodes, 12))
			for i := range peers {
				peers[i] = newPeer(t, "p")
			}
			members := fleetOf(peers, c.nodes, c.zones)
			ranks := make(map[model.AvailabilityZone][]int)
			for _, p := range peers {
				p.zone.AllFollow = c.allFollow
				p.View.Replace(members, follow.At(1), time.Now())
				p.mu.Lock()
				g := p.contactGroup()
				is.Equal(g.count, c.followers)
				is.True(len(g.others) >= c.heard-1 && len(g.others) <= c.heard+1) // a follower is none of its own others
				zone := p.Self.Location.AvailabilityZone
				if g.count <= c.zones {
					zone = ""
				}
				if g.rank < g.count {
					is.True(!slices.Contains(ranks[zone], g.rank))
					ranks[zone] = append(ranks[zone], g.rank)
				}
				p.mu.Unlock()
			}
		})
	}
}

// Guards against a notice that keeps a node from asking the store although its sender does
// not have the version of the node, so that its response was a stale one, and against
// connections that are not renewed after another node found its own silent.
func TestNoticesOfStoreResponses(t *testing.T) {
	is := is.New(t)
	peers := []*peer{newPeer(t, "p"), newPeer(t, "p")}
	members := fleetOf(peers, 2, 1)
	for _, p := range peers {
		p.View.Replace(members, follow.At(1), time.Now())
		p.offerConfig(t, 3)
	}
	p := peers[0]
	var silentAt time.Time
	p.OnConnectionsSilent = func(at time.Time) { silentAt = at }
	p.startTime = p.startTime.Add(-time.Minute) // a minute without contact
	is.True(p.ContactAge() > contact.MaxAge)
	p.handleDatagram(&Datagram{From: peers[1].Self.Node, Contact: true, ConfigVersion: 2})
	is.True(p.ContactAge() > contact.MaxAge)
	p.handleDatagram(&Datagram{From: peers[1].Self.Node, Contact: true, ConfigVersion: 3})
	is.True(p.ContactAge() < contact.Interval)
	is.True(silentAt.IsZero())
	p.handleDatagram(&Datagram{From: peers[1].Self.Node, Contact: true, ConfigVersion: 3, SilenceAge: 700})
	is.True(time.Since(silentAt) > 600*time.Millisecond && time.Since(silentAt) < 10*time.Second)
}

// Guards against a node that asks the store for the others and does not tell them, and
// against one that tells them although another one asks.
func TestOnlyTheNodeThatAsksTells(t *testing.T) {
	is := is.New(t)
	peers := []*peer{newPeer(t, "p"), newPeer(t, "p")}
	members := fleetOf(peers, 2, 1)
	for _, p := range peers {
		p.startTime = p.startTime.Add(-contact.Interval / 2) // without contact, but not for long enough for the second one to ask
		p.View.Replace(members, follow.At(1), time.Now())
		p.run(t)
	}
	first, second := peers[0], peers[1]
	if first.contactRank() != 0 {
		first, second = second, first
	}
	second.RecordStoreResponse()
	time.Sleep(50 * time.Millisecond)
	is.True(first.ContactAge() >= contact.Interval/2)
	first.RecordStoreResponse()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if second.heardNotice() {
			return
		}
	}
	t.Error("the second node has not heard of the response")
}

// heardNotice reports whether a notice has arrived within half an Interval.
func (p *peer) heardNotice() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.Node.contact.Asks(1, p.clock()+contact.Timeout(1)-contact.Interval/2)
}

func (p *peer) contactRank() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.contactGroup().rank
}
