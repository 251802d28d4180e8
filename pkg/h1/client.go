package h1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// maxResponseHeaderBytes bounds the head of a response, in bytes. Common
	// servers limit heads to 8 to 64 KiB.
	maxResponseHeaderBytes = 256 << 10
	// maxUnmatchedResponses is the number of heads that are read for one request
	// before the connection is closed; responses to other requests and 1xx
	// responses count. At most one duplicate response per connection was
	// observed.
	maxUnmatchedResponses = 4
	// maxUnmatchedBytes bounds the total size of the bodies of responses to
	// other requests that are skipped for one request, in bytes.
	maxUnmatchedBytes = 64 << 10
	// responseHeaderTimeout bounds the time from the first byte of a response to
	// the end of its head. For a response to another request it bounds the body
	// too. The retransmission of a lost packet, which takes up to a second, must
	// fit in.
	responseHeaderTimeout = 2 * time.Second
	// keepAliveFraction is the fraction of the idle timeout stated by a server
	// after which its idle connections are no longer used. If the server closes
	// a connection while a request is in flight, the request may have run.
	keepAliveFraction = 0.7
	// maxAvoidedIDs is the number of requests that a connection can be kept from; a
	// connection with more of them is closed.
	maxAvoidedIDs = 32
	// connBufferSize is the size of the read buffer and of the write buffer of a
	// connection, in bytes. Responses of a few KB fit in.
	connBufferSize = 4 << 10
)

// ExchangeError is the error of an exchange that returned no usable response.
type ExchangeError struct {
	// Sent reports whether the server may have received the request.
	Sent bool
	// Reused reports whether the connection had served earlier requests.
	Reused bool
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *ExchangeError) Error() string {
	if e.Sent {
		return "request was sent but no usable response was received: " + e.Err.Error()
	}
	return "request was not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Err }

// errUnmatchedResponses means that a connection returned only responses to
// other requests, up to maxUnmatchedResponses or maxUnmatchedBytes.
var errUnmatchedResponses = errors.New("connection returned only responses to other requests")

// errProtocolSwitch means that a server switched protocols although the
// request did not ask for it.
var errProtocolSwitch = errors.New("server switched protocols without being asked to")

// Request is one request to send by Pool.Do. Header must not contain
// hop-by-hop fields; Do does not modify it.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte    // whole body, or its start when Rest is set
	Rest                 io.Reader // what follows Body, or nil; may be read after Do has returned
	Length               int64     // whole length in bytes, or Chunked
	// ID identifies the request in its responses, if it may be sent again. Do does
	// not send it on a connection for which Response.AvoidFor was called with it: a
	// late copy of the earlier response could not be told from the new one.
	ID string
	// Matches reports whether a response belongs to this request. reused says
	// whether the connection has served earlier requests, so that the response may
	// be a late copy. Do skips other responses. Nil accepts any response.
	Matches func(status int, h http.Header, reused bool) bool
	// Fields are sent after Header.
	Fields []Field
	// MaxIdleTime bounds how long a reused connection may have been idle; 0
	// applies the limit of the pool only. If the server has closed the connection
	// in the meantime, the request is lost and it is not known whether the
	// server read it.
	MaxIdleTime time.Duration
	// DialTimeout bounds the opening of a new connection; 0 applies the limit of
	// Pool.Dial only.
	DialTimeout time.Duration
}

// Field is one header field.
type Field struct{ Name, Value string }

// Response is the head of a response. Its body is read by Read, which must
// report io.EOF for the connection to be reused. Close must be called. A
// Response must not be used by several goroutines at the same time.
type Response struct {
	Status int
	Header http.Header
	Length int64 // in bytes, Chunked when the length is not stated
	Body   io.Reader
	// EndsWithConnection says that only the end of the connection ends the body, so that a
	// server that ends while it sends it cannot be told from one that has sent all.
	EndsWithConnection bool

	pool     *Pool
	conn     *clientConn
	stop     func() bool
	reusable bool
	bodyRead bool
	failed   bool // a read of the body has failed
}

// Read implements io.Reader. It returns io.EOF only after the whole body.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.Body.Read(b)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		r.bodyRead = true
	case !r.failed && r.pool != nil:
		r.failed = true
		r.pool.reportMalformed(err)
	}
	return n, err
}

// Close ends the exchange. The connection is returned to the pool if the body
// was read to its end and no further bytes have arrived. Otherwise it is
// closed, so that the server can cancel the request. Further calls do nothing.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	c := r.conn
	r.conn = nil
	if !r.stop() || !r.bodyRead || !r.reusable || c.br.Buffered() > 0 {
		_ = c.nc.Close()
		return
	}
	r.pool.putIdle(c)
}

