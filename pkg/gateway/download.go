package gateway

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lentilflow/lentilflow/pkg/h1"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/shaping"
)

const (
	// pacedReadSize is how much of a download is sent between two waits for the
	// link, in bytes. A link of 11 Mbit/s sends it in 6 ms.
	pacedReadSize = 8 << 10
	// linkWaitShare is the share of the latency target that the expected time
	// until the link has sent a download may take. The rest is for running the
	// request and for network latency. With 0.6 a third of the downloads
	// accepted under overload missed the target.
	linkWaitShare = 0.42
	// downloadMaxWaitShare replaces maxWaitShare for downloads: sending one
	// over the link of another VM costs more than waiting for the local link.
	downloadMaxWaitShare = 0.35
	// linkRetryAfterShare is the share of the latency target over which the
	// Retry-After of calls refused for lack of link capacity is spread. Callers
	// that return within it can still be served within the target.
	linkRetryAfterShare = 0.25
	// maxBufferedResponse limits a download that is buffered, in bytes. Longer
	// ones are read from the upstream only as fast as they are sent, and occupy
	// its slot for as long. A download of unknown length reserves this much of
	// maxBufferedTotal until it is read, so that at most twelve are read at a
	// time.
	maxBufferedResponse = 2 << 20
	// maxBufferedTotal limits the buffered downloads of one node, in bytes. The
	// smallest VMs have 184 MB of memory.
	maxBufferedTotal = 24 << 20
)

// bufferedBytes counts the bytes reserved for buffered downloads. It is safe
// for concurrent use.
type bufferedBytes struct{ bytes atomic.Int64 }

// reserve reserves n bytes and reports whether maxBufferedTotal permits them.
func (h *bufferedBytes) reserve(n int64) bool {
	if h.bytes.Add(n) > maxBufferedTotal {
		h.bytes.Add(-n)
		return false
	}
	return true
}

// linkRefusal refuses a download that the link of this VM is not expected to
// send in time. The expected time until it is sent may not exceed the remaining
// time, linkWaitShare of the latency target, and MaxWait of the attempt, which
// is set while another upstream may be free. A backlog beyond linkWaitShare
// would make every response late without increasing the throughput.
func (l *Local) linkRefusal(att *Attempt) *Refusal {
	if !att.Download {
		return nil
	}
	wait := l.Link.TimeToSend(att.Route)
	limit := time.Until(att.Deadline)
	reason := model.DeadlineUnreachable
	if maxLinkWait := time.Duration(linkWaitShare * float64(att.LatencyTarget)); maxLinkWait > 0 && maxLinkWait < limit {
		limit, reason = maxLinkWait, model.Overloaded
	}
	if att.MaxWait > 0 && att.MaxWait < limit {
		limit, reason = att.MaxWait, model.Overloaded
	}
	if wait <= limit {
		return nil
	}
	r := newRefusal(reason)
	r.RetryAfter, r.ExpectedWait = wait-limit+rand.N(maxLinkRetryAfterSpread(att.LatencyTarget)), wait
	return r
}

// maxLinkRetryAfterSpread returns the longest random addition to Retry-After
// for a latency target.
func maxLinkRetryAfterSpread(target time.Duration) time.Duration {
	if target <= 0 {
		return overloadedRetryAfter
	}
	return time.Duration(linkRetryAfterShare*float64(target)) + time.Millisecond
}

// bufferResponse reads a download from the upstream as fast as the upstream
// produces it, so that its slot is not occupied while the response waits for
// the link. A response that is truncated within the buffer is not delivered at
// all: the refusal is returned instead. A response that is known to exceed
// maxBufferedResponse, or for which maxBufferedTotal has no space, is not
// buffered; of a longer one of unknown length only the start is.
func (l *Local) bufferResponse(ctx context.Context, res *Response) *Refusal {
	size := res.Length
	if size == h1.Chunked {
		size = maxBufferedResponse
	}
	if size > maxBufferedResponse || !l.buffered.reserve(size) {
		return nil
	}
	retained := int64(0)
	defer func() { l.buffered.bytes.Add(retained - size) }()
	var body bytes.Buffer
	n, err := io.Copy(&body, io.LimitReader(res, size+1))
	if err != nil {
		r := &Refusal{Reason: model.UpstreamLost, RunState: model.RunUnknown, Cause: err}
		if ctx.Err() != nil {
			r.Reason = endedReason(ctx)
		}
		return r
	}
	if n > size { // of unknown length, and longer than the buffer
		retained = size
		res.Body = io.MultiReader(&body, res.Body)
		end := res.finish
		res.finish = func(complete bool) {
			defer l.buffered.bytes.Add(-size)
			end(complete)
		}
		return nil
	}
	res.Finish(true)
	retained = n
	res.Response = &h1.Response{Status: res.Status, Header: res.Header, Length: n, Body: &body}
	res.finish = func(bool) { l.buffered.bytes.Add(-n) }
	return nil
}

// pacedReader reads the body of a download as fast as the link can send it.
type pacedReader struct {
	body     io.Reader
	ctx      context.Context
	transfer *shaping.Transfer
}

// Read implements io.Reader. It returns the error of the context if that ends
// while the link is busy.
func (p *pacedReader) Read(b []byte) (int, error) {
	n, err := p.body.Read(b[:min(len(b), pacedReadSize)])
	if n > 0 {
		if terr := p.transfer.WaitN(p.ctx, int64(n)); terr != nil {
			return 0, terr
		}
	}
	return n, err
}

// paceReply makes r follow the rate of the link. t is the transfer of a
// response of the local upstream, which ends with Response.Finish. If t is nil,
// paceReply starts a transfer, and the caller must end it with the returned
// function.
func paceReply(ctx context.Context, link *shaping.Link, att *Attempt, t *shaping.Transfer, r *h1.Reply) func(complete bool) {
	if t == nil {
		t = link.Begin(att.Route, att.Due)
	}
	switch {
	case r.Rest == nil:
		r.Length = int64(len(r.Body))
		r.Rest = bytes.NewReader(r.Body)
	case len(r.Body) > 0:
		r.Rest = io.MultiReader(bytes.NewReader(r.Body), r.Rest)
	}
	r.Body = nil
	if r.Length >= 0 {
		t.SetSize(r.Length, att.Deadline)
	}
	r.Rest = &pacedReader{body: r.Rest, ctx: ctx, transfer: t}
	return t.Done
}

// isSuccess reports whether a status is in the 2xx range. Only such responses
// are treated as downloads.
func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}
