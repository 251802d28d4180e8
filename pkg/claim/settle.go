package claim

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lentilflow/lentilflow/pkg/platform"
)

const (
	maxRounds = 8
	// maxRefusals bounds the load that repeated commits add to a store that
	// refuses them because it is overloaded.
	maxRefusals    = 3
	retryDelayBase = 20 * time.Millisecond
	retryDelayCap  = 200 * time.Millisecond
	// parallelReads keeps the inspection of a full group within 4 round
	// trips, about 100 ms across regions.
	parallelReads = 16
)

// operation changes one claim row on the condition of its revision.
type operation struct {
	kind     kind
	row      string
	claim    string
	revision uint64 // expected, 0 for an absent row
	value    []byte // nil deletes the row
	// doubtful is set once a commit of the operation had no answer, so that
	// it may take effect later.
	doubtful bool

	settled chan struct{} // closed when result is set
	result  verdict
	found   record // the row that decided, if result is lost
	err     error  // result is not known
}

// finishWith records the result of o and wakes its submitter.
func (o *operation) finishWith(v verdict, err error) {
	o.result, o.err = v, err
	close(o.settled)
}

// settler runs groups of operations against the table service.
type settler struct {
	table    platform.Table
	pause    func(ctx context.Context, d time.Duration)
	parallel int // reads at a time
}

// settle decides every operation of ops. Operations of one group share their
// transactions but not their fate: an operation that fails its check is taken
// out and the others are committed again.
func (s *settler) settle(ctx context.Context, ops []*operation) {
	open, refusals := ops, 0
	var err error
	for round := 0; len(open) > 0 && round < maxRounds && refusals < maxRefusals && ctx.Err() == nil; round++ {
		batch, later := distinct(open)
		var rows []platform.Row
		rows, err = s.table.Commit(ctx, transaction(batch))
		switch {
		case err == nil:
			s.succeed(batch, rows)
			open = s.inspect(ctx, later, false)
		case errors.Is(err, platform.ErrUnavailable):
			refusals++
			s.pause(ctx, retryDelay(refusals))
		default:
			doubtful := !errors.Is(err, platform.ErrConflict)
			open = append(s.inspect(ctx, batch, doubtful), s.inspect(ctx, later, false)...)
		}
	}
	if err == nil || errors.Is(err, platform.ErrConflict) {
		err = platform.ErrUnavailable
	}
	for _, o := range open {
		o.finishWith(again, err)
	}
}

// distinct splits ops into those with the first operation of each row and the
// others, because a transaction checks a row once.
func distinct(ops []*operation) (first, later []*operation) {
	seen := make(map[string]bool, len(ops))
	for _, o := range ops {
		if seen[o.row] {
			later = append(later, o)
			continue
		}
		seen[o.row] = true
		first = append(first, o)
	}
	return first, later
}

func transaction(ops []*operation) platform.Transaction {
	var t platform.Transaction
	for _, o := range ops {
		t.Checks = append(t.Checks, platform.Check{Key: o.row, Revision: o.revision})
		if o.value == nil {
			t.Deletes = append(t.Deletes, o.row)
		} else {
			t.Puts = append(t.Puts, platform.Put{Key: o.row, Value: o.value})
		}
	}
	return t
}

func (s *settler) succeed(ops []*operation, rows []platform.Row) {
	revisions := make(map[string]uint64, len(rows))
	for _, r := range rows {
		revisions[r.Key] = r.Revision
	}
	for _, o := range ops {
		o.revision = revisions[o.row]
		o.finishWith(applied, nil)
	}
}

// inspect reads the row of each operation, finishes those that the row
// decides and returns the others.
func (s *settler) inspect(ctx context.Context, ops []*operation, doubtful bool) []*operation {
	decided := make([]bool, len(ops))
	reads := errgroup.Group{}
	reads.SetLimit(s.parallel)
	for i, o := range ops {
		o.doubtful = o.doubtful || doubtful
		if s.parallel == 1 {
			decided[i] = s.resolve(ctx, o)
			continue
		}
		reads.Go(func() error {
			decided[i] = s.resolve(ctx, o)
			return nil
		})
	}
	_ = reads.Wait() // no read returns an error
	var open []*operation
	for i, o := range ops {
		if !decided[i] {
			open = append(open, o)
		}
	}
	return open
}

// resolve reports whether the row decided o. An unreadable row leaves o open.
func (s *settler) resolve(ctx context.Context, o *operation) bool {
	row, err := s.table.Get(ctx, o.row)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return false
	}
	var current *record
	if err == nil {
		r, err := decode(row.Value)
		if err != nil {
			o.finishWith(lost, err)
			return true
		}
		current = &r
	}
	v := judge(o.kind, o.claim, current)
	o.revision = row.Revision
	if v == again {
		return false
	}
	if current != nil {
		o.found = *current
	}
	o.finishWith(v, nil)
	return true
}

// retryDelay is the full-jitter delay before the next attempt.
func retryDelay(round int) time.Duration {
	return rand.N(min(retryDelayBase<<round, retryDelayCap))
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
