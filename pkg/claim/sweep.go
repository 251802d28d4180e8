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

	abandonedInterval = time.Second
	abandonedDelay    = 2 * time.Second // doubles with each attempt
	abandonedKeep     = 10 * time.Minute
	abandonedMax      = 1024
	abandonedPerRound = 32
)

// abandoned lists claims that were never dispatched, or were released, but
// whose row may be or come into being.
type abandoned struct {
	mu   sync.Mutex
	open []abandonedClaim
}

type abandonedClaim struct {
	row, claim string
	since, due time.Time
	delay      time.Duration
}

func newAbandoned() *abandoned { return &abandoned{} }

// add forgets the oldest claim when the list is full; its row then stays
// until its retention ends.
func (a *abandoned) add(row, claim string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.open) >= abandonedMax {
		a.open = a.open[1:]
	}
	a.open = append(a.open, abandonedClaim{row: row, claim: claim, since: now, due: now, delay: abandonedDelay})
}

// take removes and returns up to n claims that are due, oldest first.
func (a *abandoned) take(n int, now time.Time) []abandonedClaim {
	a.mu.Lock()
	defer a.mu.Unlock()
	var taken []abandonedClaim
	a.open = slices.DeleteFunc(a.open, func(c abandonedClaim) bool {
		if len(taken) == n || c.due.After(now) {
			return false
		}
		taken = append(taken, c)
		return true
	})
	return taken
}

// put returns a claim to the list for a later attempt.
func (a *abandoned) put(c abandonedClaim, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.open) < abandonedMax {
		c.due, c.delay = now.Add(c.delay), 2*c.delay
		a.open = append(a.open, c)
	}
}

// Run releases abandoned claims and, where Config.Sweep says so, deletes rows
// past their retention. It returns when ctx ends.
func (c *Claims) Run(ctx context.Context) error {
	abandonedTick := time.NewTicker(abandonedInterval)
	defer abandonedTick.Stop()
	sweep := time.NewTimer(sweepRest)
	defer sweep.Stop()
	after := ""
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-abandonedTick.C:
			c.releaseAbandoned(ctx)
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

// releaseAbandoned deletes the rows of some abandoned claims. Each claim stays
// listed for a while, because a late insert may still take effect.
func (c *Claims) releaseAbandoned(ctx context.Context) {
	now := c.now()
	for _, a := range c.abandoned.take(abandonedPerRound, now) {
		c.releaseRow(ctx, a)
		if now.Sub(a.since) < abandonedKeep {
			c.abandoned.put(a, now)
		}
	}
}

func (c *Claims) releaseRow(ctx context.Context, a abandonedClaim) {
	row, err := c.cfg.Table.Get(ctx, a.row)
	if err != nil {
		return
	}
	r, err := decode(row.Value)
	if err != nil || r.Claim != a.claim || r.State == done {
		return
	}
	_, err = c.cfg.Table.Commit(ctx, platform.Transaction{
		Checks:  []platform.Check{{Key: a.row, Revision: row.Revision}},
		Deletes: []string{a.row},
	})
	if err != nil {
		c.cfg.Log.Debug("cannot release an abandoned claim yet", zap.String("row", a.row), zap.Error(err))
	}
}
