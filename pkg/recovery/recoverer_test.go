package recovery

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/upstream"
)

// awayStore is a Store that does not respond while it is away.
type awayStore struct {
	storedDepartures
	away  atomic.Bool
	reads atomic.Int64
}

func (s *awayStore) Departures(ctx context.Context, id model.NodeID) ([]upstream.Departure, error) {
	s.reads.Add(1)
	if s.away.Load() {
		return nil, errAway
	}
	return s.storedDepartures.Departures(ctx, id)
}

// Guards against a departure that only the store holds and that is never read, because
// other nodes have answered, or because the store was away for longer than
// upstream.MaxReportDelay.
func TestStoreIsReadOnceItIsBack(t *testing.T) {
	for name, answers := range map[string]Answers{
		"other nodes answer": {Others: 5, Holders: 3, CompleteHolders: 3, Settled: 3},
		"no node answers":    {Others: 5, Holders: 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := awayStore{storedDepartures: departuresOf("n", 0, 1)}
				store.away.Store(true)
				applied := 0
				r := Recoverer{
					Node: "n", Held: NewDepartures(time.Now()), Store: &store, Log: zap.NewNop(),
					AskOthers:     func(context.Context) (Answers, bool) { return answers, true },
					HasHealthPath: func() bool { return true },
					Apply:         func(all []upstream.Departure, _ bool) { applied = len(all) },
					OnStoreRead:   func([]upstream.Departure) {},
				}
				began := time.Now()
				r.Run(t.Context())
				is.True(time.Since(began) <= upstream.MaxReportDelay+time.Second)
				time.AfterFunc(20*time.Second, func() { store.away.Store(false) })
				r.AwaitStore(t.Context())
				is.Equal(applied, 1)
				is.True(time.Since(began) < upstream.MaxReportDelay+24*time.Second)
				is.True(store.reads.Load() < 80)
			})
		})
	}
}

// Guards against late reports that are trusted although a holder of a departure has
// not answered, has restarted and may have lost it, or although no node was asked yet.
func TestEvidenceIsCompleteOnlyIfNoDepartureCanBeMissing(t *testing.T) {
	is := is.New(t)
	asked := func(store, health bool, a Answers) bool {
		e := Evidence{StoreRead: store, Asked: true, Answers: a, HealthPath: health}
		return e.Complete()
	}
	is.True(asked(false, true, Answers{Others: 5, Holders: 3, CompleteHolders: 2}))
	is.True(!asked(false, true, Answers{Others: 5, Holders: 3, CompleteHolders: 1, Settled: 3}))
	is.True(!asked(true, true, Answers{Others: 5, Holders: 3, Settled: 2})) // two nodes that were not asked to hold it
	is.True(asked(true, true, Answers{Others: 5, Holders: 3, CompleteHolders: 1}))
	is.True(asked(true, true, Answers{}))
	is.True(!asked(false, false, Answers{Others: 1, Holders: 1, CompleteHolders: 1})) // the store alone may hold it
	is.True(asked(true, false, Answers{Others: 5, Holders: 3}))
	e := Evidence{StoreRead: true}
	is.True(!e.Complete())
}

// Guards against health checks that do not wait for departures, because other nodes were
// asked and none of them could know any.
func TestNothingIsAppliedBeforeAnybodyHasAnswered(t *testing.T) {
	is := is.New(t)
	applied := false
	answers := Answers{Others: 5, Holders: 3} // all have just started
	r := Recoverer{
		Node: "n", Held: NewDepartures(time.Now()), Log: zap.NewNop(),
		AskOthers:     func(context.Context) (Answers, bool) { return answers, true },
		HasHealthPath: func() bool { return true },
		Apply:         func([]upstream.Departure, bool) { applied = true },
	}
	r.askOthers(t.Context())
	is.True(!applied)
	answers.Settled = 1
	r.askOthers(t.Context())
	is.True(applied)
}
