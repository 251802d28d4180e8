package store

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Fault is how an endpoint misbehaves.
type Fault struct {
	// Status refuses every call with this status; nothing is done.
	Status int
	// Silent never answers.
	Silent bool
	// Reset closes the connection of every call.
	Reset bool
	// Delay is added to every answer.
	Delay time.Duration
	// LoseAnswers does what transactions ask for and closes the connection.
	LoseResponses bool
}

// Endpoint is one address of the store, with faults of its own.
type Endpoint struct {
	store    *Store
	listener net.Listener
	server   *http.Server
	fault    atomic.Pointer[Fault]
	ended    chan struct{}
}

// Listen opens an endpoint, for example at "127.0.0.1:0".
func (s *Store) Listen(address string) (*Endpoint, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e := &Endpoint{store: s, listener: l, ended: make(chan struct{})}
	e.fault.Store(&Fault{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.serveCommit)
	mux.HandleFunc("GET /-/rows-get", s.servePage)
	mux.HandleFunc("GET /-/rows-feed", s.serveFeed)
	e.server = &http.Server{Handler: e.injectFault(mux)}
	go func() { _ = e.server.Serve(l) }()
	return e, nil
}

// Address returns host:port.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// Set replaces the fault and cuts the calls that are waiting, as an outage
// does. The zero Fault ends it.
func (e *Endpoint) Set(f Fault) {
	old := e.fault.Swap(&f)
	if *old != f {
		wakeWatches(e)
	}
}

// Close ends the endpoint.
func (e *Endpoint) Close() {
	close(e.ended)
	_ = e.server.Close()
}

// closeWaiting wakes the watches, which then meet the fault.
func wakeWatches(e *Endpoint) {
	e.store.mu.Lock()
	defer e.store.mu.Unlock()
	e.store.notifyWatchers()
}

func (e *Endpoint) injectFault(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		operation := operationName(r.URL.Path)
		e.store.countRequest(operation)
		f := *e.fault.Load()
		switch {
		case f.Status != 0:
			http.Error(w, "store is impaired", f.Status)
			return
		case f.Reset:
			panic(http.ErrAbortHandler)
		case f.Silent:
			e.waitWhileSilent(r)
			panic(http.ErrAbortHandler)
		}
		if f.Delay > 0 {
			time.Sleep(f.Delay)
		}
		if f.LoseResponses && operation == "rows-tx" {
			next.ServeHTTP(discardWriter{header: make(http.Header)}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(&faultCheckedWriter{ResponseWriter: w, endpoint: e}, r)
	})
}

// silence waits until the caller gives up or the fault ends.
func (e *Endpoint) waitWhileSilent(r *http.Request) {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for e.fault.Load().Silent {
		select {
		case <-r.Context().Done():
			return
		case <-e.ended:
			return
		case <-tick.C:
		}
	}
}

// guarded keeps back an answer that became ready while the endpoint had a
// fault, such as that of a watch.
type faultCheckedWriter struct {
	http.ResponseWriter
	endpoint *Endpoint
}

// WriteHeader implements http.ResponseWriter.
func (g *faultCheckedWriter) WriteHeader(status int) {
	if f := g.endpoint.fault.Load(); f.Status != 0 || f.Silent || f.Reset {
		panic(http.ErrAbortHandler)
	}
	g.ResponseWriter.WriteHeader(status)
}

// discard takes an answer that is lost.
type discardWriter struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d discardWriter) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader implements http.ResponseWriter.
func (d discardWriter) WriteHeader(int) {}
