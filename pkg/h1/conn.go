package h1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// conn is a connection of a client.
type conn struct {
	server  *Server
	nc      net.Conn
	meter   *meter
	br      *bufio.Reader
	bw      *bufio.Writer
	ctx     context.Context
	cancel  context.CancelCauseFunc
	waiting atomic.Int64 // requests without a complete answer
	slots   chan struct{}

	mu    sync.Mutex
	last  chan struct{} // closed when the newest exchange has ended
	ended atomic.Bool   // no further request is taken; set with the mutex held
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, nc: nc, meter: &meter{Reader: nc, left: math.MaxInt64}, slots: make(chan struct{}, maxPipelined)}
	c.br = bufio.NewReaderSize(c.meter, connBuffer)
	c.bw = bufio.NewWriterSize(nc, connBuffer)
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	c.last = make(chan struct{})
	close(c.last)
	return c
}

// serve reads requests until the connection ends. It keeps reading while
// requests are being handled, and so notices that the client has left.
func (c *conn) serve() {
	defer c.server.track(c, false)
	for c.next() {
	}
}

// finish ends the connection after the answers that are still due.
func (c *conn) finish() bool {
	<-c.last
	c.cancel(errLastAnswer)
	_ = c.nc.Close()
	return false
}

// lost ends the connection at once.
func (c *conn) lost() bool {
	c.cancel(ErrClientGone)
	_ = c.nc.Close()
	return false
}

func (c *conn) next() bool {
	limits := c.server.Limits().orDefaults()
	c.meter.limit(limits.HeaderBytes)
	if !c.await(limits.IdleTime) {
		return false
	}
	if c.server.draining.Load() && !c.settle() {
		return c.linger()
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(limits.HeaderTime))
	req, err := http.ReadRequest(c.br)
	c.meter.unlimit()
	if err != nil {
		return c.refuse(faultOf(err), err)
	}
	if req.ContentLength > limits.BodyBytes {
		return c.refuse(BodyTooLarge, nil)
	}
	x := c.exchange(req)
	if x == nil {
		return c.linger()
	}
	if err := x.readBody(limits.BodyBytes); err != nil {
		if errors.Is(err, errTooLarge) {
			return c.refuseExchange(x, BodyTooLarge, nil)
		}
		x.end()
		return c.lost()
	}
	c.slots <- struct{}{}
	go c.handle(x)
	if x.Rest != nil {
		<-x.done // the body is read by the handler
		return !c.ended.Load()
	}
	return true
}

// await waits for the first byte of a request. A client that sends nothing is
// disconnected when no answer is due to it.
func (c *conn) await(idle time.Duration) bool {
	for {
		if c.ended.Load() {
			return c.linger()
		}
		_ = c.nc.SetReadDeadline(time.Now().Add(idle))
		_, err := c.br.Peek(1)
		switch {
		case c.ended.Load():
			return c.linger()
		case err == nil:
			return true
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return c.lost()
		case c.waiting.Load() == 0:
			return c.finish()
		}
	}
}

// settle waits until every request that was taken has its answer. While the
// server drains, no request is taken behind others: the last answer ends the
// connection, and its client sends what was not read elsewhere. It returns
// false if that answer was sent.
func (c *conn) settle() bool {
	c.mu.Lock()
	last := c.last
	c.mu.Unlock()
	<-last
	return !c.ended.Load()
}

// linger reads until the client closes its side after the last answer.
// Closing with unread bytes would reset the connection and could destroy the
// answer on its way.
func (c *conn) linger() bool {
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, c.br)
	return c.finish()
}

func faultOf(err error) Fault {
	switch {
	case errors.Is(err, errTooLarge):
		return HeadTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return HeadTooSlow
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return ""
	}
	var ne net.Error
	if errors.As(err, &ne) {
		return ""
	}
	return Malformed
}

var faultStatus = map[Fault]int{
	Malformed:    http.StatusBadRequest,
	HeadTooLarge: http.StatusRequestHeaderFieldsTooLarge,
	HeadTooSlow:  http.StatusRequestTimeout,
	BodyTooLarge: http.StatusRequestEntityTooLarge,
}

// refuse answers what is no acceptable request, in its turn, and ends the
// connection.
func (c *conn) refuse(f Fault, err error) bool {
	if f == "" {
		return c.lost()
	}
	x := c.exchange(&http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1})
	if x == nil {
		return c.linger()
	}
	return c.refuseExchange(x, f, err)
}

func (c *conn) refuseExchange(x *Exchange, f Fault, err error) bool {
	c.server.OnFault(c.nc.RemoteAddr(), f, err)
	x.CloseAfter = true
	_ = x.Reply(&Reply{Status: faultStatus[f]})
	x.end()
	return c.finish()
}

// exchange appends a request to those that wait for their answer. It returns
// nil if the last answer of the connection is on its way already.
func (c *conn) exchange(req *http.Request) *Exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended.Load() {
		return nil
	}
	x := &Exchange{Request: req, Arrived: time.Now(), conn: c, turn: c.last, done: make(chan struct{})}
	c.last = x.done
	c.waiting.Add(1)
	c.server.active.Add(1)
	return x
}

// end takes no further request. It reports whether that is new.
func (c *conn) end() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.ended.Swap(true)
}

// endAfter takes no further request if the answer to x is the last one: it has
// to be, or the server drains and nothing was taken behind x. What was taken is
// answered, because it may be running already.
func (c *conn) endAfter(x *Exchange, must bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if must || c.server.draining.Load() && c.last == x.done {
		c.ended.Store(true)
		return true
	}
	return false
}

func (c *conn) handle(x *Exchange) {
	defer func() {
		x.end()
		<-c.slots
	}()
	if c.server.Concurrent == nil || !c.server.Concurrent(x) {
		if !x.await() {
			return
		}
	}
	c.server.Handle(x)
}

