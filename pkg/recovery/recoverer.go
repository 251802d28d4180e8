package recovery

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/contain"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/sleep"
	"github.com/lentilflow/lentilflow/pkg/upstream"
)

const (
	// retryPause is the time between two attempts to recover.
	retryPause = 200 * time.Millisecond
	// readTimeout bounds one attempt to read the store.
	readTimeout = time.Second
	// awaitPause is the time between two attempts of AwaitStore.
	awaitPause = time.Second
)

// Recoverer gets back the departures that earlier processes of this node have
// acknowledged. Its fields are set before Run.
type Recoverer struct {
	Node  model.NodeID
	Held  *Departures
	Store Store
	// AskOthers adds what a few other nodes hold to Held. ok is false if other nodes are
	// not known yet.
	AskOthers func(ctx context.Context) (a Answers, ok bool)
	// HasHealthPath reports whether the upstream can be asked which boot it is.
	HasHealthPath func() bool
	// Apply is called whenever more is known, with all departures of this node.
	// complete says that none is missing. Calls do not overlap.
	Apply func(departures []upstream.Departure, complete bool)
	// OnStoreRead is called with the departures that the store holds.
	OnStoreRead func([]upstream.Departure)
	Guard       *contain.Guard
	Log         *zap.Logger

	mu       sync.Mutex
	evidence Evidence
}

// Run returns when the evidence is complete, or once upstream.MaxReportDelay has
// passed: no late report can then refer to anything earlier.
func (r *Recoverer) Run(ctx context.Context) {
	begun := time.Now()
	for {
		var wait sync.WaitGroup
		if !r.state().StoreRead {
			wait.Go(func() { r.Guard.Do("recover from the store", func() { r.readStore(ctx) }) })
		}
		wait.Go(func() { r.Guard.Do("recover from other nodes", func() { r.askOthers(ctx) }) })
		wait.Wait()
		e := r.state()
		if e.Complete() || ctx.Err() != nil || time.Since(begun) >= upstream.MaxReportDelay {
			r.Log.Info("departures of the upstream are recovered", zap.Bool("complete", e.Complete()), zap.Bool("store", e.StoreRead),
				zap.Int("settled_nodes", e.Settled), zap.Int("holders", e.Holders), zap.Int("complete_holders", e.CompleteHolders), zap.Int("departures", len(r.Held.Of(r.Node))), zap.Duration("took", time.Since(begun)))
			return
		}
		sleep.For(ctx, retryPause)
	}
}

// AwaitStore reads the store until it responds, for keepTime at most. It is called after
// Run: what other nodes hold may be enough to go on, but the store may hold more.
func (r *Recoverer) AwaitStore(ctx context.Context) {
	for end := time.Now().Add(keepTime); !r.state().StoreRead && ctx.Err() == nil && time.Now().Before(end); {
		sleep.For(ctx, awaitPause)
		r.Guard.Do("recover from the store", func() { r.readStore(ctx) })
	}
}

func (r *Recoverer) state() Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.evidence
}

// update changes the evidence and applies what is held.
func (r *Recoverer) update(change func(*Evidence)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.evidence)
	r.evidence.HealthPath = r.HasHealthPath()
	if r.evidence.StoreRead || r.evidence.Settled > 0 {
		r.Apply(r.Held.Of(r.Node), r.evidence.Complete())
	}
}

func (r *Recoverer) readStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	departures, err := r.Store.Departures(ctx, r.Node)
	if err != nil {
		r.Log.Warn("departures cannot be read from the store yet", zap.Error(err))
		return
	}
	held := make([]Departure, 0, len(departures))
	for _, d := range departures {
		held = append(held, Departure{Node: r.Node, Departure: d})
	}
	r.Held.Add(held, time.Now())
	r.OnStoreRead(departures)
	r.update(func(e *Evidence) { e.StoreRead = true })
}

func (r *Recoverer) askOthers(ctx context.Context) {
	a, ok := r.AskOthers(ctx)
	if !ok {
		return
	}
	r.update(func(e *Evidence) {
		if !e.Asked || a.CompleteHolders >= e.CompleteHolders {
			e.Answers = a
		}
		e.Asked = true
	})
}