// AvoidFor keeps a request from being sent again on the connection of r. It must be
// called before Close.
func (r *Response) AvoidFor(id string) {
	if len(r.conn.avoided) == maxAvoidedIDs {
		r.reusable = false
		return
	}
	r.conn.avoided = append(r.conn.avoided, id)
}

// clientConn is the client side of one connection.
type clientConn struct {
	nc          net.Conn
	br          *bufio.Reader
	out         *connWriter
	bw          *bufio.Writer // of out
	idleSince   time.Time
	idleTimeout time.Duration
	exchanges   int
	avoided     []string // IDs of requests that must not be sent on it again
}

// Pool keeps idle connections to one address. Its methods are safe for
// concurrent use; its fields must not change after the first call of Do.
type Pool struct {
	// Address is host:port of the server.
	Address string
	// IdleTimeout is how long an idle connection may be reused. A shorter timeout
	// in a Keep-Alive field of the server takes precedence.
	IdleTimeout time.Duration
	// MaxIdleConns bounds the number of idle connections. A value below 1 acts as
	// 1.
	MaxIdleConns int
	// Dial opens a connection. It may be called concurrently.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnMalformed is called once for each malformed response, with an error that wraps
	// ErrMalformedResponse. It may be called concurrently. Nil means that nothing is to be
	// done.
	OnMalformed func(err error)

	mu    sync.Mutex
	conns []*clientConn
}

// Do sends req and returns the head of the response. Any error is an
// *ExchangeError. The request is sent at most once. When ctx ends before
// Response.Close is called, reads and writes of the exchange fail and the
// connection is not reused.
func (p *Pool) Do(ctx context.Context, req *Request) (*Response, error) {
	c, err := p.getConn(ctx, req)
	if err != nil {
		return nil, &ExchangeError{Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.nc.SetDeadline(time.Unix(1, 0)) })
	resp, sent, err := c.exchange(ctx, req)
	if err != nil {
		stop()
		p.reportMalformed(err)
		if req.Rest != nil {
			closeAborted(c.nc)
		} else {
			_ = c.nc.Close()
		}
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", ctx.Err(), err)
		}
		return nil, &ExchangeError{Sent: sent, Reused: c.exchanges > 0, Err: err}
	}
	c.exchanges++
	resp.pool, resp.conn, resp.stop = p, c, stop
	return resp, nil
}

// reportMalformed calls OnMalformed if err is that of a malformed response.
func (p *Pool) reportMalformed(err error) {
	if p.OnMalformed != nil && errors.Is(err, ErrMalformedResponse) {
		p.OnMalformed(err)
	}
}

// Close closes the idle connections. Connections in use are not affected and
// may become idle later.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.nc.Close()
	}
	p.conns = nil
}

func (p *Pool) getConn(ctx context.Context, req *Request) (*clientConn, error) {
	if c := p.takeIdle(req.MaxIdleTime, req.ID); c != nil {
		return c, nil
	}
	if req.DialTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, req.DialTimeout)
		defer cancel()
	}
	nc, err := p.Dial(ctx, p.Address)
	if err != nil {
		return nil, err
	}
	out := &connWriter{nc: nc}
	return &clientConn{
		nc: nc, br: bufio.NewReaderSize(nc, connBufferSize), out: out, bw: bufio.NewWriterSize(out, connBufferSize), idleTimeout: p.IdleTimeout,
	}, nil
}

// takeIdle removes the most recently used connection that is still open and may
// carry the request id from the pool and returns it. It closes the connections that
// it finds expired or closed by the server. It returns nil if there is none, or if
// it has been idle for longer than maxIdle; 0 means no such limit.
func (p *Pool) takeIdle(maxIdle time.Duration, id string) *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.conns) - 1; i >= 0; i-- {
		c := p.conns[i]
		if maxIdle > 0 && time.Since(c.idleSince) > maxIdle {
			return nil
		}
		if id != "" && slices.Contains(c.avoided, id) {
			continue
		}
		p.conns = slices.Delete(p.conns, i, i+1)
		if time.Since(c.idleSince) < c.idleTimeout && idleAndOpen(c.nc) {
			return c
		}
		_ = c.nc.Close()
	}
	return nil
}

func (p *Pool) putIdle(c *clientConn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.conns) > 0 && (len(p.conns) >= p.MaxIdleConns || time.Since(p.conns[0].idleSince) > p.conns[0].idleTimeout) {
		_ = p.conns[0].nc.Close()
		p.conns = p.conns[1:]
	}
	p.conns = append(p.conns, c)
}