// Exchange is one request and its answer.
type Exchange struct {
	Request *http.Request
	// Body is the whole body, or its start when Rest is set.
	Body []byte
	// Rest is what follows Body. It must not be read after the answer.
	Rest io.Reader
	// Length is the whole length of the body in bytes, or Chunked.
	Length  int64
	Arrived time.Time
	// CloseAfter makes the answer the last one of the connection.
	CloseAfter bool

	conn    *conn
	turn    chan struct{} // closed when the answer may be sent
	done    chan struct{}
	closing atomic.Bool
	replied bool
}

// Context ends when the client leaves or the connection ends.
func (x *Exchange) Context() context.Context { return x.conn.ctx }

// Replied reports whether an answer was begun.
func (x *Exchange) Replied() bool { return x.replied }

// readBody reads the body into memory if it is short enough.
func (x *Exchange) readBody(limit int64) error {
	r := x.Request
	if r.ContentLength == 0 && len(r.TransferEncoding) == 0 {
		return nil
	}
	if r.Header.Get("Expect") != "" && x.conn.br.Buffered() == 0 {
		x.conn.sendContinue(x)
	}
	r.Header.Del("Expect")
	body := &timedBody{Reader: r.Body, conn: x.conn, left: limit}
	size := r.ContentLength
	if size < 0 || size > bodyBuffer {
		size = bodyBuffer
	}
	held, err := io.ReadAll(io.LimitReader(body, size))
	if err != nil {
		return err
	}
	x.Body, x.Length = held, int64(len(held))
	switch {
	case r.ContentLength > int64(len(held)):
		if int64(len(held)) < size {
			return io.ErrUnexpectedEOF
		}
		x.Rest, x.Length = body, r.ContentLength
	case r.ContentLength < 0:
		var next [1]byte
		n, err := io.ReadFull(body, next[:])
		if n == 1 {
			x.Body, x.Rest, x.Length = append(held, next[0]), body, Chunked
			return nil
		}
		if !errors.Is(err, io.EOF) {
			return err
		}
	}
	return nil
}

func (c *conn) sendContinue(x *Exchange) {
	if x.await() {
		_, _ = c.bw.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
		_ = c.bw.Flush()
	}
}

// timedBody bounds the size of a body and the pauses within it.
type timedBody struct {
	io.Reader
	conn *conn
	left int64
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	if b.left < 0 {
		return 0, errTooLarge
	}
	_ = b.conn.nc.SetReadDeadline(time.Now().Add(bodyStall))
	n, err := b.Reader.Read(p)
	b.left -= int64(n)
	return n, err
}

// await blocks until the answers to earlier requests were sent. It returns
// false if there will be no turn.
func (x *Exchange) await() bool {
	select {
	case <-x.turn:
	case <-x.conn.ctx.Done():
		return false
	}
	return !x.conn.ended.Load() && x.conn.ctx.Err() == nil
}

// end lets the next exchange send its answer.
func (x *Exchange) end() {
	if x.closing.Swap(true) {
		return
	}
	<-x.turn
	if !x.replied && x.conn.end() {
		x.conn.lost()
	}
	x.conn.waiting.Add(-1)
	x.conn.server.active.Add(-1)
	close(x.done)
}

// Reply is an answer to send.
type Reply struct {
	Status int
	Header http.Header // without fields that concern one connection
	Body   []byte      // whole body, or its start when Rest is set
	Rest   io.Reader   // what follows Body
	Length int64       // whole length in bytes, or Chunked; used with Rest only
}

// errNoTurn means that the connection ended before the answer's turn.
var errNoTurn = errors.New("connection ended before the answer's turn")

// errConnClosed means that an answer was broken off.
var errConnClosed = errors.New("answer was broken off; the connection is closed")

// Reply sends an answer in its turn. After an error the connection is closed,
// so that a part of an answer is never taken for the whole.
func (x *Exchange) Reply(r *Reply) error {
	if !x.await() {
		return errNoTurn
	}
	c := x.conn
	x.replied = true
	old := x.Request.ProtoMajor == 1 && x.Request.ProtoMinor == 0
	last := c.endAfter(x, x.CloseAfter || x.Request.Close || x.Rest != nil || old)
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTime))
	err := c.write(x, r, last, old)
	if err != nil {
		c.end()
		c.lost()
		return errors.Join(errConnClosed, err)
	}
	if last {
		c.closeWrite()
	}
	return nil
}

// closeWrite ends this side of the connection after its last answer.
func (c *conn) closeWrite() {
	c.cancel(errLastAnswer)
	if t, ok := c.nc.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTime))
}

// lingerTime bounds the wait for a client to close after the last answer.
const lingerTime = time.Second

func (c *conn) write(x *Exchange, r *Reply, last, old bool) error {
	w := c.bw
	length := r.Length
	if r.Rest == nil {
		length = int64(len(r.Body))
	}
	_, _ = w.WriteString("HTTP/1.1 " + strconv.Itoa(r.Status) + " " + http.StatusText(r.Status) + "\r\n")
	writeFields(w, r.Header)
	bare := r.Status == http.StatusNoContent || r.Status == http.StatusNotModified
	head := x.Request.Method == http.MethodHead
	switch {
	case bare:
	case length != Chunked:
		_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(length, 10) + "\r\n")
	case !old:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	}
	if last {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	_, _ = w.WriteString("\r\n")
	if !bare && !head {
		if length == Chunked && old {
			length = math.MaxInt64 // ends with the connection
		}
		if err := writeBody(w, r.Body, r.Rest, length); err != nil && !(old && errors.Is(err, errShortBody)) {
			return err
		}
	}
	return w.Flush()
}
