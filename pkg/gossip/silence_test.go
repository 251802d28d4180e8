package gossip

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

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
