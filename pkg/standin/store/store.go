package store

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxEntries and maxPage are the store's published limits of the entries in a
// transaction and of the rows in a page. maxWait limits how long a feed request
// waits for a change. It is longer than the wait that nodes request (watchWait in
// package platform, 25 s), so that it does not shorten their watches.
const (
	maxEntries = 100
	maxPage    = 500
	maxWait    = 30 * time.Second
)

// Row is a row in the JSON form of the store's protocol. Table, Part and Key identify
// it; Put and Get use the part "" only. Version is the version of the store at the
// last change of the row. A row with Tombstone set stands for a deletion and has no
// Value.
type Row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Version   uint64 `json:"version-number"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (r *Row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// rowID identifies a row.
type rowID struct{ table, part, key string }

// Store is the state that all its endpoints share. Its methods may be called
// concurrently.
type Store struct {
	mu               sync.Mutex
	era              uint64 // rises by one with each Restore
	version          uint64
	rows             map[rowID]Row
	history          []Row // changes after compactedVersion, in order
	compactedVersion uint64
	changed          chan struct{} // closed at the next change, or to wake feed requests
	started          time.Time
	requests         map[string]int // by operation
}

// New returns an empty store in its first era.
func New() *Store {
	return &Store{era: 1, rows: make(map[rowID]Row), changed: make(chan struct{}), started: time.Now(), requests: make(map[string]int)}
}

// RequestCount returns how many requests for an operation, such as "rows-get", have
// arrived at all endpoints, including those that a fault rejected.
func (s *Store) RequestCount(operation string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[operation]
}

// Put sets a row of a table, in the part "", without conditions, as the operator
// does. It returns the new version of the store.
func (s *Store) Put(table, key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(Row{Table: table, Key: key, Value: value, Version: s.version})
	s.notifyWatchers()
	return s.version
}

// Delete removes a row of a table, in the part "", without conditions.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(Row{Table: table, Key: key, Version: s.version, Tombstone: true})
	s.notifyWatchers()
}

// Get returns a row of a table, in the part "", and whether it exists.
func (s *Store) Get(table, key string) (Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[rowID{table, "", key}]
	return r, ok
}

// Keys returns the keys of all parts of a table, sorted.
func (s *Store) Keys(table string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for n := range s.rows {
		if n.table == table {
			keys = append(keys, n.key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Compact drops the history. Feed requests that ask for the changes since an
// earlier version then fail with status 410, so that clients have to read the table
// again.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedVersion = nil, s.version
	s.notifyWatchers()
}

// Copy is a copy of the rows and the history of a store.
type Copy struct {
	version, compactedVersion uint64
	rows                      map[rowID]Row
	history                   []Row
}

// Copy returns a copy of the current state, from which Restore restores it.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{version: s.version, compactedVersion: s.compactedVersion, rows: maps.Clone(s.rows), history: slices.Clone(s.history)}
}

// Restore replaces the state by an earlier copy and begins the next era. What was
// written since the copy is lost, and its versions are given out again. Feed
// requests that wait for a change continue to wait, unless the store no longer has
// their version.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.version, s.compactedVersion = c.version, c.compactedVersion
	s.rows, s.history = maps.Clone(c.rows), slices.Clone(c.history)
	s.notifyWatchers()
}

// Version returns the newest version.
func (s *Store) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Era returns the number of the current era.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// apply applies a change to the rows and appends it to the history.
func (s *Store) apply(r Row) {
	if r.Tombstone {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.history = append(s.history, r)
}

// notifyWatchers wakes the feed requests that wait for a change.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) countRequest(operation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests[operation]++
}

type response struct {
	Rows    []Row  `json:"rows"`
	More    bool   `json:"has-more"`
	Version uint64 `json:"version-number"`
	Now     string `json:"now"`
	era     uint64
}

func (s *Store) newResponse(rows []Row) response {
	return response{Rows: rows, Version: s.version, era: s.era, Now: strconv.FormatInt(time.Since(s.started).Milliseconds(), 10) + "ms"}
}

type transaction struct {
	Expect []Row `json:"expect"`
	Set    []Row `json:"set-keys"`
	Delete []Row `json:"delete-keys"`
}

// commit applies t as a whole and returns status 200. If the version of a row
// differs from that in t.Expect, it changes nothing, and returns the current rows of
// t.Expect and status 412. A row that does not exist has version 0.
func (s *Store) commit(t *transaction) (response, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	matches := true
	var current []Row
	for _, e := range t.Expect {
		r, ok := s.rows[e.id()]
		if ok {
			current = append(current, r)
		}
		matches = matches && r.Version == e.Version
	}
	if !matches {
		return s.newResponse(current), http.StatusPreconditionFailed
	}
	s.version++
	for _, r := range t.Set {
		r.Version, r.Tombstone = s.version, false
		s.apply(r)
	}
	for _, r := range t.Delete {
		if _, ok := s.rows[r.id()]; ok {
			s.apply(Row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Tombstone: true})
		}
	}
	s.notifyWatchers()
	return s.newResponse(nil), http.StatusOK
}

// page returns at most limit rows of one part of a table, sorted by key, whose
// keys are at least from and below to. An empty to means no upper bound.
func (s *Store) page(table, part, from, to string, limit int) response {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []Row
	for n, r := range s.rows {
		if n.table == table && n.part == part && n.key >= from && (to == "" || n.key < to) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	resp := s.newResponse(rows)
	if len(rows) > limit {
		resp.Rows, resp.More = rows[:limit], true
	}
	return resp
}

// feed returns the changes of a table after a version, and a channel that is
// closed at the next change of any table. If gone is set, the store does not have
// the history since that version.
func (s *Store) feed(table string, after uint64) (resp response, next <-chan struct{}, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compactedVersion || after > s.version {
		return response{}, nil, true
	}
	var rows []Row
	for _, r := range s.history {
		if r.Table == table && r.Version > after {
			rows = append(rows, r)
		}
	}
	return s.newResponse(rows), s.changed, false
}

func (e *Endpoint) serveCommit(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expect)+len(t.Set)+len(t.Delete) > maxEntries {
		http.Error(w, "transaction is malformed or has too many entries", http.StatusBadRequest)
		return
	}
	for _, row := range slices.Concat(t.Set, t.Delete) {
		if row.Table == "servers" {
			http.Error(w, "only the platform may write to table servers", http.StatusForbidden)
			return
		}
		if row.Table == "op" && e.system.Load() {
			http.Error(w, "only the operator may write to table op", http.StatusForbidden)
			return
		}
	}
	resp, status := e.store.commit(&t)
	writeResponse(w, status, resp)
}

func (s *Store) servePage(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxPage
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(n, maxPage)
	}
	writeResponse(w, http.StatusOK, s.page(q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to"), limit))
}

func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, werr := strconv.Atoi(q.Get("wait-ms"))
	if err != nil || werr != nil {
		http.Error(w, "after and wait-ms must be numbers", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWait))
	defer timer.Stop()
	for {
		resp, next, gone := s.feed(q.Get("table"), after)
		if gone {
			http.Error(w, "store does not have the history since this version", http.StatusGone)
			return
		}
		if len(resp.Rows) > 0 {
			writeResponse(w, http.StatusOK, resp)
			return
		}
		select {
		case <-next:
		case <-timer.C:
			writeResponse(w, http.StatusOK, resp)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeResponse(w http.ResponseWriter, status int, resp response) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(eraHeader, strconv.FormatUint(resp.era, 10))
	w.WriteHeader(status)
	if resp.Rows == nil {
		resp.Rows = []Row{}
	}
	_ = json.NewEncoder(w).Encode(resp) // the client may have disconnected
}

// operationName returns the last segment of a path, which names the operation.
func operationName(path string) string { return path[strings.LastIndexByte(path, '/')+1:] }
