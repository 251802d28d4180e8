package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The platform's metadata store, as PROTOCOL.md describes it: tables of rows with one
// version counter, conditional transactions, range reads and a feed of changes.

type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Version   uint64 `json:"version-number"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (r row) id() [3]string { return [3]string{r.Table, r.Part, r.Key} }

type store struct {
	addr    string
	started time.Time
	server  *http.Server

	mu      sync.Mutex
	version uint64
	rows    map[[3]string]row
	history []row
	changed chan struct{}
	// silenced holds the connections on which the store answers nothing any more.
	// New connections work.
	conns    map[net.Conn]bool
	silenced map[string]bool
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		addr: l.Addr().String(), started: time.Now(), rows: map[[3]string]row{}, changed: make(chan struct{}),
		conns: map[net.Conn]bool{}, silenced: map[string]bool{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.tx)
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	s.server = &http.Server{Handler: s.silence(mux), ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch state {
		case http.StateNew:
			s.conns[c] = true
			delete(s.silenced, c.RemoteAddr().String())
		case http.StateClosed, http.StateHijacked:
			delete(s.conns, c)
		}
	}}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// silenceOpenConnections makes the connections that are open now silent for good. It
// returns how many there are.
func (s *store) silenceOpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		s.silenced[c.RemoteAddr().String()] = true
	}
	return len(s.conns)
}

func (s *store) isSilenced(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silenced[r.RemoteAddr]
}

// silence withholds the responses on silenced connections, also those of requests that
// had arrived before.
func (s *store) silence(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isSilenced(r) {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (s *store) respond(w http.ResponseWriter, r *http.Request, status int, rows []row, version uint64, more bool) {
	if s.isSilenced(r) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "has-more": more, "version-number": version,
		"now": strconv.FormatInt(time.Since(s.started).Milliseconds(), 10) + "ms",
	})
}

func (s *store) set(r row) {
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

// put writes a row as the operator does, and returns the time of the ack.
func (s *store) put(table, key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Value: value, Version: s.version})
	s.wake()
	return time.Now()
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expect []row `json:"expect"`
		Set    []row `json:"set-keys"`
		Delete []row `json:"delete-keys"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, "bad transaction", http.StatusBadRequest)
		return
	}
	for _, x := range append(append([]row{}, t.Set...), t.Delete...) {
		if x.Table == "op" || x.Table == "servers" {
			http.Error(w, "not the system's table", http.StatusForbidden)
			return
		}
	}
	time.Sleep(5 * time.Millisecond) // tx-latency
	s.mu.Lock()
	ok := true
	var current []row
	for _, e := range t.Expect {
		now, exists := s.rows[e.id()]
		if exists {
			current = append(current, now)
		}
		ok = ok && now.Version == e.Version
	}
	if !ok {
		v := s.version
		s.mu.Unlock()
		s.respond(w, r, http.StatusPreconditionFailed, current, v, false)
		return
	}
	s.version++
	for _, x := range t.Set {
		x.Version, x.Tombstone = s.version, false
		s.set(x)
	}
	for _, x := range t.Delete {
		if _, exists := s.rows[x.id()]; exists {
			s.set(row{Table: x.Table, Part: x.Part, Key: x.Key, Version: s.version, Tombstone: true})
		}
	}
	s.wake()
	v := s.version
	s.mu.Unlock()
	s.respond(w, r, http.StatusOK, nil, v, false)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 && n < limit {
		limit = n
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	var rows []row
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && (q.Get("to") == "" || x.Key < q.Get("to")) {
			rows = append(rows, x)
		}
	}
	v := s.version
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return strings.Compare(rows[i].Key, rows[j].Key) < 0 })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	s.respond(w, r, http.StatusOK, rows, v, more)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, werr := strconv.Atoi(q.Get("wait-ms"))
	if err != nil || werr != nil {
		http.Error(w, "bad feed request", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(min(wait, 30_000))*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		var rows []row
		for _, x := range s.history {
			if x.Table == q.Get("table") && x.Version > after {
				rows = append(rows, x)
			}
		}
		v, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 || ctx.Err() != nil {
			if r.Context().Err() != nil {
				return
			}
			s.respond(w, r, http.StatusOK, rows, v, false)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
