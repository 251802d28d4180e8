package h1

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// connWriter writes to a connection and keeps the first error. The kernel reports that a
// connection was reset only once, to whichever comes first: to a write here, or to the
// read of the response, which sees an orderly end of the connection otherwise. It is safe
// for concurrent use.
type connWriter struct {
	nc  net.Conn
	mu  sync.Mutex // held while a write is in progress
	err error
}

// Write implements io.Writer.
func (w *connWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, err := w.nc.Write(b)
	if w.err == nil {
		w.err = err
	}
	return n, err
}

// end ends all writes and returns the error of the connection that one of them has got,
// nil if there is none.
func (w *connWriter) end() error {
	_ = w.nc.SetWriteDeadline(time.Unix(1, 0))
	w.mu.Lock()
	defer w.mu.Unlock()
	if errors.Is(w.err, os.ErrDeadlineExceeded) {
		return nil
	}
	return w.err
}
