package claim

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/platform"
)

const (
	// A pass over 13 million rows (150 orders/s for 24 h) takes about 7 h at
	// 10 pages a second; each page costs one read and at most one write.
	sweepPage     = 50
	sweepInterval = 100 * time.Millisecond
	sweepRest     = time.Minute // between two passes, and after an error

	leftoverInterval = time.Second
	leftoverDelay    = 2 * time.Second // doubles with each attempt
	leftoverKeep     = 10 * time.Minute
	leftoverMax      = 1024
	leftoverMaxBytes = 1 << 20 // of answers, to stay within the 32 MB of a node
	leftoverPerRound = 32
)

// leftover is work on a claim row that the store did not take in time: an
// answer to store or, without one, a release. Releases cover claims that were
// never dispatched, or did not run, but whose row may be or come into being.
type leftover struct {
	id         ID
	answer     []byte // encoded record, nil for a release
	since, due time.Time
	delay      time.Duration
}

// leftovers is a bounded list. Work that finds no place is dropped; the row
// then stays as it is until its retention ends.
type leftovers struct {
	mu    sync.Mutex
	open  []leftover
	bytes int
}

func (l *leftovers) add(id ID, answer []byte, now time.Time) {
	l.put(leftover{id: id, answer: answer, since: now, due: now, delay: leftoverDelay})
}

func (l *leftovers) put(work leftover) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) < leftoverMax && l.bytes+len(work.answer) <= leftoverMaxBytes {
		l.open = append(l.open, work)
		l.bytes += len(work.answer)
	}
}

// take removes and returns up to n entries that are due, oldest first.
func (l *leftovers) take(n int, now time.Time) []leftover {
	l.mu.Lock()
	defer l.mu.Unlock()
	var taken []leftover
	l.open = slices.DeleteFunc(l.open, func(work leftover) bool {
		if len(taken) == n || work.due.After(now) {
			return false
		}
		taken = append(taken, work)
		l.bytes -= len(work.answer)
		return true
	})
	return taken
}

// Run repeats what the store did not take in time and, where Config.Sweep says so, deletes rows
// past their retention. It returns when ctx ends.
func (c *Claims) Run(ctx context.Context) error {
	tick := time.NewTicker(leftoverInterval)
	defer tick.Stop()
	sweep := time.NewTimer(sweepRest)
	defer sweep.Stop()
	after := ""
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			c.workOff(ctx)
		case <-sweep.C:
			after = c.sweepOnce(ctx, after)
			delay := sweepInterval
			if after == "" {
				delay = sweepRest
			}
			sweep.Reset(delay)
		}
	}
}

// sweepOnce sweeps one page and returns the key to go on after, "" if the
// pass is over or failed.
func (c *Claims) sweepOnce(ctx context.Context, after string) string {
	if !c.cfg.Sweep() {
		return ""
	}
	next, deleted, err := c.sweepPage(ctx, after)
	if err != nil {
		c.cfg.Log.Warn("cannot delete old claims", zap.Error(err))
		return ""
	}
	if deleted > 0 {
		c.cfg.Log.Debug("deleted old claims", zap.Int("rows", deleted))
	}
	return next
}

// sweepPage deletes the expired rows of one page in one transaction.
func (c *Claims) sweepPage(ctx context.Context, after string) (next string, deleted int, err error) {
	rows, err := c.cfg.Table.Scan(ctx, rowPrefix, after, sweepPage)
	if err != nil {
		return "", 0, err
	}
	var t platform.Transaction
	for _, row := range rows {
		r, err := decode(row.Value)
		if err != nil || !expired(r, c.now()) {
			continue
		}
		t.Checks = append(t.Checks, platform.Check{Key: row.Key, Revision: row.Revision})
		t.Deletes = append(t.Deletes, row.Key)
	}
	if len(t.Deletes) > 0 {
		if _, err := c.cfg.Table.Commit(ctx, t); err != nil {
			return "", 0, err
		}
	}
	if len(rows) < sweepPage {
		return "", len(t.Deletes), nil
	}
	return rows[len(rows)-1].Key, len(t.Deletes), nil
}

// workOff tries some leftovers again. A release stays listed for a while even
// after it took effect, because a late insert may still arrive.
func (c *Claims) workOff(ctx context.Context) {
	now := c.now()
	for _, work := range c.leftovers.take(leftoverPerRound, now) {
		if work.answer == nil {
			c.releaseRow(ctx, work.id)
		} else if c.apply(ctx, work.id, finish, work.answer) {
			continue
		}
		if now.Sub(work.since) < leftoverKeep {
			work.due, work.delay = now.Add(work.delay), 2*work.delay
			c.leftovers.put(work)
		}
	}
}

// apply submits one operation and reports whether the store decided it.
func (c *Claims) apply(ctx context.Context, id ID, k kind, value []byte) bool {
	o := &operation{kind: k, row: id.Row, claim: id.Claim, revision: id.Revision, value: value, settled: make(chan struct{})}
	return c.await(ctx, o) == nil && o.err == nil
}

func (c *Claims) releaseRow(ctx context.Context, id ID) {
	row, err := c.cfg.Table.Get(ctx, id.Row)
	if err != nil {
		return
	}
	r, err := decode(row.Value)
	if err != nil || r.Claim != id.Claim || r.State == done {
		return
	}
	_, err = c.cfg.Table.Commit(ctx, platform.Transaction{
		Checks:  []platform.Check{{Key: id.Row, Revision: row.Revision}},
		Deletes: []string{id.Row},
	})
	if err != nil {
		c.cfg.Log.Debug("cannot release a claim yet", zap.String("row", id.Row), zap.Error(err))
	}
}
