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
	"sync"
	"sync/atomic"
	"time"
)

// conn is a connection of a client.
type conn struct {
	server    *Server
	nc        net.Conn
	limiter   *limitReader
	br        *bufio.Reader
	bw        *bufio.Writer
	ctx       context.Context
	cancel    context.CancelCauseFunc
	pending   atomic.Int64 // requests without a complete answer
	pipelined chan struct{}

	mu       sync.Mutex
	lastDone chan struct{} // closed when the newest exchange has ended
	closing  atomic.Bool   // no further request is taken; set with the mutex held
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, nc: nc, limiter: &limitReader{Reader: nc, remaining: math.MaxInt64}, pipelined: make(chan struct{}, maxPipelined)}
	c.br = bufio.NewReaderSize(c.limiter, connBufferSize)
	c.bw = bufio.NewWriterSize(timeoutWriter{nc}, connBufferSize)
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	c.lastDone = make(chan struct{})
	close(c.lastDone)
	return c
}

// timedWriter bounds the time in which a client takes one part of an answer,
// so that a slow client gets a large answer as long as it reads.
type timeoutWriter struct{ net.Conn }

// Write implements io.Writer.
func (w timeoutWriter) Write(b []byte) (int, error) {
	_ = w.SetWriteDeadline(time.Now().Add(writeTimeout))
	return w.Conn.Write(b)
}

// serve reads requests until the connection ends. It keeps reading while
// requests are being handled, and so notices that the client has left.
func (c *conn) serve() {
	defer c.server.track(c, false)
	defer func() {
		if v := recover(); v != nil {
			c.server.reportPanic(v)
			c.closeNow()
		}
	}()
	for c.serveNext() {
	}
}

// finish ends the connection after the answers that are still due.
func (c *conn) closeAfterPending() bool {
	<-c.lastDone
	c.cancel(errLastResponse)
	_ = c.nc.Close()
	return false
}

// lost ends the connection at once.
func (c *conn) closeNow() bool {
	c.cancel(ErrClientGone)
	_ = c.nc.Close()
	return false
}

func (c *conn) serveNext() bool {
	limits := c.server.Limits().orDefaults()
	c.limiter.setLimit(limits.MaxHeaderBytes)
	if !c.waitForRequest(limits.IdleTimeout) {
		return false
	}
	if c.server.draining.Load() && !c.waitForPending() {
		return c.lingeringClose()
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	req, err := http.ReadRequest(c.br)
	c.limiter.clearLimit()
	if err != nil {
		return c.refuse(classifyFault(err), err)
	}
	if req.ContentLength > limits.MaxBodyBytes {
		return c.refuse(BodyTooLarge, nil)
	}
	x := c.newExchange(req)
	if x == nil {
		return c.lingeringClose()
	}
	if err := x.readBody(limits.MaxBodyBytes); err != nil {
		switch {
		case errors.Is(err, errTooLarge):
			return c.refuseExchange(x, BodyTooLarge, nil)
		case errors.Is(err, os.ErrDeadlineExceeded):
			return c.refuseExchange(x, BodyTooSlow, nil)
		}
		x.end()
		return c.closeNow()
	}
	c.pipelined <- struct{}{}
	go c.handle(x)
	if x.Rest != nil {
		<-x.done // the body is read by the handler
		return !c.closing.Load()
	}
	return true
}

// await waits for the first byte of a request. A client that sends nothing is
// disconnected when no answer is due to it.
func (c *conn) waitForRequest(idle time.Duration) bool {
	for {
		if c.closing.Load() {
			return c.lingeringClose()
		}
		_ = c.nc.SetReadDeadline(time.Now().Add(idle))
		_, err := c.br.Peek(1)
		switch {
		case c.closing.Load():
			return c.lingeringClose()
		case err == nil:
			return true
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return c.closeNow()
		case c.pending.Load() == 0 && idleAndOpen(c.nc):
			return c.closeAfterPending()
		}
	}
}

// settle waits until every request that was taken has its answer. While the
// server drains, no request is taken behind others: the last answer ends the
// connection, and its client sends what was not read elsewhere. It returns
// false if that answer was sent.
func (c *conn) waitForPending() bool {
	c.mu.Lock()
	last := c.lastDone
	c.mu.Unlock()
	<-last
	return !c.closing.Load()
}

// linger reads until the client closes its side after the last answer.
// Closing with unread bytes would reset the connection and could destroy the
// answer on its way.
func (c *conn) lingeringClose() bool {
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.br)
	return c.closeAfterPending()
}

func classifyFault(err error) Fault {
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
	BodyTooSlow:  http.StatusRequestTimeout,
}

// refuse answers what is no acceptable request, in its turn, and ends the
// connection.
func (c *conn) refuse(f Fault, err error) bool {
	if f == "" {
		return c.closeNow()
	}
	x := c.newExchange(&http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1})
	if x == nil {
		return c.lingeringClose()
	}
	return c.refuseExchange(x, f, err)
}

func (c *conn) refuseExchange(x *Exchange, f Fault, err error) bool {
	c.server.OnFault(c.nc.RemoteAddr(), f, err)
	x.CloseAfter = true
	_ = x.Reply(&Reply{Status: faultStatus[f]})
	x.end()
	return c.lingeringClose()
}

// exchange appends a request to those that wait for their answer. It returns
// nil if the last answer of the connection is on its way already.
func (c *conn) newExchange(req *http.Request) *Exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing.Load() {
		return nil
	}
	x := &Exchange{Request: req, Arrived: time.Now(), conn: c, previousDone: c.lastDone, done: make(chan struct{})}
	c.lastDone = x.done
	c.pending.Add(1)
	c.server.active.Add(1)
	return x
}

// end takes no further request. It reports whether that is new.
func (c *conn) beginClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing.Swap(true)
}

// endAfter takes no further request if the answer to x is the last one: it has
// to be, or the server drains and nothing was taken behind x. What was taken is
// answered, because it may be running already.
func (c *conn) beginClosingAfter(x *Exchange, forced bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if forced || c.server.draining.Load() && c.lastDone == x.done {
		c.closing.Store(true)
		return true
	}
	return false
}

// fault ends an exchange whose handler failed. The answer promises nothing; a
// part of an answer is never completed.
func (c *conn) failExchange(x *Exchange) {
	if !x.replied {
		x.CloseAfter = true
		_ = x.Reply(&Reply{Status: http.StatusInternalServerError})
		return
	}
	c.beginClosing()
	c.closeNow()
}

func (c *conn) handle(x *Exchange) {
	defer func() {
		if v := recover(); v != nil {
			c.server.reportPanic(v)
			c.failExchange(x)
		}
		x.end()
		<-c.pipelined
	}()
	if c.server.Concurrent == nil || !c.server.Concurrent(x) {
		if !x.waitForTurn() {
			return
		}
	}
	c.server.Handle(x)
}
