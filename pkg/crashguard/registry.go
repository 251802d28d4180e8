package crashguard

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Notices shares crashes between nodes. Lookup and Empty are called on the
// path of a call and must not block.
type Registry interface {
	// Empty reports whether there is no record at all, which spares the
	// fingerprint of each call.
	Empty() bool
	// Lookup returns the record of f as far as this node knows it.
	Lookup(f Fingerprint) (Record, bool)
	// Learn records a crash in this process only: it is reported by another
	// node, or will be by this one.
	RecordLocal(f Fingerprint, service string, c Crash)
	// Report adds a crash. It returns once other nodes can learn of it, or
	// with an error; the crash then still counts in this node.
	Report(ctx context.Context, f Fingerprint, service string, c Crash) error
	// Completed says that a request with a record ran to its end.
	ReportCompleted(ctx context.Context, f Fingerprint) error
}

// maxRecords bounds the memory for records; the oldest are dropped first. One
// crash adds at most one record for each call in flight on an upstream.
const maxRecords = 4096

// Memory keeps records in this process. Nodes of one process may share it.
type MemoryRegistry struct {
	mu      sync.Mutex
	now     func() time.Time
	records atomic.Pointer[map[Fingerprint]Record]
}

// NewMemory returns an empty Memory that reads the time from now.
func NewMemoryRegistry(now func() time.Time) *MemoryRegistry {
	m := &MemoryRegistry{now: now}
	m.records.Store(&map[Fingerprint]Record{})
	return m
}

// Empty implements Notices.
func (m *MemoryRegistry) Empty() bool { return len(*m.records.Load()) == 0 }

// Lookup implements Notices.
func (m *MemoryRegistry) Lookup(f Fingerprint) (Record, bool) {
	r, ok := (*m.records.Load())[f]
	return r, ok
}

// Learn implements Notices.
func (m *MemoryRegistry) RecordLocal(f Fingerprint, service string, c Crash) {
	m.update(f, func(r Record) Record { return r.add(service, c) })
}

// Report implements Notices. It never fails.
func (m *MemoryRegistry) Report(_ context.Context, f Fingerprint, service string, c Crash) error {
	m.RecordLocal(f, service, c)
	return nil
}

// Completed implements Notices. It never fails.
func (m *MemoryRegistry) ReportCompleted(_ context.Context, f Fingerprint) error {
	m.update(f, Record.completed)
	return nil
}

// change replaces one record and drops those that no longer count.
func (m *MemoryRegistry) update(f Fingerprint, apply func(Record) Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old, now := *m.records.Load(), m.now()
	next := make(map[Fingerprint]Record, len(old)+1)
	for k, r := range old {
		if r = r.withoutExpired(now); len(r.Crashes) > 0 && k != f {
			next[k] = r
		}
	}
	if r := apply(old[f]); len(r.Crashes) > 0 {
		for len(next) >= maxRecords {
			dropOldest(next)
		}
		next[f] = r
	}
	m.records.Store(&next)
}

// dropOldest removes the record with the fewest crashes whose last one is
// longest ago.
func dropOldest(records map[Fingerprint]Record) {
	var evicted Fingerprint
	lowest := Record{}
	for f, r := range records {
		if len(lowest.Crashes) == 0 || len(r.Crashes) < len(lowest.Crashes) ||
			len(r.Crashes) == len(lowest.Crashes) && r.Crashes[0].At.Before(lowest.Crashes[0].At) {
			evicted, lowest = f, r
		}
	}
	delete(records, evicted)
}
