package platform

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"

	"github.com/ansel1/merry/v2"
)

const maxQuotedAnswer = 200

var errSealed = errors.New("connection closed because its request was given up")

// writeOutcome maps the status of an answered write to an error, nil for
// success. Only the statuses that docs/platform-protocol.md lists as refusals
// without effect become ErrUnavailable; any other leaves the outcome open.
func writeOutcome(status int) error {
	switch status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusConflict, http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusBadRequest, http.StatusNotFound, http.StatusMethodNotAllowed,
		http.StatusRequestEntityTooLarge, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return ErrUnavailable
	default:
		return ErrOutcomeUnknown
	}
}

func wrap(outcome, cause error) error {
	return merry.Prepend(outcome, cause.Error(), merry.WithCause(cause))
}

func unexpected(outcome error, r request, resp response) error {
	text := strings.TrimSpace(string(resp.body[:min(len(resp.body), maxQuotedAnswer)]))
	return merry.Prependf(outcome, "%s %s answered %d %s", r.method, r.path, resp.status, text)
}

// trackedConn counts the bytes written and can refuse further writes.
type trackedConn struct {
	net.Conn

	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write counts p before it is handed to the kernel, so that a concurrent seal
// never reports a write in progress as absent.
func (t *trackedConn) Write(p []byte) (int, error) {
	t.mu.Lock()
	if t.sealed {
		t.mu.Unlock()
		return 0, errSealed
	}
	t.written += int64(len(p))
	t.mu.Unlock()
	n, err := t.Conn.Write(p)
	if n < len(p) {
		t.mu.Lock()
		t.written -= int64(len(p) - n)
		t.mu.Unlock()
	}
	return n, err
}

func (t *trackedConn) count() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.written
}

// seal refuses further writes and returns the number of bytes written.
func (t *trackedConn) seal() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sealed = true
	return t.written
}

// sendTracker finds out whether any byte of a failed request was written.
// net/http repeats a PUT or POST by itself only if nothing was written on a
// reused connection; the tracker covers each connection used for the request.
type sendTracker struct {
	mu       sync.Mutex
	used     []usedConn
	opaque   bool // a connection of another type was used
	finished bool
}

type usedConn struct {
	conn  *trackedConn
	start int64
}

func (s *sendTracker) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.gotConn})
}

func (s *sendTracker) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := info.Conn.(*trackedConn)
	if !ok {
		s.opaque = true
		return
	}
	if s.finished {
		c.seal()
		return
	}
	s.used = append(s.used, usedConn{conn: c, start: c.count()})
}

// sent seals the connections used, so that a false result stays true.
func (s *sendTracker) sent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished = true
	sent := s.opaque
	for _, u := range s.used {
		if u.conn.seal() != u.start {
			sent = true
		}
	}
	return sent
}
