package mesh

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const healthPath = "/health"

// Upstream answers every call at once and remembers the last one. It leaves
// out slots and service time, so that only the mesh is measured.
type Upstream struct {
	calls  atomic.Int64
	last   atomic.Int64 // Unix nanoseconds
	server *http.Server
	addr   string
}

// NewUpstream returns a running upstream.
func NewUpstream() (*Upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &Upstream{addr: l.Addr().String()}
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(l) }()
	return u, nil
}

// ServeHTTP answers a call or a health request.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != healthPath {
		u.calls.Add(1)
		u.last.Store(time.Now().UnixNano())
	}
	_, _ = w.Write([]byte("ok"))
}

// Calls returns the number of calls so far and the time of the last one.
func (u *Upstream) Calls() (int64, time.Time) { return u.calls.Load(), time.Unix(0, u.last.Load()) }

// Close stops the upstream.
func (u *Upstream) Close() { _ = u.server.Close() }
