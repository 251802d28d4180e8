package store

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// eraHeader is the header field of all responses that holds the era of the store.
const eraHeader = "Store-Era"

// Fault is a fault of an endpoint. The zero value is no fault. If several of Status,
// Reset and Silent are set, only the first in this order has an effect.
type Fault struct {
	// Status is the HTTP status with which every request is rejected before it
	// has any effect; 0 rejects none.
	Status int
	// Silent leaves every request without a response, also the feed requests that
	// already wait for a change. When it is switched off, the connections of these
	// requests are closed.
	Silent bool
	// SilentConnections leaves the requests on the connections that are open when it
	// is set without a response, for good. New connections work.
	SilentConnections bool
	// Stale makes reads return the state of an older copy; nil returns the current
	// one. Feed requests wait, as if nothing had changed since the copy.
	Stale *Copy
	// Reset closes the connection of every request without a response.
	Reset bool
	// Delay is how long every request waits before it is processed.
	Delay time.Duration
	// LoseResponses commits transactions, but closes their connections without
	// a response. Reads are not affected.
	LoseResponses bool
}

// Endpoint is one address of the store, with a fault of its own. Its methods may
// be called concurrently, but Close only once.
type Endpoint struct {
	store    *Store
	listener net.Listener
	server   *http.Server
	fault    atomic.Pointer[Fault]
	away     atomic.Bool
	conns    sync.Map // of open connections (net.Conn)
	silent   atomic.Bool
	system   atomic.Bool
	silenced sync.Map // of the remote addresses of connections that are silent for good
	ended    chan struct{}
}

// Listen opens an endpoint without a fault at address, for example "127.0.0.1:0". It
// fails if it cannot listen there. The caller must close the endpoint.
func (s *Store) Listen(address string) (*Endpoint, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e := &Endpoint{store: s, listener: l, ended: make(chan struct{})}
	e.fault.Store(&Fault{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", e.serveCommit)
	mux.HandleFunc("GET /-/rows-get", s.servePage)
	mux.HandleFunc("GET /-/rows-feed", s.serveFeed)
	e.server = &http.Server{Handler: e.injectFault(mux), ConnState: func(nc net.Conn, s http.ConnState) {
		switch s {
		case http.StateNew:
			e.conns.Store(nc, nil)
		case http.StateClosed, http.StateHijacked:
			e.conns.Delete(nc)
		}
	}}
	go func() { _ = e.server.Serve(l) }()
	return e, nil
}

// Address returns the address that the endpoint listens on, as host:port.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// Set replaces the fault; the zero Fault ends it. A feed request that already waits
// for a change continues to wait. Its connection is closed if Status or Reset is set
// when its response is ready; with Silent it stays open without a response.
func (e *Endpoint) Set(f Fault) {
	if f.SilentConnections {
		e.conns.Range(func(nc, _ any) bool {
			e.silenced.Store(nc.(net.Conn).RemoteAddr().String(), nil)
			return true
		})
	}
	old := e.fault.Swap(&f)
	if *old != f {
		wakeWatches(e)
	}
}

// ForbidOperator makes the endpoint refuse writes to the operator's table with status 403,
// as the platform does for the system.
func (e *Endpoint) ForbidOperator() { e.system.Store(true) }

// SetAway closes all connections of the endpoint, and resets the requests that
// arrive until it is called with false. The fault stays.
func (e *Endpoint) SetAway(away bool) {
	e.away.Store(away)
	if away {
		e.conns.Range(func(nc, _ any) bool {
			_ = nc.(net.Conn).Close()
			return true
		})
	}
}

// Close stops the endpoint and closes its connections.
func (e *Endpoint) Close() {
	close(e.ended)
	_ = e.server.Close()
}

// wakeWatches wakes the feed requests that wait for a change. Those without a
// change wait again.
func wakeWatches(e *Endpoint) {
	e.store.mu.Lock()
	defer e.store.mu.Unlock()
	e.store.notifyWatchers()
}

// injectFault counts each request and applies the current fault to it.
func (e *Endpoint) injectFault(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		operation := operationName(r.URL.Path)
		w.Header().Set(eraHeader, strconv.FormatUint(e.store.Era(), 10))
		e.store.countRequest(operation)
		f := *e.fault.Load()
		switch {
		case f.Status != 0:
			http.Error(w, "store has an injected fault", f.Status)
			return
		case f.Reset || e.away.Load():
			panic(http.ErrAbortHandler)
		case e.isSilentTo(r):
			e.waitWhileSilent(r)
			panic(http.ErrAbortHandler)
		}
		if f.Stale != nil && operation != "rows-tx" {
			e.serveStale(w, r, f.Stale, operation)
			return
		}
		if f.Delay > 0 {
			time.Sleep(f.Delay)
		}
		if f.LoseResponses && operation == "rows-tx" {
			next.ServeHTTP(discardWriter{header: make(http.Header)}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(&faultCheckedWriter{ResponseWriter: w, endpoint: e, request: r}, r)
	})
}

// SetSilent has the effect of Fault.Silent, independently of the fault.
func (e *Endpoint) SetSilent(silent bool) {
	if e.silent.Swap(silent) != silent {
		wakeWatches(e)
	}
}

// isSilentTo reports whether a request gets no response now.
func (e *Endpoint) isSilentTo(r *http.Request) bool {
	_, silenced := e.silenced.Load(r.RemoteAddr) // the connection is silent for good
	return silenced || e.silent.Load() || e.fault.Load().Silent
}

// serveStale responds to a read with the state of an older copy.
func (e *Endpoint) serveStale(w http.ResponseWriter, r *http.Request, c *Copy, operation string) {
	old := New()
	old.Restore(c)
	old.era = e.store.Era()
	if operation == "rows-feed" {
		old.serveFeed(&faultCheckedWriter{ResponseWriter: w, endpoint: e, request: r}, r)
		return
	}
	old.servePage(w, r)
}

// waitWhileSilent waits until the client disconnects, the fault ends, or the
// endpoint is closed.
func (e *Endpoint) waitWhileSilent(r *http.Request) {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for e.isSilentTo(r) {
		select {
		case <-r.Context().Done():
			return
		case <-e.ended:
			return
		case <-tick.C:
		}
	}
}

// faultCheckedWriter closes the connection instead of sending a response, if the
// endpoint got a fault while the request was processed; a silent endpoint leaves it
// open first. That concerns mainly feed requests, which wait for a change.
type faultCheckedWriter struct {
	http.ResponseWriter
	endpoint *Endpoint
	request  *http.Request
}

// WriteHeader implements http.ResponseWriter.
func (g *faultCheckedWriter) WriteHeader(status int) {
	if g.endpoint.isSilentTo(g.request) {
		g.endpoint.waitWhileSilent(g.request)
		panic(http.ErrAbortHandler)
	}
	if f := g.endpoint.fault.Load(); f.Status != 0 || f.Reset || g.endpoint.away.Load() {
		panic(http.ErrAbortHandler)
	}
	g.ResponseWriter.WriteHeader(status)
}

// discardWriter discards the response of a transaction.
type discardWriter struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d discardWriter) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader implements http.ResponseWriter.
func (d discardWriter) WriteHeader(int) {}
