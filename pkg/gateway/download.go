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
	// pacedPart is how much of a large answer is sent between two looks at the
	// link, in bytes: 6 ms of a link of 11 Mbit/s.
	pacedReadSize = 8 << 10
	// linkShare is the part of the latency target that an answer may be expected
	// to wait for the link; the rest is for the run and the way. With 0.6 a third
	// of what was taken under a flood came late.
	linkWaitShare = 0.42
	// bulkPatienceShare replaces patienceShare for large answers: to send one
	// over another link costs more than the wait for the own one.
	downloadMaxWaitShare = 0.35
	// linkRetryShare of the latency target spreads the return of callers that the
	// link had no room for. They can still be served in time then.
	linkRetryAfterShare = 0.25
	// maxHeld bounds a large answer that is taken from the upstream at once, in
	// bytes. Longer ones are read as fast as they are sent.
	maxBufferedResponse = 2 << 20
	// maxHeldTotal bounds all of them at one node, in bytes. The smallest VMs
	// have 184 MB.
	maxBufferedTotal = 24 << 20
)

// holding counts the bytes of large answers that a node holds.
type bufferedBytes struct{ bytes atomic.Int64 }

// reserve takes n bytes of the bound, unless it is used up.
func (h *bufferedBytes) reserve(n int64) bool {
	if h.bytes.Add(n) > maxBufferedTotal {
		h.bytes.Add(-n)
		return false
	}
	return true
}

// linkRefusal refuses a job whose large answer the link of this VM could not
// send in time. While another upstream may take it, an answer that would wait
// beyond the job's patience is refused too. Beyond linkShare of the latency
// target the link takes nothing more: a longer backlog makes every answer late
// and carries no more of them.
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

// linkRetry returns the longest spread of Retry-After for a latency target.
func maxLinkRetryAfterSpread(target time.Duration) time.Duration {
	if target <= 0 {
		return overloadedRetryAfter
	}
	return time.Duration(linkRetryAfterShare*float64(target)) + time.Millisecond
}

// hold takes a large answer from the upstream as fast as that makes it, so that
// its slot does not wait for the link. An answer that breaks off meanwhile is
// never begun to be delivered.
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
	if n > size { // of an unknown length, and longer than what is held
		retained = size
		res.Body = &multiReadCloser{Reader: io.MultiReader(&body, res.Body), Closer: res.Body}
		end := res.finish
		res.finish = func(complete bool) {
			defer l.buffered.bytes.Add(-size)
			end(complete)
		}
		return nil
	}
	res.Finish(true)
	retained = n
	res.Response = &h1.Response{Status: res.Status, Header: res.Header, Length: n, Body: io.NopCloser(&body)}
	res.finish = func(bool) { l.buffered.bytes.Add(-n) }
	return nil
}

// joined reads what was read of a body already and then the rest.
type multiReadCloser struct {
	io.Reader
	io.Closer
}

// paced is a large answer that is sent in parts, as the link takes them.
type pacedReader struct {
	body     io.Reader
	ctx      context.Context
	transfer *shaping.Transfer
}

// Read implements io.Reader.
func (p *pacedReader) Read(b []byte) (int, error) {
	n, err := p.body.Read(b[:min(len(b), pacedReadSize)])
	if n > 0 {
		if terr := p.transfer.WaitN(p.ctx, int64(n)); terr != nil {
			return 0, terr
		}
	}
	return n, err
}

// paceReply makes a reply with a large answer follow the link. The transfer of
// the job is used if the answer was made at this node. The returned function
// ends the transfer.
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
		t.SetSize(r.Length)
	}
	r.Rest = &pacedReader{body: r.Rest, ctx: ctx, transfer: t}
	return t.Done
}

// isSuccess reports whether a status is that of a success, whose answer may be
// large.
func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}
