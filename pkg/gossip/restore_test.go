package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
)

func inEra(era follow.Era, r follow.Revision) follow.Position {
	return follow.Position{Era: era, Revision: r}
}

// Guards against a node without the store that keeps the fleet of an earlier era
// because its revision is higher, and against one that takes a late message of that
// era for a newer fleet.
func TestFleetOfALaterEraIsTaken(t *testing.T) {
	is := is.New(t)
	a, b := newPeer(t, "a"), newPeer(t, "b")
	lost := fleet.Member{Node: "lost", Service: "s", CallAddress: "127.0.0.1:1", MessageAddress: "127.0.0.1:2", Location: a.Self.Location}
	now := time.Now()
	b.View.Replace([]fleet.Member{a.Self, b.Self, lost}, inEra(1, 90), now)
	a.View.Replace([]fleet.Member{a.Self, b.Self}, inEra(2, 3), now)
	b.SetStoreAvailable(false)
	b.syncWith(t.Context(), a.Self)
	is.Equal(b.View.Current().Position, inEra(2, 3))
	is.Equal(b.View.Current().Digest, a.View.Current().Digest)
	late := Update{Digest: Digest{From: a.Self, FleetRevision: 99, FleetEra: 1}, Nodes: []fleet.Member{a.Self, b.Self, lost}}
	b.applyFleet(&late, "a")
	is.Equal(b.View.Current().Position, inEra(2, 3))
}

// Guards against a later era that a node learns only when its watch of the store
// ends: it must be reported at once, from a digest and from a beacon.
func TestLaterEraIsReported(t *testing.T) {
	is := is.New(t)
	a, b := newPeer(t, "a"), newPeer(t, "b")
	var eras []follow.Era
	b.OnEra = func(era follow.Era) { eras = append(eras, era) }
	for _, p := range []*peer{a, b} {
		p.offerConfig(t, 7) // a node without a configuration would ask b back, later
	}
	members := []fleet.Member{a.Self, b.Self}
	b.View.Replace(members, inEra(1, 9), time.Now())
	a.View.Replace(members, inEra(1, 5), time.Now())
	b.syncWith(t.Context(), a.Self)
	is.Equal(len(eras), 0)
	a.View.Replace(members, inEra(2, 4), time.Now())
	b.syncWith(t.Context(), a.Self)
	b.handleDatagram(&Datagram{From: "a", IsRelay: true, FleetRevision: 1, FleetEra: 3})
	is.Equal(eras, []follow.Era{2, 3})
}

// Guards against a relay that sends the whole fleet to each node of its zone after
// a restore that has changed a few rows. A node that was ahead of the relay before
// the restore needs the whole fleet.
func TestRelaySendsChangesAcrossRestore(t *testing.T) {
	is := is.New(t)
	a, b, ahead := newPeer(t, "a"), newPeer(t, "b"), newPeer(t, "ahead")
	members := []fleet.Member{a.Self, b.Self, ahead.Self}
	for i := range 500 {
		m := a.Self
		m.Node = model.NodeID(fmt.Sprint("n", i))
		members = append(members, m)
	}
	now := time.Now()
	for _, p := range []*peer{a, b, ahead} {
		p.View.Replace(members, inEra(1, 20), now)
		p.SetStoreAvailable(false)
	}
	joined := members[3]
	joined.Node = "joined"
	ahead.View.Apply(fleet.Change{Set: []fleet.Member{joined}, Position: inEra(1, 21)}, now)
	a.View.Replace(members[:len(members)-2], inEra(2, 18), now)
	before := a.bytesSent.Load()
	b.syncWith(t.Context(), a.Self)
	small := a.bytesSent.Load() - before
	ahead.syncWith(t.Context(), a.Self)
	is.True(small < minCompressedSize)
	for _, p := range []*peer{b, ahead} {
		is.Equal(p.View.Current().Position, inEra(2, 18))
		is.Equal(p.View.Current().Digest, a.View.Current().Digest)
	}
}
