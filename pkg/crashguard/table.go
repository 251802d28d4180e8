package crashguard

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/pkg/platform"
)

const (
	rowPrefix = "crash/"
	// scanPage is the number of rows read at a time.
	scanPage = 500
	// pollPeriod is how often the rows are read. 2,800 nodes at 15 s make 187
	// reads a second of the 2,000 that the table service gives.
	pollPeriod = 15 * time.Second
	// writeTries bounds the compare-and-set loop: nodes that report the same
	// crash at once conflict at most once each.
	writeTries = 8
)

// ErrNotShared means that a crash is known to this node only.
var ErrNotShared = merry.Sentinel("the crash notice could not be written to the table service")

// Table shares records through rows crash/<fingerprint> of the table service.
// A row is written only after a crash. Reads on the path of a call use the
// memory of this node, which Run refreshes.
type Table struct {
	*Memory
	table platform.Table
}

// NewTable returns Notices over table that read the time from now.
func NewTable(table platform.Table, now func() time.Time) *Table {
	return &Table{Memory: NewMemory(now), table: table}
}

// Report implements Notices.
func (t *Table) Report(ctx context.Context, f Fingerprint, service string, c Crash) error {
	t.Learn(f, service, c)
	return t.write(ctx, f, func(r Record) Record { return r.add(service, c) })
}

// Completed implements Notices.
func (t *Table) Completed(ctx context.Context, f Fingerprint) error {
	before, ok := t.Lookup(f)
	if !ok || len(before.completed().Crashes) == len(before.Crashes) {
		return nil
	}
	_ = t.Memory.Completed(ctx, f)
	return t.write(ctx, f, Record.completed)
}

// write changes the row of f by compare-and-set and keeps the result. Both
// changes may be applied twice, so a write whose answer was lost is repeated.
func (t *Table) write(ctx context.Context, f Fingerprint, by func(Record) Record) error {
	var err error
	for range writeTries {
		var row platform.Row
		row, err = t.table.Get(ctx, rowPrefix+f.String())
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			break
		}
		var old Record
		_ = json.Unmarshal(row.Value, &old) // an absent or damaged row counts as empty
		next := by(old)
		if err = t.commit(ctx, f, row.Revision, next); err == nil {
			t.put(f, next)
			return nil
		}
		if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrOutcomeUnknown) {
			break
		}
	}
	return merry.Wrap(ErrNotShared, merry.WithCause(err))
}

func (t *Table) commit(ctx context.Context, f Fingerprint, revision uint64, r Record) error {
	key := rowPrefix + f.String()
	tx := platform.Transaction{Checks: []platform.Check{{Key: key, Revision: revision}}}
	if len(r.Crashes) == 0 {
		tx.Deletes = []string{key}
	} else {
		value, err := json.Marshal(r)
		if err != nil {
			return err
		}
		tx.Puts = []platform.Put{{Key: key, Value: value}}
	}
	_, err := t.table.Commit(ctx, tx)
	return err
}

// Run reads the rows of other nodes until ctx ends. Errors of the table
// service are passed to onError; the records known so far stay.
func (t *Table) Run(ctx context.Context, onError func(error)) error {
	for {
		if err := t.Refresh(ctx); err != nil && ctx.Err() == nil {
			onError(err)
		}
		wait := time.NewTimer(pollPeriod/2 + rand.N(pollPeriod))
		select {
		case <-ctx.Done():
			wait.Stop()
			return nil
		case <-wait.C:
		}
	}
}

// Refresh reads all rows once and deletes those that no longer count.
func (t *Table) Refresh(ctx context.Context) error {
	after := ""
	for {
		rows, err := t.table.Scan(ctx, rowPrefix, after, scanPage)
		if err != nil {
			return err
		}
		for _, row := range rows {
			after = row.Key
			t.take(ctx, row)
		}
		if len(rows) < scanPage {
			return nil
		}
	}
}

// take keeps one row, or deletes it when it has expired or is damaged.
func (t *Table) take(ctx context.Context, row platform.Row) {
	var f Fingerprint
	err := f.UnmarshalText([]byte(row.Key[len(rowPrefix):]))
	var r Record
	if err == nil && json.Unmarshal(row.Value, &r) == nil {
		if r = r.live(t.now()); len(r.Crashes) > 0 {
			t.merge(f, r)
			return
		}
	}
	_, _ = t.table.Commit(ctx, platform.Transaction{
		Checks:  []platform.Check{{Key: row.Key, Revision: row.Revision}},
		Deletes: []string{row.Key},
	})
}
