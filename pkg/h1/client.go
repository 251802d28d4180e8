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
	maxAnswerHead = 256 << 10
	// maxStrayAnswers is how many answers to other requests are skipped before
	// a connection is given up. One duplicate a connection is what was seen.
	maxStrayAnswers = 4
	// maxStrayBytes bounds the bodies of those answers together, in bytes.
	maxStrayBytes = 64 << 10
	// headTime bounds the time from the first byte of an answer to the end of
	// its head, and of answers to other requests. A lost packet is sent again
	// within a second.
	headTime = 2 * time.Second
	// keepAliveShare is the part of the idle time that a server states after
	// which its connections are no longer used: a request that crosses the
	// close is a possible run.
	keepAliveShare = 0.7
	// connBuffer is the read and the write buffer of a connection, in bytes. Answers of a few KB fit in.
	connBuffer = 4 << 10
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
func (f *ExchangeError) Error() string {
	if f.Sent {
		return "no answer to a request that was sent: " + f.Err.Error()
	}
	return "request was not sent: " + f.Err.Error()
}

// Unwrap returns the cause.
func (f *ExchangeError) Unwrap() error { return f.Err }

// errStray means that a connection brought only answers to other requests.
var errStray = errors.New("answers to other requests only")

// errSwitched means that a server changed the protocol unasked.
var errSwitched = errors.New("server switched protocols unasked")

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
	ended    bool
}

// Read implements io.Reader. It returns io.EOF only after the whole body.
func (a *Response) Read(b []byte) (int, error) {
	n, err := a.Body.Read(b)
	if errors.Is(err, io.EOF) {
		a.ended = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept if the body was read to its
// end and nothing else is on it; otherwise it is closed, which tells the
// server to drop the request.
func (a *Response) Close() {
	if a.conn == nil {
		return
	}
	c := a.conn
	a.conn = nil
	if !a.stop() || !a.ended || !a.reusable || c.br.Buffered() > 0 {
		_ = c.nc.Close()
		return
	}
	a.pool.put(c)
}

type clientConn struct {
	nc     net.Conn
	meter  *meter
	br     *bufio.Reader
	bw     *bufio.Writer
	since  time.Time // idle since
	idle   time.Duration
	served int
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
func (p *Pool) Do(ctx context.Context, o *Request) (*Response, error) {
	c, err := p.get(ctx, o)
	if err != nil {
		return nil, &ExchangeError{Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.nc.SetDeadline(time.Unix(1, 0)) })
	a, sent, err := c.exchange(ctx, o)
	if err != nil {
		stop()
		_ = c.nc.Close()
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", ctx.Err(), err)
		}
		return nil, &ExchangeError{Sent: sent, Reused: c.served > 0, Err: err}
	}
	c.served++
	a.pool, a.conn, a.stop = p, c, stop
	return a, nil
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

func (p *Pool) get(ctx context.Context, o *Request) (*clientConn, error) {
	if c := p.unused(o.MaxIdleTime); c != nil {
		return c, nil
	}
	if o.DialTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, o.DialTimeout)
		defer cancel()
	}
	nc, err := p.Dial(ctx, p.Address)
	if err != nil {
		return nil, err
	}
	m := &meter{Reader: nc}
	return &clientConn{
		nc: nc, meter: m, br: bufio.NewReaderSize(m, connBuffer), bw: bufio.NewWriterSize(nc, connBuffer), idle: p.IdleTimeout,
	}, nil
}

// unused returns the connection that was used last and is still open, and
// closes those that are too old.
func (p *Pool) unused(limit time.Duration) *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.conns) > 0 {
		c := p.conns[len(p.conns)-1]
		if limit > 0 && time.Since(c.since) > limit {
			return nil
		}
		p.conns = p.conns[:len(p.conns)-1]
		if time.Since(c.since) < c.idle && quiet(c.nc) {
			return c
		}
		_ = c.nc.Close()
	}
	return nil
}

func (p *Pool) put(c *clientConn) {
	c.since = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.conns) > 0 && (len(p.conns) >= p.MaxIdleConns || time.Since(p.conns[0].since) > p.conns[0].idle) {
		_ = p.conns[0].nc.Close()
		p.conns = p.conns[1:]
	}
	p.conns = append(p.conns, c)
}

// quiet reports whether an unused connection is open and has nothing to read.
func quiet(nc net.Conn) bool {
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
func (c *clientConn) exchange(ctx context.Context, o *Request) (a *Response, sent bool, err error) {
	if err := c.writeHead(o); err != nil {
		return nil, false, err
	}
	whole := true
	if o.Rest == nil {
		if err := writeBody(c.bw, o.Body, nil, o.Length); err != nil {
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
			err := writeBody(c.bw, o.Body, o.Rest, o.Length)
			if err == nil {
				err = c.bw.Flush()
			}
			written <- err
		}()
		defer func() {
			select {
			case werr := <-written:
				whole = werr == nil
			default:
				whole = false
			}
			if a != nil && !whole {
				a.reusable = false
			}
		}()
	}
	a, err = c.readAnswer(ctx, o)
	return a, true, err
}

func (c *clientConn) writeHead(o *Request) error {
	w := c.bw
	for _, s := range [...]string{o.Method, " ", o.Target, " HTTP/1.1\r\nHost: ", o.Host, "\r\n"} {
		if _, err := w.WriteString(s); err != nil {
			return err
		}
	}
	switch {
	case o.Length == Chunked:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	case o.Length > 0 || o.Method == http.MethodPost || o.Method == http.MethodPut || o.Method == http.MethodPatch:
		_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(o.Length, 10) + "\r\n")
	}
	writeFields(w, o.Header)
	for _, f := range o.Fields {
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
func (c *clientConn) readAnswer(ctx context.Context, o *Request) (*Response, error) {
	strayLeft := int64(maxStrayBytes)
	for range maxStrayAnswers {
		c.meter.limit(maxAnswerHead)
		if _, err := c.br.Peek(1); err != nil {
			return nil, err
		}
		c.readBy(ctx, time.Now().Add(headTime))
		resp, err := http.ReadResponse(c.br, &http.Request{Method: o.Method})
		if err != nil {
			return nil, err
		}
		c.meter.unlimit()
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errSwitched
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if o.Matches == nil || o.Matches(resp.StatusCode, resp.Header) {
			c.readBy(ctx, time.Time{})
			return c.answer(resp), nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, strayLeft))
		if err != nil {
			return nil, err
		}
		if strayLeft -= n; strayLeft == 0 {
			return nil, errStray
		}
		// The answer that is due may still take its time.
		c.readBy(ctx, time.Time{})
	}
	return nil, errStray
}

// readBy bounds the next reads; the zero time stands for no bound but the end
// of ctx.
func (c *clientConn) readBy(ctx context.Context, t time.Time) {
	_ = c.nc.SetReadDeadline(t)
	if ctx.Err() != nil { // it may have ended before the line above
		_ = c.nc.SetDeadline(time.Unix(1, 0))
	}
}

func (c *clientConn) answer(resp *http.Response) *Response {
	if s := keepAlive(resp.Header.Get("Keep-Alive")); s > 0 {
		c.idle = min(c.idle, time.Duration(float64(s)*keepAliveShare))
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
