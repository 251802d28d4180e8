//go:build review2

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store on the wire.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   uint64 `json:"version-number"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (r *row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// store is a stand-in for the platform's table service. It keeps its whole history.
type store struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]row
	history []row
	changed chan struct{}
	start   time.Time
	server  *http.Server
	// onFeed is called with each watch of the operator's table that begins or ends.
	onFeed func(remote, wait string, open bool)
}

func startStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{rows: make(map[string]row), changed: make(chan struct{}), start: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.transact)
	mux.HandleFunc("GET /-/rows-get", s.page)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes a row as the operator does, and returns when it is acknowledged.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Value: value, Version: s.version})
	s.wake()
}

func (s *store) apply(r row) {
	if r.Tombstone {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.history = append(s.history, r)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) reply(w http.ResponseWriter, status int, rows []row, version uint64) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "has-more": false, "version-number": version, "now": strconv.FormatInt(time.Since(s.start).Milliseconds(), 10) + "ms",
	})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expect []row `json:"expect"`
		Set    []row `json:"set-keys"`
		Delete []row `json:"delete-keys"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Expect)+len(t.Set)+len(t.Delete) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range slices.Concat(t.Set, t.Delete) {
		if e.Table == "op" || e.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	var current []row
	matches := true
	for _, e := range t.Expect {
		have, ok := s.rows[e.id()]
		if ok {
			current = append(current, have)
		}
		matches = matches && have.Version == e.Version
	}
	if !matches {
		s.reply(w, http.StatusPreconditionFailed, current, s.version)
		return
	}
	s.version++
	for _, e := range t.Set {
		e.Version, e.Tombstone = s.version, false
		s.apply(e)
	}
	for _, e := range t.Delete {
		if _, ok := s.rows[e.id()]; ok {
			s.apply(row{Table: e.Table, Part: e.Part, Key: e.Key, Version: s.version, Tombstone: true})
		}
	}
	s.wake()
	s.reply(w, http.StatusOK, nil, s.version)
}

func (s *store) page(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for _, e := range s.rows {
		if e.Table == q.Get("table") && e.Part == q.Get("part") && e.Key >= q.Get("from") && (q.Get("to") == "" || e.Key < q.Get("to")) {
			rows = append(rows, e)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	s.reply(w, http.StatusOK, rows, s.version)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	if s.onFeed != nil && q.Get("table") == "op" {
		s.onFeed(r.RemoteAddr, q.Get("wait-ms"), true)
		defer s.onFeed(r.RemoteAddr, "", false)
	}
	end := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer end.Stop()
	for last := false; ; {
		s.mu.Lock()
		var rows []row
		for _, e := range s.history {
			if e.Table == q.Get("table") && e.Version > after {
				rows = append(rows, e)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 || last {
			s.reply(w, http.StatusOK, rows, version)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}
