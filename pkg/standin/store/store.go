package store

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxEntries and maxPage are the store's published limits of a transaction and
// of a page of rows.
const (
	maxEntries = 100
	maxPage    = 500
	maxWait    = 30 * time.Second
)

// Row is a row, as the store sends it.
type Row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Version   uint64 `json:"version-number"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (r *Row) name() name { return name{r.Table, r.Part, r.Key} }

type name struct{ table, part, key string }

// Store is the state behind all endpoints.
type Store struct {
	mu      sync.Mutex
	version uint64
	rows    map[name]Row
	history []Row // changes after floor, in order
	floor   uint64
	changed chan struct{}
	started time.Time
	calls   map[string]int
}

// New returns an empty store.
func New() *Store {
	return &Store{rows: make(map[name]Row), changed: make(chan struct{}), started: time.Now(), calls: make(map[string]int)}
}

// Calls returns how often a call was made, such as "rows-get", refused ones
// included.
func (s *Store) Calls(call string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[call]
}

// Put sets a row without conditions, as the operator does.
func (s *Store) Put(table, key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(Row{Table: table, Key: key, Value: value, Version: s.version})
	s.wake()
	return s.version
}

// Get returns a row.
func (s *Store) Get(table, key string) (Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[name{table, "", key}]
	return r, ok
}

// Keys returns the keys of a table, sorted.
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

// Compact drops the history, so that every watch has to begin anew.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.floor = nil, s.version
	s.wake()
}

func (s *Store) set(r Row) {
	if r.Tombstone {
		delete(s.rows, r.name())
	} else {
		s.rows[r.name()] = r
	}
	s.history = append(s.history, r)
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) count(call string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[call]++
}

type answer struct {
	Rows    []Row  `json:"rows"`
	More    bool   `json:"has-more"`
	Version uint64 `json:"version-number"`
	Now     string `json:"now"`
}

func (s *Store) answer(rows []Row) answer {
	return answer{Rows: rows, Version: s.version, Now: strconv.FormatInt(time.Since(s.started).Milliseconds(), 10) + "ms"}
}

type transaction struct {
	Expect []Row `json:"expect"`
	Set    []Row `json:"set-keys"`
	Delete []Row `json:"delete-keys"`
}

// commit applies t whole or returns the rows of its expectations.
func (s *Store) commit(t *transaction) (answer, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	var current []Row
	for _, e := range t.Expect {
		r, ok := s.rows[e.name()]
		if ok {
			current = append(current, r)
		}
		holds = holds && r.Version == e.Version
	}
	if !holds {
		return s.answer(current), http.StatusPreconditionFailed
	}
	s.version++
	for _, r := range t.Set {
		r.Version, r.Tombstone = s.version, false
		s.set(r)
	}
	for _, r := range t.Delete {
		if _, ok := s.rows[r.name()]; ok {
			s.set(Row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Tombstone: true})
		}
	}
	s.wake()
	return s.answer(nil), http.StatusOK
}

// page returns rows of one part of a table from a key on.
func (s *Store) page(table, part, from, to string, limit int) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []Row
	for n, r := range s.rows {
		if n.table == table && n.part == part && n.key >= from && (to == "" || n.key < to) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	a := s.answer(rows)
	if len(rows) > limit {
		a.Rows, a.More = rows[:limit], true
	}
	return a
}

// feed returns the changes of a table after a version, or the channel that is
// closed at the next change. Gone means that the history is not held any more.
func (s *Store) feed(table string, after uint64) (a answer, next <-chan struct{}, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.floor {
		return answer{}, nil, true
	}
	var rows []Row
	for _, r := range s.history {
		if r.Table == table && r.Version > after {
			rows = append(rows, r)
		}
	}
	return s.answer(rows), s.changed, false
}

func (s *Store) serveCommit(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expect)+len(t.Set)+len(t.Delete) > maxEntries {
		http.Error(w, "transaction cannot be read", http.StatusBadRequest)
		return
	}
	for _, row := range slices.Concat(t.Set, t.Delete) {
		if row.Table == "servers" {
			http.Error(w, "table is the platform's", http.StatusForbidden)
			return
		}
	}
	a, status := s.commit(&t)
	send(w, status, a)
}

func (s *Store) servePage(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxPage
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(n, maxPage)
	}
	send(w, http.StatusOK, s.page(q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to"), limit))
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
		a, next, gone := s.feed(q.Get("table"), after)
		if gone {
			http.Error(w, "history is gone", http.StatusGone)
			return
		}
		if len(a.Rows) > 0 {
			send(w, http.StatusOK, a)
			return
		}
		select {
		case <-next:
		case <-timer.C:
			send(w, http.StatusOK, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func send(w http.ResponseWriter, status int, a answer) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if a.Rows == nil {
		a.Rows = []Row{}
	}
	_ = json.NewEncoder(w).Encode(a) // the caller may have left
}

// callName returns the last part of a path, which names the call.
func callName(path string) string { return path[strings.LastIndexByte(path, '/')+1:] }