// idleAndOpen reports whether a connection is open and has no bytes to read.
func idleAndOpen(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// exchange sends req and reads the head of the response to it. sent reports
// whether the server may have received the request.
func (c *clientConn) exchange(ctx context.Context, req *Request) (resp *Response, sent bool, err error) {
	if err := c.writeHead(req); err != nil {
		return nil, false, err
	}
	complete := true
	if req.Rest == nil {
		if err := writeBody(c.bw, req.Body, nil, req.Length); err != nil {
			return nil, true, err
		}
		if err := c.bw.Flush(); err != nil {
			return nil, true, err
		}
	} else {
		// The response may arrive before the whole request body was sent.
		written := make(chan error, 1)
		go func() {
			defer func() {
				if v := recover(); v != nil {
					written <- fmt.Errorf("request body: %v", v)
				}
			}()
			err := writeBody(c.bw, req.Body, req.Rest, req.Length)
			if err == nil {
				err = c.bw.Flush()
			}
			written <- err
		}()
		defer func() {
			select {
			case werr := <-written:
				complete = werr == nil
			default:
				complete = false
			}
			if resp != nil && !complete {
				resp.reusable = false
			}
		}()
	}
	resp, err = c.readResponse(ctx, req)
	return resp, true, err
}

func (c *clientConn) writeHead(req *Request) error {
	w := c.bw
	for _, s := range [...]string{req.Method, " ", req.Target, " HTTP/1.1\r\nHost: ", req.Host, "\r\n"} {
		if _, err := w.WriteString(s); err != nil {
			return err
		}
	}
	switch {
	case req.Length == Chunked:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	case req.Length > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch:
		_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(req.Length, 10) + "\r\n")
	}
	writeFields(w, req.Header)
	for _, f := range req.Fields {
		_, _ = w.WriteString(f.Name + ": " + headerValue(f.Value) + "\r\n")
	}
	_, err := w.WriteString("\r\n")
	return err
}

// writeFields writes header fields. Errors are returned by the next write or
// flush of w.
func writeFields(w *bufio.Writer, h http.Header) {
	for name, values := range h {
		for _, v := range values {
			_, _ = w.WriteString(name)
			_, _ = w.WriteString(": ")
			_, _ = w.WriteString(headerValue(v))
			_, _ = w.WriteString("\r\n")
		}
	}
}

// headerValue replaces line breaks and NUL bytes by spaces. A line break in a
// value would start another header field.
func headerValue(v string) string {
	if strings.ContainsAny(v, "\r\n\x00") {
		return strings.NewReplacer("\r", " ", "\n", " ", "\x00", " ").Replace(v)
	}
	return v
}

// readResponse reads heads until one belongs to req. Responses to other
// requests, such as late duplicates, are skipped.
func (c *clientConn) readResponse(ctx context.Context, req *Request) (*Response, error) {
	bytesLeft := int64(maxUnmatchedBytes)
	for range maxUnmatchedResponses {
		if _, err := c.br.Peek(1); err != nil {
			return nil, err
		}
		c.setReadDeadline(ctx, time.Now().Add(responseHeaderTimeout))
		head, err := readResponseHead(c.br)
		if err != nil {
			return nil, err
		}
		f, err := head.framing(req.Method)
		if err != nil {
			return nil, err
		}
		if head.status == http.StatusSwitchingProtocols {
			return nil, errProtocolSwitch
		}
		if head.status < http.StatusOK {
			continue
		}
		if req.Matches == nil || req.Matches(head.status, head.header, c.exchanges > 0) {
			c.setReadDeadline(ctx, time.Time{})
			return c.newResponse(head, f), nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(f.body(c.br, c.out), bytesLeft))
		if err != nil {
			return nil, err
		}
		if bytesLeft -= n; bytesLeft == 0 {
			return nil, errUnmatchedResponses
		}
		// The next response may be the matching one, which may take long.
		c.setReadDeadline(ctx, time.Time{})
	}
	return nil, errUnmatchedResponses
}

// setReadDeadline bounds the next reads. With the zero time only the end of ctx
// bounds them.
func (c *clientConn) setReadDeadline(ctx context.Context, deadline time.Time) {
	_ = c.nc.SetReadDeadline(deadline)
	if ctx.Err() != nil { // the line above may have overwritten the deadline set at the end of ctx
		_ = c.nc.SetDeadline(time.Unix(1, 0))
	}
}

func (c *clientConn) newResponse(head *responseHead, f framing) *Response {
	if s := keepAlive(head.header.Get("Keep-Alive")); s > 0 {
		c.idleTimeout = min(c.idleTimeout, time.Duration(float64(s)*keepAliveFraction))
	}
	reusable := head.keepsConnection() && f.delimited()
	RemoveHopByHopFields(head.header)
	return &Response{Status: head.status, Header: head.header, Length: f.length, Body: f.body(c.br, c.out), EndsWithConnection: !f.delimited(), reusable: reusable}
}

// keepAlive returns the idle timeout that a Keep-Alive field states, or 0.
func keepAlive(field string) time.Duration {
	for part := range strings.SplitSeq(field, ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if s, err := strconv.Atoi(v); err == nil && s > 0 {
				return time.Duration(s) * time.Second
			}
		}
	}
	return 0
}
