package crashguard

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Registry shares records of crashes between nodes. Its methods are safe for
// concurrent use. Lookup and Empty are called on the path of a call and must not
// block.
type Registry interface {
	// Empty reports whether there is no record at all. No fingerprint then needs
	// to be computed for a call.
	Empty() bool
	// Lookup returns the record of f as far as this node knows it.
	Lookup(f Fingerprint) (Record, bool)
	// RecordLocal records a crash in this process only. It is for crashes that this
	// node will report; those that another node has reported are merged.
	RecordLocal(f Fingerprint, service string, c Crash)
	// Report records a crash and returns once other nodes can obtain it. If it
	// returns an error, the crash still counts in this node.
	Report(ctx context.Context, f Fingerprint, service string, c Crash) error
	// ReportCompleted records that a request with a record ran to its end. This
	// removes the crashes during which other calls were in flight, unless the
	// request is refused.
	ReportCompleted(ctx context.Context, f Fingerprint) error
	// Records returns all records. The caller must not change the map.
	Records() map[Fingerprint]Record
	// Merge adds the crashes of a record that another node or the store has, and
	// reports whether the request is refused because of them.
	Merge(f Fingerprint, r Record) (refused bool)
	// RefusedDigest identifies the set of requests that are refused, 0 if there is
	// none.
	RefusedDigest() uint64
}

// maxRecords bounds the memory for records. Beyond it, evictRecord removes one. One
// crash adds at most one record for each call in flight on an upstream.
const maxRecords = 4096

// MemoryRegistry keeps records in this process. Nodes in one process may share
// it. It is safe for concurrent use.
type MemoryRegistry struct {
	mu      sync.Mutex
	now     func() time.Time
	records atomic.Pointer[map[Fingerprint]Record]
	// refused is the digest of RefusedDigest, which expires with the first of its
	// records.
	refused atomic.Pointer[refusedDigest]
}

type refusedDigest struct {
	digest  uint64
	expires time.Time
}

// NewMemoryRegistry returns an empty MemoryRegistry that reads the time from now.
func NewMemoryRegistry(now func() time.Time) *MemoryRegistry {
	m := &MemoryRegistry{now: now}
	m.records.Store(&map[Fingerprint]Record{})
	return m
}

// Empty implements Registry.
func (m *MemoryRegistry) Empty() bool { return len(*m.records.Load()) == 0 }

// Lookup implements Registry.
func (m *MemoryRegistry) Lookup(f Fingerprint) (Record, bool) {
	r, ok := (*m.records.Load())[f]
	return r, ok
}

// RecordLocal implements Registry.
func (m *MemoryRegistry) RecordLocal(f Fingerprint, service string, c Crash) {
	m.update(f, func(r Record) Record { return r.add(service, c) })
}

// Report implements Registry. It never fails.
func (m *MemoryRegistry) Report(_ context.Context, f Fingerprint, service string, c Crash) error {
	m.RecordLocal(f, service, c)
	return nil
}

// ReportCompleted implements Registry. It never fails.
func (m *MemoryRegistry) ReportCompleted(_ context.Context, f Fingerprint) error {
	m.update(f, Record.completed)
	return nil
}

// Records implements Registry.
func (m *MemoryRegistry) Records() map[Fingerprint]Record { return *m.records.Load() }

// Merge implements Registry.
func (m *MemoryRegistry) Merge(f Fingerprint, r Record) (refused bool) {
	if old, ok := m.Lookup(f); ok && old.Refused(m.now()) {
		return false
	}
	m.update(f, func(old Record) Record { return old.merge(r) })
	merged, ok := m.Lookup(f)
	return ok && merged.Refused(m.now())
}

// RefusedDigest implements Registry.
func (m *MemoryRegistry) RefusedDigest() uint64 {
	if m.Empty() {
		return 0
	}
	now := m.now()
	if d := m.refused.Load(); d != nil && now.Before(d.expires) {
		return d.digest
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.updateDigest(now).digest
}

// updateDigest computes the digest of RefusedDigest. The caller must hold m.mu.
func (m *MemoryRegistry) updateDigest(now time.Time) *refusedDigest {
	d := &refusedDigest{expires: now.Add(RefusalTime)}
	for f, r := range *m.records.Load() {
		if r.Refused(now) {
			d.digest ^= xxhash.Sum64(f[:])
			if end := r.newest().Add(RefusalTime); end.Before(d.expires) {
				d.expires = end
			}
		}
	}
	m.refused.Store(d)
	return d
}

// update replaces one record and drops the expired ones.
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
			evictRecord(next)
		}
		next[f] = r
	}
	m.records.Store(&next)
	m.updateDigest(now)
}

// evictRecord removes a record with the fewest crashes, and of these the one whose
// first crash is the longest ago.
func evictRecord(records map[Fingerprint]Record) {
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
