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

// conn is the server side of one client connection.
type conn struct {
	server    *Server
	nc        net.Conn
	limiter   *limitReader
	br        *bufio.Reader
	bw        *bufio.Writer
	ctx       context.Context
	cancel    context.CancelCauseFunc
	pending   atomic.Int64  // requests without a complete response
	pipelined chan struct{} // semaphore of maxPipelined requests

	mu       sync.Mutex
	lastDone chan struct{} // closed when the newest exchange has ended
	closing  atomic.Bool   // no further request is accepted; set while mu is held
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

// timeoutWriter applies writeTimeout to each write. A slow client receives a
// large response completely as long as it keeps reading.
type timeoutWriter struct{ net.Conn }

// Write implements io.Writer.
func (w timeoutWriter) Write(b []byte) (int, error) {
	_ = w.SetWriteDeadline(time.Now().Add(writeTimeout))
	return w.Conn.Write(b)
}

// serve reads requests until the connection ends. It keeps reading while
// requests are being handled, so that it detects a client disconnect.
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

// closeAfterPending closes the connection once all pending exchanges have
// ended. It returns false, which is the result of serveNext.
func (c *conn) closeAfterPending() bool {
	<-c.lastDone
	c.cancel(errLastResponse)
	_ = c.nc.Close()
	return false
}

// closeNow cancels the exchanges and closes the connection at once. It returns
// false, which is the result of serveNext.
func (c *conn) closeNow() bool {
	c.cancel(ErrClientGone)
	_ = c.nc.Close()
	return false
}

// serveNext reads the next request and starts its handler. It returns false if
// the connection has ended.
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
	if x.rest != nil {
		c.watchDisconnect(x) // the body is read by the handler
		return !c.closing.Load() || c.lingeringClose()
	}
	return true
}

// waitForRequest waits for the first byte of a request. When nothing arrives
// within idle and no response is pending, it closes the connection and returns
// false.
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

// waitForPending waits until every accepted request has its response. While the
// server drains, no request is accepted until then: the response to the last
// accepted request ends the connection, and the client sends unread requests to
// another server. It returns false if that response was sent.
func (c *conn) waitForPending() bool {
	c.mu.Lock()
	last := c.lastDone
	c.mu.Unlock()
	<-last
	return !c.closing.Load()
}

// lingeringClose reads until the client closes its side after the last
// response, for at most lingerTimeout, and then closes the connection. Closing
// with unread bytes would reset the connection, and the client could lose a
// response that is still in transit.
func (c *conn) lingeringClose() bool {
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.br)
	return c.closeAfterPending()
}

// classifyFault returns the fault for an error of reading a request head, or ""
// if the connection was lost.
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

// refuse responds to a request head that cannot be accepted, after the
// responses to earlier requests, and ends the connection. If f is "", the
// connection was lost, and it is closed without a response.
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

// newExchange adds a request to the pending ones. It returns nil if the last
// response of the connection is already being sent.
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

// beginClosing stops the acceptance of further requests. It returns false if it
// was already stopped.
func (c *conn) beginClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing.Swap(true)
}

// beginClosingAfter reports whether the response to x is the last one of the
// connection, and if so stops the acceptance of further requests. That is the
// case if forced is set, or if the server drains and no request was accepted
// after x. Accepted requests get a response, because they may already be
// running.
func (c *conn) beginClosingAfter(x *Exchange, forced bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if forced || c.server.draining.Load() && c.lastDone == x.done {
		c.closing.Store(true)
		return true
	}
	return false
}

// failExchange ends an exchange whose handler panicked. If no response was
// started, it sends status 500, which does not say whether the request ran. A
// partly sent response is never completed.
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
