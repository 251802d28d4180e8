package proxy

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

// copyBuffer is the memory that one streamed answer takes, in bytes.
const copyBuffer = 32 << 10

var buffers = sync.Pool{New: func() any { b := make([]byte, copyBuffer); return &b }}

// Errors of a streamed answer.
var (
	errUpstreamBroke = errors.New("the answer of the upstream was cut off")
	errCallerBroke   = errors.New("the caller took no more of the answer")
)

// capture keeps a copy of an answer up to a limit.
type capture struct {
	body   []byte
	limit  int
	tooBig bool
}

func (c *capture) add(b []byte) {
	if c == nil || c.tooBig {
		return
	}
	if len(c.body)+len(b) > c.limit {
		c.tooBig, c.body = true, nil
		return
	}
	c.body = append(c.body, b...)
}

// stream sends an answer to w whose headers were set. When it returns an error
// the connection of the caller must be aborted, so that a part of an answer is
// never taken for the whole.
func stream(w http.ResponseWriter, resp *http.Response, deadline time.Time, keep *capture) error {
	h := w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	for name := range resp.Trailer {
		if !isOwn(name) {
			h.Add("Trailer", name)
		}
	}
	announced := h["Trailer"]
	w.WriteHeader(resp.StatusCode)
	if err := copyBody(w, resp, deadline, keep); err != nil {
		return err
	}
	for name, values := range resp.Trailer {
		switch {
		case isOwn(name):
		case slices.Contains(announced, name):
			h[name] = values
		default:
			h[http.TrailerPrefix+name] = values
		}
	}
	return nil
}

// copyBody streams the body. It flushes whatever it has read unless that is
// the whole answer.
func copyBody(w http.ResponseWriter, resp *http.Response, deadline time.Time, keep *capture) error {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	control := http.NewResponseController(w)
	left, limited := resp.ContentLength, false
	for {
		n, err := resp.Body.Read(*buf)
		if n > 0 {
			keep.add((*buf)[:n])
			if _, werr := w.Write((*buf)[:n]); werr != nil {
				return errCallerBroke
			}
			left -= int64(n)
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errUpstreamBroke
		case left == 0:
			continue // the end follows
		case !limited:
			// A caller that stops reading must not hold a slot for ever.
			limited = true
			_ = control.SetWriteDeadline(deadline)
			defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
		}
		if ferr := control.Flush(); ferr != nil {
			return errCallerBroke
		}
	}
}

// discard reads the short rest of an answer that is not passed on, so that its
// connection can be used again.
func discard(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, 4<<10)
	_ = resp.Body.Close()
}
