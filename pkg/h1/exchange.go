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

	conn         *conn
	previousDone chan struct{} // closed when the answer may be sent
	done         chan struct{}
	ended        atomic.Bool
	replied      bool
}

// Context ends when the client leaves or the connection ends.
func (x *Exchange) Context() context.Context { return x.conn.ctx }

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
		x.Rest, x.Length = body, r.ContentLength
	case r.ContentLength < 0:
		var next [1]byte
		n, err := io.ReadFull(body, next[:])
		if n == 1 {
			body.deadline = time.Time{}
			x.Body, x.Rest, x.Length = append(buffered, next[0]), body, Chunked
			return nil
		}
		if !errors.Is(err, io.EOF) {
			return err
		}
	}
	return nil
}

func (c *conn) sendContinue(x *Exchange) {
	if x.waitForTurn() {
		_, _ = c.bw.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
		_ = c.bw.Flush()
	}
}

// timedBody bounds the size of a body and the pauses within it.
type bodyReader struct {
	io.Reader
	conn      *conn
	remaining int64
	// until bounds the time of the whole body; the deadline of the call does
	// once a handler reads it.
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
	if b.conn.server.bodyReadsAborted.Load() { // the line above may have come after EndBodies
		_ = b.conn.nc.SetReadDeadline(time.Unix(1, 0))
	}
	n, err := b.Reader.Read(p)
	b.remaining -= int64(n)
	return n, err
}

// await blocks until the answers to earlier requests were sent. It returns
// false if there will be no turn.
func (x *Exchange) waitForTurn() bool {
	select {
	case <-x.previousDone:
	case <-x.conn.ctx.Done():
		return false
	}
	return !x.conn.closing.Load() && x.conn.ctx.Err() == nil
}

// end lets the next exchange send its answer.
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

// Reply is an answer to send.
type Reply struct {
	Status int
	Header http.Header // without fields that concern one connection
	Body   []byte      // whole body, or its start when Rest is set
	Rest   io.Reader   // what follows Body
	Length int64       // whole length in bytes, or Chunked; used with Rest only
}

// errNoTurn means that the connection ended before the answer's turn.
var errClosedBeforeTurn = errors.New("connection ended before the answer's turn")

// errConnClosed means that an answer was broken off.
var errResponseAborted = errors.New("answer was broken off; the connection is closed")

// Reply sends an answer in its turn. After an error the connection is closed,
// so that a part of an answer is never taken for the whole.
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
		c.closeNow()
		return errors.Join(errResponseAborted, err)
	}
	if last {
		c.closeWrite()
	}
	return nil
}

// closeWrite ends this side of the connection after its last answer.
func (c *conn) closeWrite() {
	c.cancel(errLastResponse)
	if t, ok := c.nc.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// lingerTime bounds the wait for a client to close after the last answer.
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
			length = math.MaxInt64 // ends with the connection
		}
		if err := writeBody(w, r.Body, r.Rest, length); err != nil && !(http10 && errors.Is(err, errShortBody)) {
			return err
		}
	}
	return w.Flush()
}
