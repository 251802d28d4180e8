package h1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// maxAnswerHead bounds the head of an answer, in bytes. Usual servers stop
	// at 8 to 64 KiB.
	maxResponseHeaderBytes = 256 << 10
	// maxStrayAnswers is how many answers to other requests are skipped before
	// a connection is given up. One duplicate a connection is what was seen.
	maxUnmatchedResponses = 4
	// maxStrayBytes bounds the bodies of those answers together, in bytes.
	maxUnmatchedBytes = 64 << 10
	// headTime bounds the time from the first byte of an answer to the end of
	// its head, and of answers to other requests. A lost packet is sent again
	// within a second.
	responseHeaderTimeout = 2 * time.Second
	// keepAliveShare is the part of the idle time that a server states after
	// which its connections are no longer used: a request that crosses the
	// close is a possible run.
	keepAliveFraction = 0.7
	// connBuffer is the read and the write buffer of a connection, in bytes. Answers of a few KB fit in.
	connBufferSize = 4 << 10
)

// Failure is an exchange that brought no usable answer.
type ExchangeError struct {
	// Sent says that the other side may have received the request.
	Sent bool
	// Reused says that the connection had served other requests.
	Reused bool
	Err    error
}

// Error implements error.
func (e *ExchangeError) Error() string {
	if e.Sent {
		return "no answer to a request that was sent: " + e.Err.Error()
	}
	return "request was not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Err }

// errStray means that a connection brought only answers to other requests.
var errUnmatchedResponses = errors.New("answers to other requests only")

// errSwitched means that a server changed the protocol unasked.
var errProtocolSwitch = errors.New("server switched protocols unasked")

// Outgoing is one request to send. Header holds no fields that concern one
// connection; it is only read.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte    // whole body, or its start when Rest is set
	Rest                 io.Reader // what follows Body
	Length               int64     // whole length in bytes, or Chunked
	// Echo returns whether an answer belongs to this request; nil accepts any.
	Matches func(status int, h http.Header) bool
	// Fields are sent after Header.
	Fields []Field
	// MaxUnused bounds how long the connection may have been unused, 0 for the
	// bound of the pool. A connection that the server has closed meanwhile
	// loses the request without a sign of whether it was read.
	MaxIdleTime time.Duration
	// DialTime bounds a new connection, 0 for the bound of the pool.
	DialTimeout time.Duration
}

// Field is one header field.
type Field struct{ Name, Value string }

// Answer is the head of an answer. Its body is read from Body; Close must be
// called once.
type Response struct {
	Status int
	Header http.Header
	Length int64 // in bytes, Chunked when the length is not stated
	Body   io.ReadCloser

	pool     *Pool
	conn     *clientConn
	stop     func() bool
	reusable bool
	bodyRead bool
}

// Read implements io.Reader. It returns io.EOF only after the whole body.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.Body.Read(b)
	if errors.Is(err, io.EOF) {
		r.bodyRead = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept if the body was read to its
// end and nothing else is on it; otherwise it is closed, which tells the
// server to drop the request.
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

type clientConn struct {
	nc          net.Conn
	limiter     *limitReader
	br          *bufio.Reader
	bw          *bufio.Writer
	idleSince   time.Time // idle since
	idleTimeout time.Duration
	exchanges   int
}

// Pool keeps connections to one address.
type Pool struct {
	// Address is host:port of the server.
	Address string
	// Idle is how long an unused connection is kept unless the server states
	// less.
	IdleTimeout time.Duration
	// MaxIdle bounds the unused connections.
	MaxIdleConns int
	// Dial opens a connection.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu    sync.Mutex
	conns []*clientConn
}

// Do sends o and returns the head of the answer; the error is a *Failure. The
// request is sent at most once. When ctx ends, the connection is closed.
func (p *Pool) Do(ctx context.Context, req *Request) (*Response, error) {
	c, err := p.getConn(ctx, req)
	if err != nil {
		return nil, &ExchangeError{Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.nc.SetDeadline(time.Unix(1, 0)) })
	resp, sent, err := c.exchange(ctx, req)
	if err != nil {
		stop()
		_ = c.nc.Close()
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", ctx.Err(), err)
		}
		return nil, &ExchangeError{Sent: sent, Reused: c.exchanges > 0, Err: err}
	}
	c.exchanges++
	resp.pool, resp.conn, resp.stop = p, c, stop
	return resp, nil
}

