package gossip

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/relay"
)

// Guards against a zone that sees no new version because the store is silent to its
// relays: the first nodes of the zone must read the store at once when a relay loses
// it, and follow it if it responds. The others must not, so that an outage costs few
// requests.
func TestNodesReadStoreWhenRelayLosesIt(t *testing.T) {
	is := is.New(t)
	peers := newZone(t, "z", maxChecks+3)
	setFleet(peers, 1)
	for _, p := range peers {
		p.offerConfig(t, 1)
	}
	lost := Datagram{From: peers[0].Self.Node, IsRelay: true, ConfigVersion: 1}
	healthy := Datagram{From: peers[1].Self.Node, IsRelay: true, StoreAvailable: true, ConfigVersion: 1}
	near, far := peers[maxChecks-1], peers[maxChecks+1]
	next := func(p *peer, s *Schedule) (follows, timedOut bool) {
		ctx, cancel := context.WithTimeout(t.Context(), relay.BeaconTimeout/3)
		defer cancel()
		follows = s.Next(ctx)
		return follows, ctx.Err() != nil
	}
	nearSchedule, farSchedule := near.ConfigSchedule(true), far.ConfigSchedule(true)
	for _, p := range []*peer{near, far} {
		p.handleDatagram(&healthy)
		p.handleDatagram(&lost)
	}
	follows, timedOut := next(near, nearSchedule)
	is.True(!follows && !timedOut) // reads once
	follows, timedOut = next(near, nearSchedule)
	is.True(follows && !timedOut) // the store has responded
	near.SetStoreAvailable(false)
	_, timedOut = next(near, nearSchedule)
	is.True(timedOut) // the store has not responded
	_, timedOut = next(far, farSchedule)
	is.True(timedOut)
}

// Guards against a request storm: repeated warnings lead to one check.
func TestWarningsLeadToOneCheck(t *testing.T) {
	is := is.New(t)
	peers := newZone(t, "z", 6)
	setFleet(peers, 1)
	checks := 0
	peers[0].OnStoreSuspected = func(time.Time) { checks++ }
	for i := range 20 {
		peers[0].handleDatagram(&Datagram{From: model.NodeID(fmt.Sprint("other-", i)), StoreSilent: true})
	}
	is.Equal(checks, 1)
}

// Guards the number of requests that watches of the relays cost: together they end
// about once in watchEndInterval.
func TestWatchesEndAtDifferentTimes(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, "a")
	const zones = 9
	members := []fleet.Member{p.Self}
	for i := range 10 * zones {
		m := p.Self
		m.Node = model.NodeID(fmt.Sprint("n", i))
		m.Location.AvailabilityZone = model.AvailabilityZone(fmt.Sprint("zone-", i%zones))
		if i%zones == 0 {
			m.Location = p.Self.Location
		}
		members = append(members, m)
	}
	p.View.Replace(members, follow.At(1), time.Now())
	const count = 2000
	var sum, shortest, longest time.Duration = 0, time.Hour, 0
	for range count {
		w := p.WatchTime()
		sum, shortest, longest = sum+w, min(shortest, w), max(longest, w)
	}
	mean := zones * watchEndInterval
	is.True(sum/count > mean*9/10 && sum/count < mean*11/10)
	is.True(shortest < mean/4 && longest > mean*3/2)
}

// Guards against a silence of the store to all nodes that nobody notices for long, where
// every node follows the store, and against the cost of noticing it: the watches of the
// fleet end one after the other after a change, after restarts too, and one node's end
// no more often than spreadInterval requires.
func TestWatchesOfFollowersEndInTurn(t *testing.T) {
	for _, count := range []int{1, 6, 18, 24, 400, 2800} {
		is := is.New(t)
		began := time.Now()
		var members []fleet.Member
		nodes := make([]*peer, 0, count)
		for i := range count {
			m := newPeer(t, fmt.Sprint("n", i)).Self
			m.Location = model.Location{Region: "r", AvailabilityZone: "z"}
			members = append(members, m)
		}
		for i := 0; i < count; i += max(count/24, 1) { // the turns of the others lie between these
			p := newPeer(t, string(members[i].Node))
			p.Self, p.zone.AllFollow = members[i], true
			p.View.Replace(members, follow.At(1), began)
			since := began.Add(time.Duration(i%5) * 10 * time.Millisecond) // when it got the version
			p.configSince.Store(&since)
			nodes = append(nodes, p)
		}
		const watched = 2 * time.Minute
		var ends []time.Duration
		for i, p := range nodes {
			at := time.Duration(i%7) * time.Second // of its first watch
			for at < watched {
				w := p.spreadWatchTime(began.Add(at))
				is.True(w >= minSpreadWatch && w <= maxSpreadPeriod+minSpreadWatch)
				at += w + time.Duration(i%3)*20*time.Millisecond // until the response arrives
				ends = append(ends, at)
			}
		}
		slices.Sort(ends)
		period := min(time.Duration(count)*spreadInterval, maxSpreadPeriod)
		each := period / time.Duration(min(count, len(nodes)))
		for i := 1; i < len(ends); i++ {
			if ends[i-1] > 10*time.Second && ends[i] < watched { // each node had its first end in the first period
				gap := ends[i] - ends[i-1]
				if count <= 24 && gap > spreadInterval+200*time.Millisecond {
					t.Errorf("%d nodes: no watch ends from %s to %s", count, ends[i-1], ends[i])
				}
			}
		}
		is.True(len(ends) <= int(watched/each)+2*len(nodes))
	}
}
