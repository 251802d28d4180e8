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
	c.bw = bufio.NewWriterSize(timedWriter{nc}, connBuffer)
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	c.last = make(chan struct{})
	close(c.last)
	return c
}

// timedWriter bounds the time in which a client takes one part of an answer,
// so that a slow client gets a large answer as long as it reads.
type timedWriter struct{ net.Conn }

// Write implements io.Writer.
func (w timedWriter) Write(b []byte) (int, error) {
	_ = w.SetWriteDeadline(time.Now().Add(writeTime))
	return w.Conn.Write(b)
}

// serve reads requests until the connection ends. It keeps reading while
// requests are being handled, and so notices that the client has left.
func (c *conn) serve() {
	defer c.server.track(c, false)
	defer func() {
		if v := recover(); v != nil {
			c.server.panicked(v)
			c.lost()
		}
	}()
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
	c.meter.limit(limits.MaxHeaderBytes)
	if !c.await(limits.IdleTimeout) {
		return false
	}
	if c.server.draining.Load() && !c.settle() {
		return c.linger()
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	req, err := http.ReadRequest(c.br)
	c.meter.unlimit()
	if err != nil {
		return c.refuse(faultOf(err), err)
	}
	if req.ContentLength > limits.MaxBodyBytes {
		return c.refuse(BodyTooLarge, nil)
	}
	x := c.exchange(req)
	if x == nil {
		return c.linger()
	}
	if err := x.readBody(limits.MaxBodyBytes); err != nil {
		switch {
		case errors.Is(err, errTooLarge):
			return c.refuseExchange(x, BodyTooLarge, nil)
		case errors.Is(err, os.ErrDeadlineExceeded):
			return c.refuseExchange(x, BodyTooSlow, nil)
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
		case c.waiting.Load() == 0 && quiet(c.nc):
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
	BodyTooSlow:  http.StatusRequestTimeout,
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
	return c.linger()
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

// fault ends an exchange whose handler failed. The answer promises nothing; a
// part of an answer is never completed.
func (c *conn) fault(x *Exchange) {
	if !x.replied {
		x.CloseAfter = true
		_ = x.Reply(&Reply{Status: http.StatusInternalServerError})
		return
	}
	c.end()
	c.lost()
}

func (c *conn) handle(x *Exchange) {
	defer func() {
		if v := recover(); v != nil {
			c.server.panicked(v)
			c.fault(x)
		}
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
