package platform

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/lentilflow/lentilflow/pkg/platform"
)

// Rows is the state of the table service. It implements platform.Table
// without faults.
type Rows struct {
	mu   sync.RWMutex
	rows map[string]platform.Row
	// revision is shared by all rows, so that a row which is deleted and
	// inserted again never repeats a revision.
	revision uint64
}

var _ platform.Table = (*Rows)(nil)

// NewRows returns an empty table.
func NewRows() *Rows { return &Rows{rows: map[string]platform.Row{}} }

// Get returns a row, or platform.ErrNotFound.
func (r *Rows) Get(_ context.Context, key string) (platform.Row, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	row, ok := r.rows[key]
	if !ok {
		return platform.Row{}, platform.ErrNotFound
	}
	return row, nil
}

// Scan returns rows in key order.
func (r *Rows) Scan(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var found []platform.Row
	for key, row := range r.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, row)
		}
	}
	slices.SortFunc(found, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return found[:min(len(found), limit)], nil
}

// Commit runs t, or returns platform.ErrConflict.
func (r *Rows) Commit(_ context.Context, t platform.Transaction) ([]platform.Row, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range t.Checks {
		if r.rows[c.Key].Revision != c.Revision {
			return nil, platform.ErrConflict
		}
	}
	for _, key := range t.Deletes {
		delete(r.rows, key)
	}
	written := make([]platform.Row, 0, len(t.Puts))
	for _, p := range t.Puts {
		r.revision++
		row := platform.Row{Key: p.Key, Revision: r.revision, Value: slices.Clone(p.Value)}
		r.rows[p.Key] = row
		written = append(written, row)
	}
	return written, nil
}
