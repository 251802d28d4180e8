package h1

import (
	"context"
	"errors"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPipelined bounds the requests of one connection that wait for their
	// answer. Beyond it the connection is no longer read.
	maxPipelined = 64
	// bodyBuffer is the longest request body that is held in memory, in bytes.
	// Longer bodies are streamed and cannot be sent twice.
	maxBufferedBody = 256 << 10
	// writeTime bounds the time in which a peer must take a part of an answer.
	writeTimeout = 10 * time.Second
	// bodyStall bounds the time between two parts of a request body.
	bodyReadTimeout = 10 * time.Second
	// bodyTime bounds the time in which a body that is held in memory arrives.
	bodyTimeout = time.Minute
	// acceptPause is the wait after a failed accept, such as for lack of
	// descriptors.
	acceptRetryDelay = 20 * time.Millisecond
)

// Limits bound what a client may send. A zero value of a field stands for the
// default.
type Limits struct {
	MaxHeaderBytes int64         // of a request head
	MaxBodyBytes   int64         // of a request body
	HeaderTimeout  time.Duration // from the first byte of a head to its end
	IdleTimeout    time.Duration // between two requests
}

// Defaults of Limits, used until a configuration states its own.
var defaultLimits = Limits{MaxHeaderBytes: 32 << 10, MaxBodyBytes: 64 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}

func (l Limits) orDefaults() Limits {
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = defaultLimits.MaxHeaderBytes
	}
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = defaultLimits.MaxBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultLimits.HeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultLimits.IdleTimeout
	}
	return l
}

// Fault is a request that ended before the handler saw it.
type Fault string

// Faults.
const (
	Malformed    Fault = "malformed"
	HeadTooLarge Fault = "head_too_large"
	HeadTooSlow  Fault = "head_too_slow"
	BodyTooLarge Fault = "body_too_large"
	BodyTooSlow  Fault = "body_too_slow"
	// NotAccepted is a connection that could not be accepted, such as for lack
	// of descriptors.
	NotAccepted Fault = "not_accepted"
)

// Server serves connections of one listener.
type Server struct {
	// Handle answers one exchange by Reply or Abort. It runs in its own
	// goroutine.
	Handle func(*Exchange)
	// Concurrent reports whether a pipelined request may be handled before
	// the answers to those in front of it were sent. A client sends a request
	// again when the connection closes before it, so only idempotent ones may.
	Concurrent func(*Exchange) bool
	// Limits returns the limits in force.
	Limits func() Limits
	// OnFault is told of requests that the handler does not see.
	OnFault func(remote net.Addr, f Fault, err error)
	// OnPanic, if set, is told of a fault of the program that ended one exchange
	// or connection.
	OnPanic func(value any, stack []byte)

	draining         atomic.Bool
	bodyReadsAborted atomic.Bool // no request body is waited for
	mu               sync.Mutex
	conns            map[*conn]struct{}
	active           atomic.Int64
}

// Active returns the number of requests that have no complete answer.
func (s *Server) Active() int { return int(s.active.Load()) }

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if errors.Is(err, os.ErrDeadlineExceeded) { // set by Close
			return l.Close()
		}
		if err != nil {
			s.OnFault(l.Addr(), NotAccepted, err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := newConn(s, nc)
		s.track(c, true)
		go c.serve()
	}
}

func (s *Server) track(c *conn, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = make(map[*conn]struct{})
	}
	if open {
		s.conns[c] = struct{}{}
	} else {
		delete(s.conns, c)
	}
}

// Close ends Serve after it has accepted the connections that wait for it:
// closing the listener at once would reset them.
func (s *Server) Close(l net.Listener) {
	if t, ok := l.(*net.TCPListener); ok && t.SetDeadline(time.Now().Add(closeAcceptTime)) == nil {
		return
	}
	_ = l.Close()
}

// lastAccepts is how long connections are accepted after Close.
const closeAcceptTime = 50 * time.Millisecond

// panicked notes a fault of the program.
func (s *Server) reportPanic(value any) {
	if s.OnPanic != nil {
		s.OnPanic(value, debug.Stack())
	}
}

// Drain makes every answer from now on the last one of its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseIdle closes the connections without a request. It follows Drain.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.pending.Load() == 0 {
			_ = c.nc.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// EndBodies ends the wait for the bodies of requests. A request whose body is
// not complete is refused if no handler has it yet.
func (s *Server) AbortBodyReads() {
	s.bodyReadsAborted.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.nc.SetReadDeadline(time.Unix(1, 0))
	}
}

// CloseAll closes all connections, whatever they are doing.
func (s *Server) CloseAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.cancel(errServerClosed)
		_ = c.nc.Close()
	}
}

// Causes of a cancelled exchange.
var (
	// ErrClientGone means that the client closed its connection.
	ErrClientGone   = errors.New("client closed its connection")
	errServerClosed = errors.New("server was closed")
	errLastResponse = errors.New("an earlier answer ended the connection")
)

// Gone reports whether ctx of an exchange ended because its client left.
func ClientGone(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return errors.Is(cause, ErrClientGone) || errors.Is(cause, errLastResponse) || errors.Is(cause, errServerClosed)
}
