package claim

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/platform"
)

const (
	// DefaultWindow is how long a group collects claims. It bounds the delay
	// that grouping adds to a call.
	DefaultWindow = 5 * time.Millisecond
	// DefaultTimeout bounds the work of one group on the store.
	DefaultTimeout = time.Second
)

// Errors of claims.
var (
	// ErrUnavailable means that the store did not decide the claim in time.
	ErrUnavailable = merry.Sentinel("claim store unavailable")
	// ErrLost means that the claim row is no longer held by the claim.
	ErrLost = merry.Sentinel("claim is no longer held")
)

// Config configures the claims of one process.
type Config struct {
	Table      platform.Table
	Node       model.NodeID
	Generation uint64
	// Alive reports whether the process with this node id and generation is
	// known to live. It chooses between key_in_progress and
	// key_outcome_unknown; it never frees a claim. Nil means always.
	Alive func(node model.NodeID, generation uint64) bool
	// Sweep reports whether this process deletes rows past their retention.
	// One process of the mesh is enough. Nil means never.
	Sweep func() bool
	// Window is how long claims are collected; 0 stands for DefaultWindow and
	// a negative value sends each operation alone.
	Window  time.Duration
	Timeout time.Duration // of one group on the store; 0 stands for DefaultTimeout
	Log     *zap.Logger   // nil discards
}

// Claims makes, finishes and releases claims.
type Claims struct {
	cfg       Config
	settler   *settler
	submit    func(*operation) // settles the operation at some time
	leftovers leftovers
	now       func() time.Time
	decide    func(record, string, func(model.NodeID, uint64) bool) Outcome
}

// NewClaims returns the claims of the process described by cfg.
func NewClaims(cfg Config) *Claims {
	if cfg.Window == 0 {
		cfg.Window = DefaultWindow
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.Alive == nil {
		cfg.Alive = func(model.NodeID, uint64) bool { return true }
	}
	if cfg.Sweep == nil {
		cfg.Sweep = func() bool { return false }
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	s := &settler{table: cfg.Table, pause: sleep, parallel: parallelReads}
	g := &group{window: max(0, cfg.Window), timeout: cfg.Timeout, settle: s.settle}
	if cfg.Window < 0 {
		g.limit = 1
	}
	return &Claims{
		cfg:     cfg,
		settler: s,
		submit:  g.submit,
		now:     time.Now,
		decide:  decide,
	}
}

// Begin claims k. The outcome always says what to tell the caller; an error
// accompanies claim_unavailable. If ctx ends first, the call must not be
// dispatched and a claim that is granted later is released by Run.
func (c *Claims) Begin(ctx context.Context, k Key) (Outcome, error) {
	o, id := c.insertion(k)
	if err := c.await(ctx, o); err != nil {
		c.leftovers.add(id, nil, c.now())
		return refusal(model.ClaimUnavailable, model.NotRun), merry.Wrap(ErrUnavailable, merry.WithCause(err))
	}
	return c.outcome(k, o, id)
}

func (c *Claims) insertion(k Key) (*operation, ID) {
	id := ID{Row: k.row(), Claim: newClaimID(), digest: k.Digest, at: c.now()}
	r := c.record(id, pending)
	return &operation{kind: insert, row: id.Row, claim: id.Claim, value: r.encode(), settled: make(chan struct{})}, id
}

func (c *Claims) record(id ID, state rowState) record {
	return record{
		Claim:      id.Claim,
		Node:       c.cfg.Node,
		Generation: c.cfg.Generation,
		Digest:     id.digest,
		At:         id.at,
		State:      state,
	}
}

// outcome translates a settled insert.
func (c *Claims) outcome(k Key, o *operation, id ID) (Outcome, error) {
	switch {
	case o.err == nil && o.result == applied:
		id.Revision, id.doubtful = o.revision, o.doubtful
		return Outcome{Granted: true, ID: id}, nil
	case o.err == nil:
		return c.decide(o.found, k.Digest, c.cfg.Alive), nil
	default:
		if o.doubtful {
			c.leftovers.add(id, nil, c.now())
		}
		return refusal(model.ClaimUnavailable, model.NotRun), merry.Wrap(ErrUnavailable, merry.WithCause(o.err))
	}
}

// Finish stores the complete answer of a granted call. It returns ErrLost if
// the row is gone. If the store does not take the answer before ctx ends it
// returns ErrUnavailable and Run continues to try for a while; until then the
// key stays in progress. A body above MaxBody is not stored.
func (c *Claims) Finish(ctx context.Context, id ID, a Answer) error {
	if len(a.Body) > MaxBody || a.Truncated {
		a.Body, a.Truncated = nil, true
	}
	r := c.record(id, done)
	r.Answer = &a
	value := r.encode()
	err := c.conclude(ctx, id, finish, value)
	if errors.Is(err, ErrUnavailable) {
		c.leftovers.add(id, value, c.now())
	}
	return err
}

// Release deletes the claim after a definite not_run, so that the caller may
// try again. If the store does not answer before ctx ends it returns
// ErrUnavailable and Run continues to try for a while.
func (c *Claims) Release(ctx context.Context, id ID) error {
	err := c.conclude(ctx, id, release, nil)
	if id.doubtful || errors.Is(err, ErrUnavailable) {
		c.leftovers.add(id, nil, c.now())
	}
	return err
}

// conclude repeats an operation on a held claim until the store has decided
// it or ctx ends.
func (c *Claims) conclude(ctx context.Context, id ID, k kind, value []byte) error {
	revision := id.Revision
	for round := 0; ; round++ {
		o := &operation{kind: k, row: id.Row, claim: id.Claim, revision: revision, value: value, settled: make(chan struct{})}
		if err := c.await(ctx, o); err != nil {
			return merry.Wrap(ErrUnavailable, merry.WithCause(err))
		}
		switch {
		case o.err == nil && o.result == applied:
			return nil
		case o.err == nil:
			return merry.Prepend(ErrLost, id.Row)
		}
		revision = o.revision
		c.settler.pause(ctx, retryDelay(min(round, maxRounds)))
		if ctx.Err() != nil {
			return merry.Wrap(ErrUnavailable, merry.WithCause(o.err))
		}
	}
}

// await submits o and waits until it is settled or ctx ends.
func (c *Claims) await(ctx context.Context, o *operation) error {
	c.submit(o)
	select {
	case <-o.settled:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
