package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lentilflow/lentilflow/pkg/internal/rapidtest"
	"github.com/lentilflow/lentilflow/pkg/model"
)

func init() { rapidtest.FixSeed(81) }

func orderedNodes(n int) []model.NodeID {
	var ids []model.NodeID
	for i := range n {
		ids = append(ids, model.NodeID(fmt.Sprintf("n-%d", i)))
	}
	return Order(ids)
}

// Guards the agreement of nodes that receive each other's beacons: all select
// the same two relays, in a zone of any size.
func TestFaultFreeZoneHasTwoRelays(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{allFollowLimit + 1, 22, 400} {
		ids := orderedNodes(n)
		for _, self := range []model.NodeID{ids[0], ids[1], ids[2], ids[n-1]} {
			z := NewZone(self, 0)
			for now := time.Duration(0); now < 5*time.Second; now += BeaconPeriod {
				for _, id := range ids[:PerZone] {
					if id != self {
						z.RecordBeacon(id, true, now)
					}
				}
				relays, _ := z.Relays(ids, now)
				is.Equal(relays, ids[:PerZone])
			}
		}
	}
	small := orderedNodes(allFollowLimit)
	relays, _ := NewZone(small[3], 0).Relays(small, 0)
	is.Equal(relays, small)
	all := NewZone(orderedNodes(22)[21], 0)
	all.AllFollow = true
	relays, _ = all.Relays(orderedNodes(22), 0)
	is.Equal(relays, orderedNodes(22))
}

// Guards against an order that depends on a common prefix of the names instead
// of being spread over whole names.
func TestOrderSpreadsOverNames(t *testing.T) {
	is := is.New(t)
	first := make(map[model.NodeID]bool)
	for zone := range 50 {
		var ids []model.NodeID
		for i := range 10 {
			ids = append(ids, model.NodeID(fmt.Sprintf("z%d-%d", zone, i)))
		}
		ordered := Order(ids)
		first[ordered[0][len(ordered[0])-1:]] = true
	}
	is.True(len(first) > 5)
}

// Guards against a zone without a relay when relays fail one after another, or
// the store does not respond to them, while a version is accepted. The next
// nodes become relays: at once if the store does not respond to the first ones,
// and after BeaconTimeout if these send no beacons.
func TestNextNodesBecomeRelays(t *testing.T) {
	is := is.New(t)
	ids := orderedNodes(10)
	z := NewZone(ids[3], 0)
	z.Relays(ids, 0)
	z.RecordBeacon(ids[0], true, 0)
	z.RecordBeacon(ids[1], true, 0)
	z.RecordBeacon(ids[0], false, 100*time.Millisecond)
	relays, _ := z.Relays(ids, 100*time.Millisecond)
	is.Equal(relays, []model.NodeID{ids[1], ids[2]})
	z.RecordBeacon(ids[1], false, 200*time.Millisecond)
	relays, _ = z.Relays(ids, 200*time.Millisecond)
	is.Equal(relays, []model.NodeID{ids[2], ids[3]})
	// The third one sends no beacons; the first two report no store.
	now := 200 * time.Millisecond
	for ; now < 2*time.Second; now += BeaconPeriod {
		z.RecordBeacon(ids[0], false, now)
		z.RecordBeacon(ids[1], false, now)
	}
	relays, _ = z.Relays(ids, now)
	is.Equal(relays, []model.NodeID{ids[3], ids[4]})
	// The store responds to the first two again.
	z.RecordBeacon(ids[0], true, now)
	z.RecordBeacon(ids[1], true, now)
	relays, _ = z.Relays(ids, now)
	is.Equal(relays, []model.NodeID{ids[0], ids[1]})
}

// relaysFunc is the signature of Zone.Relays; broken variants replace it.
type relaysFunc func(z *Zone, ordered []model.NodeID, now time.Duration) ([]model.NodeID, time.Duration)

