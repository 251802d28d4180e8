package proxy

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

const (
	// idleTime closes idle connections of callers and peers. It is longer than
	// peerIdle, so that the node that opened a connection closes it first.
	idleTime = 2 * time.Minute
	// rawHeaderFactor lets requests with too large headers reach the handler,
	// which answers them with a reason and counts them.
	rawHeaderFactor = 4
	// maxStreams bounds the calls in flight of one HTTP/2 connection.
	maxStreams = 250
	// peerHeaderSpace is what a node adds to the headers of a call.
	peerHeaderSpace = 8 << 10
)

// CallServer returns the server of the caller listener: HTTP/1.1 and cleartext
// HTTP/2 with prior knowledge. Its listener should be wrapped by LimitCallers.
func (p *Proxy) CallServer() *http.Server {
	s := p.server(p.CallHandler(), rawHeaderFactor*p.cfg.Limits.HeaderBytes)
	s.Protocols.SetUnencryptedHTTP2(true)
	s.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: maxStreams}
	return s
}

// PeerServer returns the server of the peer listener. Requests below
// rules.ReservedPath go to messages.
func (p *Proxy) PeerServer(messages http.Handler) *http.Server {
	return p.server(p.SplitPeer(messages), p.cfg.Limits.HeaderBytes+peerHeaderSpace)
}

func (p *Proxy) server(h http.Handler, headerBytes int) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	errors, _ := zap.NewStdLogAt(p.log, zap.DebugLevel) // fails for an invalid level only
	return &http.Server{
		Handler: h, ReadHeaderTimeout: p.cfg.Limits.HeaderTime, IdleTimeout: idleTime,
		MaxHeaderBytes: headerBytes, Protocols: protocols, ErrorLog: errors,
	}
}

// LimitCallers wraps the caller listener: connections above the limit are
// closed at once and counted.
func (p *Proxy) LimitCallers(l net.Listener) net.Listener {
	return &limitedListener{Listener: l, limit: int64(p.cfg.Limits.Connections), refused: p.metrics.events[eventConnLimit].Inc}
}

// limitedListener bounds the open connections. It closes what exceeds the
// limit rather than leave it in the backlog, where callers would wait.
type limitedListener struct {
	net.Listener
	limit   int64
	open    atomic.Int64
	refused func()
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &limitedConn{Conn: c, closed: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
		}
		l.open.Add(-1)
		l.refused()
		_ = c.Close()
	}
}

type limitedConn struct {
	net.Conn
	closed func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.closed()
	return c.Conn.Close()
}
