package h1

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// Exchange is one request that a Server received, and its response. It is meant
// for use by the goroutine of Server.Handle; only Context is safe for concurrent
// use.
type Exchange struct {
	Request *http.Request
	// Body is the whole body, or its start when Rest is set.
	Body []byte
	// Rest is the part of the body after Body, nil if there is none. It must not
	// be read after the response was sent. A read fails if the body exceeds
	// Limits.MaxBodyBytes or if no part of it arrives for 10 s.
	Rest io.Reader
	// Length is the whole length of the body in bytes, or Chunked.
	Length int64
	// Arrived is when the head of the request had been read.
	Arrived time.Time
	// CloseAfter makes the response the last one of the connection. It must be
	// set before Reply.
	CloseAfter bool

	conn         *conn
	rest         *restReader   // Rest
	previousDone chan struct{} // closed when the response may be sent
	done         chan struct{}
	ended        atomic.Bool
	replied      bool
}

// Context returns a context that ends when the client disconnects or the
// connection is closed. ClientGone tells whether that is why a derived context
// has ended.
func (x *Exchange) Context() context.Context { return x.conn.ctx }

// readBody reads up to maxBufferedBody bytes of the body into Body; Rest and
// Length are set accordingly. limit bounds the whole body, in bytes.
func (x *Exchange) readBody(limit int64) error {
	r := x.Request
	if r.ContentLength == 0 && len(r.TransferEncoding) == 0 {
		return nil
	}
	if r.Header.Get("Expect") != "" && x.conn.br.Buffered() == 0 {
		x.conn.sendContinue(x)
	}
	r.Header.Del("Expect")
	body := &bodyReader{Reader: r.Body, conn: x.conn, remaining: limit, deadline: time.Now().Add(bodyTimeout)}
	size := r.ContentLength
	if size < 0 || size > maxBufferedBody {
		size = maxBufferedBody
	}
	buffered, err := io.ReadAll(io.LimitReader(body, size))
	if err != nil {
		return err
	}
	x.Body, x.Length = buffered, int64(len(buffered))
	switch {
	case r.ContentLength > int64(len(buffered)):
		if int64(len(buffered)) < size {
			return io.ErrUnexpectedEOF
		}
		body.deadline = time.Time{}
		x.setRest(body, r.ContentLength)
	case r.ContentLength < 0:
		var next [1]byte
		n, err := io.ReadFull(body, next[:])
		if n == 1 {
			body.deadline = time.Time{}
			x.Body = append(buffered, next[0])
			x.setRest(body, Chunked)
			return nil
		}
		if !errors.Is(err, io.EOF) {
			return err
		}
	}
	return nil
}

func (x *Exchange) setRest(body *bodyReader, length int64) {
	x.rest = &restReader{body: body}
	x.Rest, x.Length = x.rest, length
}

func (c *conn) sendContinue(x *Exchange) {
	if x.waitForTurn() {
		_, _ = c.bw.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
		_ = c.bw.Flush()
	}
}

// bodyReader bounds the size of a request body and the time between its parts.
type bodyReader struct {
	io.Reader
	conn      *conn
	remaining int64
	// deadline bounds the time of a body that is read into memory. It is zero
	// once a handler reads the body, whose time the deadline of the call bounds.
	deadline time.Time
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	if b.remaining < 0 {
		return 0, errTooLarge
	}
	deadline := time.Now().Add(bodyReadTimeout)
	if !b.deadline.IsZero() && b.deadline.Before(deadline) {
		deadline = b.deadline
	}
	_ = b.conn.nc.SetReadDeadline(deadline)
	if b.conn.server.bodyReadsAborted.Load() { // the line above may have overwritten the deadline of AbortBodyReads
		_ = b.conn.nc.SetReadDeadline(time.Unix(1, 0))
	}
	n, err := b.Reader.Read(p)
	b.remaining -= int64(n)
	return n, err
}

// waitForTurn blocks until the responses to earlier requests were sent. It
// returns false if the connection ends before.
func (x *Exchange) waitForTurn() bool {
	select {
	case <-x.previousDone:
	case <-x.conn.ctx.Done():
		return false
	}
	return !x.conn.closing.Load() && x.conn.ctx.Err() == nil
}

// end allows the next exchange to send its response. If x got no response, it
// closes the connection instead, unless the connection is already closing.
func (x *Exchange) end() {
	if x.ended.Swap(true) {
		return
	}
	<-x.previousDone
	if !x.replied && x.conn.beginClosing() {
		x.conn.closeNow()
	}
	x.conn.pending.Add(-1)
	x.conn.server.active.Add(-1)
	close(x.done)
}

// Reply is a response to send by Exchange.Reply.
type Reply struct {
	Status int
	Header http.Header // without hop-by-hop fields
	Body   []byte      // whole body, or its start when Rest is set
	Rest   io.Reader   // what follows Body
	Length int64       // whole length in bytes, or Chunked; used with Rest only
}

// errClosedBeforeTurn means that the connection ended before the response could
// be sent.
var errClosedBeforeTurn = errors.New("connection ended before the response could be sent")

// errResponseAborted means that the connection was closed after a part of the
// response.
var errResponseAborted = errors.New("response was cut off; connection closed")

// Reply waits until the responses to earlier requests were sent and then sends
// r. It must be called at most once. It returns an error if the connection has
// ended or ends before the whole response was sent, or if reading r.Rest fails.
// The connection is then closed, so that the client never takes a partial
// response for a complete one.
func (x *Exchange) Reply(r *Reply) error {
	if !x.waitForTurn() {
		return errClosedBeforeTurn
	}
	c := x.conn
	x.replied = true
	http10 := x.Request.ProtoMajor == 1 && x.Request.ProtoMinor == 0
	last := c.beginClosingAfter(x, x.CloseAfter || x.Request.Close || x.Rest != nil || http10)
	err := c.write(x, r, last, http10)
	if err != nil {
		c.beginClosing()
		if t, ok := c.nc.(*net.TCPConn); ok && http10 {
			_ = t.SetLinger(0) // an orderly end may be that of the response
		}
		c.closeNow()
		return errors.Join(errResponseAborted, err)
	}
	if last {
		c.closeWrite()
	}
	return nil
}

// closeWrite closes the sending side of the connection after its last response.
func (c *conn) closeWrite() {
	c.cancel(errLastResponse)
	if t, ok := c.nc.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// lingerTimeout bounds the wait for the client to close its side after the last
// response.
const lingerTimeout = time.Second

func (c *conn) write(x *Exchange, r *Reply, last, http10 bool) error {
	w := c.bw
	length := r.Length
	if r.Rest == nil {
		length = int64(len(r.Body))
	}
	_, _ = w.WriteString("HTTP/1.1 " + strconv.Itoa(r.Status) + " " + http.StatusText(r.Status) + "\r\n")
	writeFields(w, r.Header)
	noBody := r.Status == http.StatusNoContent || r.Status == http.StatusNotModified
	isHead := x.Request.Method == http.MethodHead
	switch {
	case noBody:
	case length != Chunked:
		_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(length, 10) + "\r\n")
	case !http10:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	}
	if last {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	_, _ = w.WriteString("\r\n")
	if !noBody && !isHead {
		if length == Chunked && http10 {
			length = math.MaxInt64 // HTTP/1.0 has no chunks: the body ends with the connection
		}
		if err := writeBody(w, r.Body, r.Rest, length); err != nil && !(http10 && errors.Is(err, errShortBody)) {
			return err
		}
	}
	return w.Flush()
}
