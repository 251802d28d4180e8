package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Start listens on address, for example "127.0.0.1:0".
func (u *Upstream) Start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: u}
	u.mu.Lock()
	u.server, u.address = server, listener.Addr().String()
	u.mu.Unlock()
	limited := &limitedListener{Listener: listener, limit: int64(u.cfg.Connections), setup: u.cfg.ConnectTime}
	go func() { _ = server.Serve(limited) }()
	return nil
}

// Address returns the host:port of the listener.
func (u *Upstream) Address() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.address
}

// Stop refuses new calls, waits for the calls in flight until ctx ends and
// closes the listener.
func (u *Upstream) Stop(ctx context.Context) error {
	b := u.Behaviour()
	b.Draining = true
	u.Set(b)
	if server := u.running(); server != nil {
		return server.Shutdown(ctx)
	}
	return nil
}

// Close ends the upstream at once, as a crash does.
func (u *Upstream) Close() {
	if server := u.running(); server != nil {
		_ = server.Close()
	}
}

func (u *Upstream) running() *http.Server {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.server
}

func (u *Upstream) crash() {
	if u.cfg.OnCrash != nil {
		u.cfg.OnCrash()
		return
	}
	u.Close()
}

// limitedListener closes connections beyond the limit at once and delays the
// first read of a new one.
type limitedListener struct {
	net.Listener
	limit int64
	setup time.Duration
	open  atomic.Int64
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) > l.limit && l.limit > 0 {
			l.open.Add(-1)
			_ = c.Close()
			continue
		}
		return &limitedConn{Conn: c, listener: l}, nil
	}
}

type limitedConn struct {
	net.Conn
	listener *limitedListener
	first    sync.Once
	closed   sync.Once
}

// Read waits for the time that a new connection costs before the first byte.
func (c *limitedConn) Read(p []byte) (int, error) {
	c.first.Do(func() { time.Sleep(c.listener.setup) })
	return c.Conn.Read(p)
}

// Close frees the place of the connection.
func (c *limitedConn) Close() error {
	c.closed.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
