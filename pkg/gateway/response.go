package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/lentilflow/lentilflow/pkg/h1"
	"github.com/lentilflow/lentilflow/pkg/model"
)

const (
	// responseBufferSize is how much of a response is read before its head is
	// sent to the caller, in bytes. A response that is truncated within it can
	// be replaced by that of another upstream or reported as a failure.
	responseBufferSize = 64 << 10
	// initialBufferSize is the initial size of that buffer, in bytes; most
	// responses have a few KB.
	initialBufferSize = 8 << 10
)

// failedResponse is a complete response with a server error.
type failedResponse struct {
	status int
	header http.Header
	body   []byte
}

// receive reads the start of a response and delivers it, unless a retry may
// lead to a better one; in that case it returns a refusal.
func (g *Gateway) receive(c *call, res *Response) *Refusal {
	defer res.Finish(false)
	c.queueTime, c.serviceTime = res.QueueTime, res.ServiceTime
	start, complete, err := readStart(res)
	if err == nil && !g.isUpstreamResponse(res) {
		err = errUnsigned
	}
	if err != nil {
		r := &Refusal{Reason: model.UpstreamLost, RunState: model.RunUnknown, Cause: err}
		switch {
		case c.ctx.Err() != nil:
			r.Reason = endedReason(c.ctx)
		case time.Until(c.attempt.Deadline) <= 0:
			r.Reason = model.DeadlineExceeded
		}
		return r
	}
	if complete && c.attempt.Idempotent && res.Status >= http.StatusInternalServerError && res.Status != http.StatusGatewayTimeout {
		res.Finish(true)
		c.failedResponse = &failedResponse{status: res.Status, header: res.Header, body: start}
		return &Refusal{Reason: model.UpstreamLost, RunState: model.RunUnknown, Cause: errFailedResponse}
	}
	var rest io.Reader
	if !complete {
		rest = res
	}
	err = g.deliver(c, res, start, rest)
	res.Finish(err == nil)
	return nil
}

var (
	// errUnsigned means that a successful response lacks the upstream's
	// signature.
	errUnsigned = errors.New("response lacks the signature field of an upstream")
	// errFailedResponse means that an upstream responded with a server error.
	errFailedResponse = errors.New("upstream responded with a server error")
)

// isUpstreamResponse reports whether a response was made by an upstream. A
// response with a status of 300 or above is accepted without the signature.
func (g *Gateway) isUpstreamResponse(res *Response) bool {
	return res.Header.Get(g.Names.Signature) != "" || res.Status >= http.StatusMultipleChoices
}

// readStart reads up to responseBufferSize bytes of a response. complete says
// that the response has no more.
func readStart(res *Response) (start []byte, complete bool, err error) {
	if res.Length == 0 {
		return nil, true, readEmptyBody(res)
	}
	size := int64(responseBufferSize)
	if res.Length != h1.Chunked && res.Length < size {
		size = res.Length + 1 // to read its end
	}
	buf := make([]byte, 0, min(size, initialBufferSize))
	for int64(len(buf)) < size {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := res.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			return buf, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return buf, false, nil
}

// readEmptyBody reads the end of a response without a body.
func readEmptyBody(res *Response) error {
	var b [1]byte
	if _, err := res.Read(b[:]); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

// deliver sends the response of an upstream to the caller: start is what was
// read of its body, rest the remainder or nil.
func (g *Gateway) deliver(c *call, res *Response, start []byte, rest io.Reader) error {
	reply := &h1.Reply{Status: res.Status, Header: res.Header, Body: start, Rest: rest, Length: res.Length}
	if !c.attempt.Download || !isSuccess(res.Status) {
		g.Local.Link.RecordSent(int64(len(start)))
		if rest != nil {
			reply.Rest = g.Local.Link.SentBody(rest)
		}
		return g.sendResponse(c, reply)
	}
	done := paceReply(c.x.Context(), g.Local.Link, c.attempt, res.transfer, reply)
	err := g.sendResponse(c, reply)
	if res.transfer == nil {
		done(err == nil)
	}
	return err
}

// sendResponse sends a reply with the route and version that decided the call,
// and logs it.
func (g *Gateway) sendResponse(c *call, r *h1.Reply) error {
	r.Header[headerRoute] = []string{c.route.Name}
	r.Header[headerVersion] = []string{strconv.FormatUint(uint64(c.version), 10)}
	err := c.x.Reply(r)
	g.logAnswered(c, r.Status, err)
	return err
}
