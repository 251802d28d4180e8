package publisher

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/platform"
	"github.com/lentilflow/lentilflow/pkg/rules"
)

const (
	pollInterval   = 500 * time.Millisecond
	releaseTimeout = 2 * time.Second
)

// Check returns the faults of a rules file, none if it is good.
type Check func(name string, text []byte) []rules.Fault

// Config configures a publisher.
type Config struct {
	Table   platform.Table
	Objects platform.Objects
	Node    model.NodeID
	Check   Check
	// Candidate reports whether this process may take the lease now. A holder
	// that is no longer a candidate keeps the lease.
	Candidate func() bool
	// Accept receives each accepted version in ascending order; numbers can
	// be left out. After an error the version is handed over again.
	Accept func(model.VersionedText) error
	// Lease is told when this process starts or stops to be the publisher.
	// Nil ignores it.
	Lease func(held bool)
	Log   *zap.Logger // nil discards
}

// Publisher takes part in the choice of the publisher and does its work.
type Publisher struct {
	cfg    Config
	now    func() time.Time
	jitter func() float64
	nudge  chan struct{}
	term   atomic.Pointer[term]

	// The following fields belong to the goroutine of Run.
	leading   bool // as last told to cfg.Lease
	lease     lease
	view      view
	handed    model.Version // last version given to the hook
	unchanged unchangedFile // last rules file that needed no version
}

// NewPublisher returns a publisher that does nothing before Run.
func NewPublisher(cfg Config) *Publisher {
	if cfg.Lease == nil {
		cfg.Lease = func(bool) {}
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	return &Publisher{
		cfg:    cfg,
		now:    time.Now,
		jitter: rand.Float64,
		nudge:  make(chan struct{}, 1),
		lease:  lease{self: cfg.Node},
	}
}

// term is what other goroutines may know about the lease. It is immutable.
type term struct {
	until time.Time // the holder stops at this time
	asOf  time.Time // when the head row was last read, zero before
}

// Leading reports whether this process holds the lease. It turns false at the
// end of the lease, also while a request to the store is still open.
func (p *Publisher) Leading() bool {
	t := p.term.Load()
	return t != nil && p.now().Before(t.until)
}

// AsOf returns when the publisher last read from the store which version is
// the newest; the zero time if it never did.
func (p *Publisher) AsOf() time.Time {
	if t := p.term.Load(); t != nil {
		return t.asOf
	}
	return time.Time{}
}

// Nudge makes the publisher look at the rules file now.
func (p *Publisher) Nudge() {
	select {
	case p.nudge <- struct{}{}:
	default:
	}
}

// Run takes part until ctx ends, then gives up the lease if it holds it.
func (p *Publisher) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			p.giveUp()
			return ctx.Err()
		case <-timer.C:
		case <-p.nudge:
		}
		if err := p.step(ctx); err != nil && ctx.Err() == nil {
			p.cfg.Log.Warn("publisher step failed", zap.Error(err))
		}
		timer.Reset(p.untilNextStep())
	}
}

// untilNextStep returns 0 to pollInterval for the publisher and up to
// watchInterval for others.
func (p *Publisher) untilNextStep() time.Duration {
	wait := max(0, p.lease.nextAt.Sub(p.now()))
	if p.lease.holds(p.now()) {
		return min(wait, pollInterval)
	}
	return wait
}

// step does everything that is due: the lease, then the rules file. The end of
// the lease ends the requests of its holder.
func (p *Publisher) step(ctx context.Context) error {
	p.tellLease()
	if now := p.now(); p.lease.holds(now) {
		limited, cancel := context.WithTimeout(ctx, p.lease.until.Sub(now))
		defer cancel()
		ctx = limited
	}
	var leaseErr error
	if !p.now().Before(p.lease.nextAt) {
		leaseErr = p.tendLease(ctx)
		p.lease.nextAt = p.lease.wakeAt(p.now(), p.jitter())
		if leaseErr != nil && p.lease.holds(p.now()) {
			p.lease.nextAt = p.now().Add(pollInterval)
		}
	}
	if holds := p.tellLease(); leaseErr != nil || !holds {
		return leaseErr
	}
	return errors.Join(p.handOver(ctx), p.poll(ctx), p.handOver(ctx))
}

// tellLease reports whether the lease is held, and tells the hook of a change.
func (p *Publisher) tellLease() bool {
	holds := p.lease.holds(p.now())
	if p.leading != holds {
		p.leading = holds
		p.cfg.Lease(holds)
		p.cfg.Log.Info("publisher lease", zap.Bool("held", holds), zap.Uint64("generation", p.lease.row.Generation))
	}
	return holds
}

// tendLease renews the lease or, as a candidate, watches it and takes it when
// it is free. The holder also reads the head row, so that it learns of a
// version that an overlapping publisher accepted.
func (p *Publisher) tendLease(ctx context.Context) error {
	held := p.lease.holds(p.now())
	if !held && !p.cfg.Candidate() {
		p.lease.known = false // what was seen grows stale unobserved
		return nil
	}
	row, revision, err := readRow[leaseRow](ctx, p.cfg.Table, leaseKey)
	if err != nil {
		return err
	}
	p.lease.observe(p.now(), row, revision)
	sentAt := p.now()
	next, ok := p.lease.next(sentAt)
	if !ok {
		return nil
	}
	if err := p.writeLease(ctx, next); err != nil {
		return err
	}
	if !p.lease.holds(p.now()) {
		return nil
	}
	p.term.Store(&term{until: p.lease.until, asOf: p.AsOf()})
	readAt := p.now()
	if err := p.refresh(ctx); err != nil {
		return err
	}
	p.term.Store(&term{until: p.lease.until, asOf: readAt})
	return nil
}

// writeLease writes the lease row on the condition of the revision read. A
// lost answer leaves the lease as it was; the next read shows the row.
func (p *Publisher) writeLease(ctx context.Context, row leaseRow) error {
	sentAt := p.now()
	rows, err := p.cfg.Table.Commit(ctx, platform.Transaction{
		Checks: []platform.Check{{Key: leaseKey, Revision: p.lease.revision}},
		Puts:   []platform.Put{{Key: leaseKey, Value: encode(row)}},
	})
	if errors.Is(err, platform.ErrConflict) {
		// Another candidate was faster, or an own write took effect late.
		row, revision, err := readRow[leaseRow](ctx, p.cfg.Table, leaseKey)
		if err == nil {
			p.lease.observe(p.now(), row, revision)
		}
		return err
	}
	if err != nil {
		return translate(err)
	}
	p.lease.written(sentAt, p.now(), row, rows[0].Revision)
	return nil
}

// giveUp releases the lease, so that a successor need not wait for its expiry.
func (p *Publisher) giveUp() {
	if !p.lease.holds(p.now()) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	row := leaseRow{Node: p.cfg.Node, Generation: p.lease.row.Generation, Released: true}
	if err := p.writeLease(ctx, row); err != nil {
		p.cfg.Log.Warn("cannot release the publisher lease", zap.Error(err))
	}
	p.term.Store(nil)
	p.leading = false
	p.cfg.Lease(false)
}
