package recovery

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/upstream"
)

func departureOf(id model.NodeID, i int) Departure {
	return Departure{Node: id, Departure: upstream.Departure{ID: fmt.Sprint("boot", i), Start: upstream.StartedAt(int64(i))}}
}

// departuresOf returns the departures from to to-1 of a node.
func departuresOf(id model.NodeID, from, to int) (all []Departure) {
	for i := from; i < to; i++ {
		all = append(all, departureOf(id, i))
	}
	return all
}

// storedDepartures is a Store that holds departures of one node.
type storedDepartures []Departure

func (s storedDepartures) SaveDeparture(context.Context, Departure, []upstream.Departure) error {
	return nil
}

func (s storedDepartures) Departures(context.Context, model.NodeID) (all []upstream.Departure, err error) {
	for _, d := range s {
		all = append(all, d.Departure)
	}
	return all, nil
}

// Guards against a departure that only other nodes hold, because the store was away
// when it was acknowledged, and that is lost when the store returns the older ones.
func TestStoredDeparturesDoNotDisplaceNewerOnes(t *testing.T) {
	is := is.New(t)
	newest := departureOf("n", maxStored)
	held := NewDepartures(time.Time{})
	var applied []upstream.Departure
	r := Recoverer{
		Node: "n", Held: held, Store: storedDepartures(departuresOf("n", 0, maxStored)), Log: zap.NewNop(),
		HasHealthPath: func() bool { return true },
		Apply:         func(all []upstream.Departure, _ bool) { applied = all },
		OnStoreRead:   func([]upstream.Departure) {},
	}
	held.Add([]Departure{newest}, time.Now()) // from the first node that answers
	r.readStore(t.Context())
	is.True(slices.Contains(applied, newest.Departure))
}

// Guards against a new departure that is lost at a node which starts, when the nodes
// that it asks hold different ones of the upstream's departures.
func TestNewestDepartureIsKeptWhicheverNodeAnswersLast(t *testing.T) {
	is := is.New(t)
	began := time.Now()
	newest := departureOf("n", maxStored)
	behind, current := NewDepartures(time.Time{}), NewDepartures(time.Time{})
	for i, d := range departuresOf("n", 0, maxStored+1) {
		at := began.Add(time.Duration(i) * time.Second)
		current.Add([]Departure{d}, at)
		if d != newest {
			behind.Add([]Departure{d}, at)
		}
	}
	now := began.Add(time.Minute)
	for _, answers := range [][]*Departures{{behind, current}, {current, behind}} {
		starting := NewDepartures(time.Time{})
		for _, a := range answers {
			starting.Add(a.All(now), now)
		}
		is.True(slices.Contains(starting.Of("n"), newest.Departure))
	}
}

// Guards against departures that are kept for ever, because each node that starts gets
// them from others and keeps them as if they were new.
func TestDeparturesExpireAlthoughNodesRestart(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	held := NewDepartures(time.Time{})
	held.Add([]Departure{departureOf("n", 1)}, now)
	for range 6 {
		now = now.Add(keepTime / 5)
		next := NewDepartures(time.Time{})
		next.Add(held.All(now), now)
		held = next
	}
	is.Equal(len(held.All(now)), 0)
}