// checkZone simulates a zone whose nodes fail, return and lose the store. It
// returns the first property that does not hold, or "". Soon after the last
// fault, all live nodes to which the store responds must select the same relays:
// the first two nodes that are live and have the store.
func checkZone(t *rapid.T, relaysOf relaysFunc) string {
	ids := orderedNodes(rapid.IntRange(allFollowLimit+1, 12).Draw(t, "nodes"))
	live, store := make(map[model.NodeID]bool), make(map[model.NodeID]bool)
	zones := make(map[model.NodeID]*Zone)
	for _, id := range ids {
		live[id], store[id], zones[id] = true, true, NewZone(id, 0)
	}
	const tick = BeaconPeriod / 3
	now := time.Duration(0)
	step := func(lossPercent int) {
		now += tick
		for i, id := range ids {
			if !live[id] {
				continue
			}
			relays, _ := relaysOf(zones[id], ids, now)
			if !slices.Contains(relays, id) || (int(now/tick)+i)%3 != 0 {
				continue
			}
			for _, to := range ids {
				if to != id && live[to] && rapid.IntRange(1, 100).Draw(t, "loss") > lossPercent {
					zones[to].RecordBeacon(id, store[id], now)
				}
			}
		}
	}
	for range rapid.IntRange(1, 6).Draw(t, "faults") {
		id := rapid.SampledFrom(ids).Draw(t, "node")
		switch rapid.IntRange(0, 2).Draw(t, "kind") {
		case 0:
			live[id] = false
		case 1:
			live[id], store[id], zones[id] = true, true, NewZone(id, now)
		case 2:
			store[id] = !store[id]
		}
		for range rapid.IntRange(0, 20).Draw(t, "ticks") {
			step(10)
		}
	}
	for range int(time.Duration(len(ids))*BeaconTimeout/tick) + 20 {
		step(0)
	}
	var want []model.NodeID
	withoutStore := 0
	for _, id := range ids {
		switch {
		case !live[id] || len(want) == PerZone || withoutStore > maxRelaysWithoutStore:
		case store[id]:
			want = append(want, id)
		default:
			withoutStore++
		}
	}
	for _, id := range ids {
		if !live[id] || !store[id] {
			continue
		}
		if relays, _ := relaysOf(zones[id], ids, now); !slices.Equal(relays, want) {
			return "the nodes of a zone do not agree on the working relays"
		}
	}
	return ""
}

// Guards against requests of every node to the store, and beacons of every node
// to every other one, while the store is unavailable to all. Only a few nodes
// keep trying.
func TestFewNodesQueryUnavailableStore(t *testing.T) {
	is := is.New(t)
	ids := orderedNodes(22)
	zones := make(map[model.NodeID]*Zone)
	for _, id := range ids {
		zones[id] = NewZone(id, 0)
	}
	trying := 0
	for now := time.Duration(0); now < 10*time.Second; now += BeaconPeriod {
		trying = 0
		for _, id := range ids {
			if relays, _ := zones[id].Relays(ids, now); slices.Contains(relays, id) {
				trying++
				for _, to := range ids {
					if to != id {
						zones[to].RecordBeacon(id, false, now)
					}
				}
			}
		}
	}
	is.True(trying >= PerZone)
	is.True(trying <= maxRelaysWithoutStore+PerZone)
	is.True(zones[ids[21]].StoreUnavailable(10 * time.Second))
	zones[ids[21]].RecordBeacon(ids[0], true, 10*time.Second)
	is.True(!zones[ids[21]].StoreUnavailable(10 * time.Second))
}

// Guards the selection of relays under consecutive faults.
func TestZoneAgreesAfterFaults(t *testing.T) {
	rapidtest.RequireNoFault(t, relaysFunc((*Zone).Relays), checkZone)
}

// Checks that checkZone detects broken variants.
func TestCheckZoneDetectsBrokenVariants(t *testing.T) {
	const fault = "the nodes of a zone do not agree on the working relays"
	for name, broken := range map[string]relaysFunc{
		"missing beacons are ignored": func(z *Zone, ordered []model.NodeID, now time.Duration) ([]model.NodeID, time.Duration) {
			for id := range z.expectedSince {
				z.expectedSince[id] = now
			}
			return z.Relays(ordered, now)
		},
		"loss of the store is ignored": func(z *Zone, ordered []model.NodeID, now time.Duration) ([]model.NodeID, time.Duration) {
			for id, b := range z.beacons {
				z.beacons[id] = beacon{b.at, true}
			}
			return z.Relays(ordered, now)
		},
	} {
		t.Run(name, func(t *testing.T) { rapidtest.RequireFaultsFound(t, map[string]relaysFunc{fault: broken}, checkZone) })
	}
}