// Close closes the unused connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.nc.Close()
	}
	p.conns = nil
}

func (p *Pool) getConn(ctx context.Context, req *Request) (*clientConn, error) {
	if c := p.takeIdle(req.MaxIdleTime); c != nil {
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
	limiter := &limitReader{Reader: nc}
	return &clientConn{
		nc: nc, limiter: limiter, br: bufio.NewReaderSize(limiter, connBufferSize), bw: bufio.NewWriterSize(nc, connBufferSize), idleTimeout: p.IdleTimeout,
	}, nil
}

// unused returns the connection that was used last and is still open, and
// closes those that are too old.
func (p *Pool) takeIdle(maxIdle time.Duration) *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.conns) > 0 {
		c := p.conns[len(p.conns)-1]
		if maxIdle > 0 && time.Since(c.idleSince) > maxIdle {
			return nil
		}
		p.conns = p.conns[:len(p.conns)-1]
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

// quiet reports whether an unused connection is open and has nothing to read.
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

// exchange sends o and reads the head of its answer.
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
		// The answer may come before the body has been read to its end.
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

// writeFields writes header fields; an error shows at the next write or flush.
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

// headerValue replaces line breaks, with which a value could start a field of
// its own.
func headerValue(v string) string {
	if strings.ContainsAny(v, "\r\n\x00") {
		return strings.NewReplacer("\r", " ", "\n", " ", "\x00", " ").Replace(v)
	}
	return v
}

// readAnswer reads heads until one belongs to o. Answers to other requests,
// such as duplicates that arrive late, are skipped.
func (c *clientConn) readResponse(ctx context.Context, req *Request) (*Response, error) {
	bytesLeft := int64(maxUnmatchedBytes)
	for range maxUnmatchedResponses {
		c.limiter.setLimit(maxResponseHeaderBytes)
		if _, err := c.br.Peek(1); err != nil {
			return nil, err
		}
		c.setReadDeadline(ctx, time.Now().Add(responseHeaderTimeout))
		resp, err := http.ReadResponse(c.br, &http.Request{Method: req.Method})
		if err != nil {
			return nil, err
		}
		c.limiter.clearLimit()
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errProtocolSwitch
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if req.Matches == nil || req.Matches(resp.StatusCode, resp.Header) {
			c.setReadDeadline(ctx, time.Time{})
			return c.newResponse(resp), nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, bytesLeft))
		if err != nil {
			return nil, err
		}
		if bytesLeft -= n; bytesLeft == 0 {
			return nil, errUnmatchedResponses
		}
		// The answer that is due may still take its time.
		c.setReadDeadline(ctx, time.Time{})
	}
	return nil, errUnmatchedResponses
}

// readBy bounds the next reads; the zero time stands for no bound but the end
// of ctx.
func (c *clientConn) setReadDeadline(ctx context.Context, deadline time.Time) {
	_ = c.nc.SetReadDeadline(deadline)
	if ctx.Err() != nil { // it may have ended before the line above
		_ = c.nc.SetDeadline(time.Unix(1, 0))
	}
}

func (c *clientConn) newResponse(resp *http.Response) *Response {
	if s := keepAlive(resp.Header.Get("Keep-Alive")); s > 0 {
		c.idleTimeout = min(c.idleTimeout, time.Duration(float64(s)*keepAliveFraction))
	}
	// Without a length the body ends with the connection.
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	reusable := !resp.Close && framed
	RemoveHopByHopFields(resp.Header)
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: max(resp.ContentLength, Chunked), Body: resp.Body, reusable: reusable,
	}
}

// keepAlive returns the idle time that a Keep-Alive field states, or 0.
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
