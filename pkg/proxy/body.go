package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/pkg/crashguard"
)

// Errors of reading a request body.
var (
	errBodyTooLarge = merry.Sentinel("request body exceeds the limit")
	errBodySlow     = merry.Sentinel("request body did not arrive in time")
	errBodyBroken   = merry.Sentinel("request body ended early")
	errConsumed     = merry.Sentinel("request body was read by an earlier attempt")
	errNoMemory     = merry.Sentinel("too many request bodies are held in memory")
)

// holdLimit is the largest body that is held in memory so that a retry can
// send it again.
const holdLimit = crashguard.BodyPrefix

// body is the request body of one call: either held whole, or streamed once
// while its first 64 KiB are kept for the fingerprint.
type body struct {
	src      io.Reader
	declared int64 // -1 for chunked
	limit    int64
	held     bool

	mu       sync.Mutex
	prefix   []byte
	count    int64
	err      error
	done     bool   // src was read to its end
	consumed bool   // a reader has taken more than the prefix
	readers  int    // readers given out; only the newest may read
	onEnd    func() // called when src was read to its end
}

func newBody(r *http.Request, limit int64, onEnd func()) *body {
	b := &body{src: r.Body, declared: r.ContentLength, limit: limit, onEnd: onEnd}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		b.declared, b.held, b.done = 0, true, true
	}
	return b
}

// length returns the length to announce, or chunked.
func (b *body) length() (n int64, chunked bool) {
	if b.held && b.declared >= 0 {
		return int64(len(b.prefix)), false
	}
	return b.declared, b.declared < 0
}

// hold reads up to max bytes into memory; the body is held when that was all.
func (b *body) hold(max int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held || b.prefix != nil { // there is nothing more to read ahead
		return b.err
	}
	var buf bytes.Buffer
	if b.declared > 0 {
		buf.Grow(int(min(b.declared, max)) + bytes.MinRead)
	}
	_, err := io.Copy(&buf, io.LimitReader(sourceReader{b}, max))
	b.prefix = buf.Bytes()
	if err == nil && !b.done && int64(len(b.prefix)) >= max {
		if b.declared >= 0 && b.declared == int64(len(b.prefix)) {
			err = b.finish()
		}
	}
	b.held = b.done && err == nil
	return err
}

// finish reads the end of a body whose declared bytes have all arrived.
func (b *body) finish() error {
	var one [1]byte
	_, err := sourceReader{b}.Read(one[:])
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// replayable reports whether a new reader delivers the body from its start.
func (b *body) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held || !b.consumed
}

// ended reports whether nothing of the body is left on the caller's connection.
func (b *body) ended() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.done
}

// fault returns the error of the source, if it failed.
func (b *body) fault() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// start returns a copy of the first bytes that were seen, at most 64 KiB.
func (b *body) start() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.prefix[:min(len(b.prefix), holdLimit)]
}

// reader returns the body from its start; earlier readers of a body that is
// not held fail from then on, because the Transport may still read from them
// after an attempt has failed. The reader is never one that http.Request
// replays.
func (b *body) reader() io.ReadCloser {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held {
		return io.NopCloser(bytes.NewReader(b.prefix))
	}
	b.readers++
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.prefix), &teeReader{b: b, number: b.readers, fresh: !b.consumed}))
}

// absorb records the result of one read from the source. The lock is held.
func (b *body) absorb(n int, err error) error {
	b.count += int64(n)
	switch {
	case b.count > b.limit:
		err = errBodyTooLarge
	case err == nil:
		return nil
	case !errors.Is(err, io.EOF):
		err = translateBody(err)
	}
	if b.done = errors.Is(err, io.EOF); !b.done {
		b.err = err
	}
	if b.done && b.onEnd != nil {
		b.onEnd()
	}
	return err
}

// sourceReader reads from the caller while the lock is held.
type sourceReader struct{ b *body }

// Read implements io.Reader.
func (s sourceReader) Read(p []byte) (int, error) {
	if s.b.err != nil {
		return 0, s.b.err
	}
	n, err := s.b.src.Read(p)
	return n, s.b.absorb(n, err)
}

func translateBody(err error) error {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return merry.Wrap(errBodySlow, merry.WithCause(err))
	}
	return merry.Wrap(errBodyBroken, merry.WithCause(err))
}

// teeReader streams the rest of the body and keeps its first 64 KiB.
type teeReader struct {
	b      *body
	number int
	fresh  bool // nothing was consumed before this reader
}

// begin reports whether t may read from the source.
func (t *teeReader) begin() error {
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	if t.b.err != nil {
		return t.b.err
	}
	if t.number != t.b.readers || !t.fresh {
		return errConsumed
	}
	t.b.consumed = true
	return nil
}

// Read implements io.Reader. It reads without the lock, because a read may
// block for as long as the caller sends nothing.
func (t *teeReader) Read(p []byte) (int, error) {
	b := t.b
	if err := t.begin(); err != nil {
		return 0, err
	}
	n, err := b.src.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	if room := holdLimit - len(b.prefix); room > 0 {
		b.prefix = append(b.prefix, p[:min(n, room)]...)
	}
	return n, b.absorb(n, err)
}

// memory bounds the bodies that are held in full before their claims.
type memory struct {
	used  atomic.Int64
	limit int64
}

func (m *memory) take(n int64) error {
	if m.used.Add(n) > m.limit {
		m.used.Add(-n)
		return errNoMemory
	}
	return nil
}

func (m *memory) give(n int64) { m.used.Add(-n) }
