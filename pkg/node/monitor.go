package node

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/lentilflow/lentilflow/pkg/platform"
)

// monitor records since when the platform does not answer this node.
type monitor struct {
	since atomic.Pointer[time.Time]
}

// Since returns the zero time if the last request was answered.
func (m *monitor) Since() time.Time {
	if t := m.since.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// record takes in the outcome of one request. A request that its own caller
// has cancelled says nothing about the platform.
func (m *monitor) record(err error) {
	switch {
	case errors.Is(err, context.Canceled):
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrOutcomeUnknown):
		now := time.Now()
		m.since.CompareAndSwap(nil, &now)
	default:
		m.since.Store(nil)
	}
}

// table is a platform.Table whose outcomes are recorded.
type table struct {
	platform.Table
	monitor *monitor
}

// Get reads one row.
func (t table) Get(ctx context.Context, key string) (platform.Row, error) {
	row, err := t.Table.Get(ctx, key)
	t.monitor.record(err)
	return row, err
}

// Scan reads rows in key order.
func (t table) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	rows, err := t.Table.Scan(ctx, prefix, after, limit)
	t.monitor.record(err)
	return rows, err
}

// Commit runs one transaction.
func (t table) Commit(ctx context.Context, tx platform.Transaction) ([]platform.Row, error) {
	rows, err := t.Table.Commit(ctx, tx)
	t.monitor.record(err)
	return rows, err
}
