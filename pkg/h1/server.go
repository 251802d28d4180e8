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
	// maxPipelined bounds the pending requests of one connection. Beyond it the
	// connection is not read.
	maxPipelined = 64
	// maxBufferedBody is the size up to which a request body is buffered in
	// memory, in bytes. Longer bodies are streamed and cannot be sent twice.
	maxBufferedBody = 256 << 10
	// writeTimeout bounds one write of a part of a response to a client. A client
	// that stops reading loses its connection after this time; until then its
	// response occupies memory.
	writeTimeout = 10 * time.Second
	// bodyReadTimeout bounds the time between two parts of a request body. A
	// streamed body is also bounded by the deadline of its call.
	bodyReadTimeout = 10 * time.Second
	// bodyTimeout bounds the time in which a buffered request body must arrive.
	// No deadline of a call applies before the handler is called, and
	// bodyReadTimeout alone would let a client take weeks for a body of
	// maxBufferedBody, one byte at a time.
	bodyTimeout = time.Minute
	// acceptRetryDelay is the wait after a failed accept, for example when the
	// process is out of file descriptors. Without it, Serve would use a whole core
	// until an accept succeeds.
	acceptRetryDelay = 20 * time.Millisecond
)

// Limits bound what a client may send. A field that is not positive stands for
// its default.
type Limits struct {
	MaxHeaderBytes int64         // size of a request head in bytes; default 32 KiB
	MaxBodyBytes   int64         // size of a request body in bytes; default 64 MiB
	HeaderTimeout  time.Duration // from the first byte of a head to its end; default 5 s
	IdleTimeout    time.Duration // between two requests; default 1 min
}

// defaultLimits holds the defaults of Limits. A node uses them until it has a
// configuration that states its own.
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

// Fault is the reason why a request or a connection ended before the handler
// was called.
type Fault string

// Values of Fault. The server responds to a fault of a request with the stated
// status and then ends the connection.
const (
	Malformed    Fault = "malformed"      // the head is not valid HTTP; status 400
	HeadTooLarge Fault = "head_too_large" // the head exceeds Limits.MaxHeaderBytes; status 431
	HeadTooSlow  Fault = "head_too_slow"  // the head exceeds Limits.HeaderTimeout; status 408
	BodyTooLarge Fault = "body_too_large" // the body exceeds Limits.MaxBodyBytes; status 413
	BodyTooSlow  Fault = "body_too_slow"  // the body arrived too slowly, or AbortBodyReads ended its read; status 408
	// NotAccepted is a connection that could not be accepted, for example when
	// the process is out of file descriptors.
	NotAccepted Fault = "not_accepted"
)

// Server serves the connections of one listener. Its fields must be set before
// Serve is called; Handle, Limits and OnFault are required. They are called
// from several goroutines at the same time. The methods are safe for concurrent
// use.
type Server struct {
	// Handle responds to one exchange by Exchange.Reply. It runs in a goroutine
	// of its own. If it returns without a reply, the connection is closed.
	Handle func(*Exchange)
	// Concurrent reports whether a pipelined request may be handled before the
	// responses to earlier requests were sent; nil means never. A client sends a
	// request again if the connection closes before its response, so Concurrent
	// must return true for idempotent requests only.
	Concurrent func(*Exchange) bool
	// Limits returns the limits in force. It is called for each request.
	Limits func() Limits
	// OnFault is called for each fault. remote is the address of the client, or
	// that of the listener for NotAccepted. err is the cause and may be nil.
	OnFault func(remote net.Addr, f Fault, err error)
	// OnPanic, if set, is called with a recovered panic, which has ended one
	// exchange or connection, and the stack of its goroutine.
	OnPanic func(value any, stack []byte)

	draining         atomic.Bool
	bodyReadsAborted atomic.Bool // set by AbortBodyReads
	mu               sync.Mutex
	conns            map[*conn]struct{}
	active           atomic.Int64
	readAhead        atomic.Int64 // bytes of request bodies, at most maxReadAhead
}

// Active returns the number of accepted requests without a complete response.
func (s *Server) Active() int { return int(s.active.Load()) }

// Serve accepts connections until the listener is closed by Close or by its
// owner. It returns nil, or the error of closing the listener, and does not wait
// for the connections to end.
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

// track adds or removes an open connection.
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

// Close makes Serve close l and return after 50 ms (closeAcceptTime), in which
// Serve accepts the connections that the kernel has queued. Closing l at once
// would reset them. Close itself does not block. A listener that is not TCP is
// closed at once.
func (s *Server) Close(l net.Listener) {
	if t, ok := l.(*net.TCPListener); ok && t.SetDeadline(time.Now().Add(closeAcceptTime)) == nil {
		return
	}
	_ = l.Close()
}

// closeAcceptTime is how long connections are still accepted after Close.
const closeAcceptTime = 50 * time.Millisecond

// reportPanic calls OnPanic with the stack of the current goroutine.
func (s *Server) reportPanic(value any) {
	if s.OnPanic != nil {
		s.OnPanic(value, debug.Stack())
	}
}

// Drain makes the response to the newest accepted request of each connection the
// last one, and does not block. A connection without a pending request ends
// after one more request, or by CloseIdle.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseIdle closes the connections that have neither a pending request nor
// unread bytes. It must be called after Drain.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.pending.Load() == 0 {
			_ = c.nc.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// AbortBodyReads ends all reads of request bodies, also later ones. An incomplete
// request whose handler has not started is refused: with BodyTooSlow, or with
// HeadTooSlow if its head is being read. A handler that reads Exchange.Rest gets
// an error.
func (s *Server) AbortBodyReads() {
	s.bodyReadsAborted.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.nc.SetReadDeadline(time.Unix(1, 0))
	}
}

// CloseAll cancels all exchanges and closes all connections.
func (s *Server) CloseAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.cancel(errServerClosed)
		_ = c.nc.Close()
	}
}

// Causes of the end of Exchange.Context, as returned by context.Cause.
var (
	// ErrClientGone means that the client closed its connection or the connection
	// failed.
	ErrClientGone   = errors.New("client closed its connection")
	errServerClosed = errors.New("server was closed")
	errLastResponse = errors.New("an earlier response ended the connection")
)

// ClientGone reports whether ctx, which is Exchange.Context or derived from it,
// ended because the connection ended: the client disconnected, an earlier
// response was the last one, or the server closed all connections.
func ClientGone(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return errors.Is(cause, ErrClientGone) || errors.Is(cause, errLastResponse) || errors.Is(cause, errServerClosed)
}
