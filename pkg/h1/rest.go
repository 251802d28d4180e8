package h1

import (
	"errors"
	"io"
	"os"
	"sync"
)

const (
	// readAheadStep is the number of bytes that are read ahead at once.
	readAheadStep = copyBufferSize
	// maxReadAhead bounds the bytes that are read ahead for all requests of a server.
	// A request beyond it is served as before; that its client has left is then
	// noticed only if the client's side of the connection has no more bytes to send.
	maxReadAhead = 8 << 20
)

// restReader is the part of a request body that its handler reads. Until the handler
// begins, readAhead reads it into memory. A client that closes its connection cannot
// report that before the server has taken what it sent.
type restReader struct {
	mu      sync.Mutex
	body    *bodyReader
	ahead   []byte // was read ahead and not yet by the handler
	err     error  // of readAhead, also io.EOF
	started bool   // the handler has begun to read
	// reserved are the bytes that readAhead has taken of the limit of the server.
	reserved int64
}

// Read implements io.Reader.
func (r *restReader) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started = true
	if len(r.ahead) > 0 {
		n := copy(p, r.ahead)
		r.ahead = r.ahead[n:]
		return n, nil
	}
	if r.err != nil {
		return 0, r.err
	}
	return r.body.Read(p)
}

// readAhead reads bytes into memory until the body ends, the handler begins to read, the
// limit of the server is reached or done is closed. It returns ErrClientGone if the
// connection ends before the body.
func (r *restReader) readAhead(done <-chan struct{}) error {
	for {
		select {
		case <-done:
			return nil
		default:
		}
		if more, err := r.readStep(); err != nil || !more {
			return err
		}
	}
}

// readStep reads readAheadStep bytes at most. more is false if nothing further can be
// read ahead.
func (r *restReader) readStep() (more bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.started || r.err != nil || !r.reserve() {
		return false, nil
	}
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	n, err := r.body.Read(*buf)
	r.ahead = append(r.ahead, (*buf)[:n]...)
	r.err = err
	switch {
	case err == nil:
		return true, nil
	case errors.Is(err, io.EOF), errors.Is(err, errTooLarge), errors.Is(err, os.ErrDeadlineExceeded):
		return false, nil // the handler gets the error
	}
	return false, ErrClientGone
}

// reserve takes readAheadStep bytes of the limit of the server.
func (r *restReader) reserve() bool {
	used := &r.body.conn.server.readAhead
	if used.Add(readAheadStep) > maxReadAhead {
		used.Add(-readAheadStep)
		return false
	}
	r.reserved += readAheadStep
	return true
}

// release returns what reserve has taken. It is called once, when the exchange has ended,
// by the goroutine that has called readAhead.
func (r *restReader) release() { r.body.conn.server.readAhead.Add(-r.reserved) }
