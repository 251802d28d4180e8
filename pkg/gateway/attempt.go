package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/lentilflow/lentilflow/pkg/crashguard"
	"github.com/lentilflow/lentilflow/pkg/h1"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/shaping"
)

// Job is one attempt to run a request on an upstream.
type Attempt struct {
	RequestID            string // of the request
	ID                   string // name of this attempt among all nodes
	Method, Target, Host string
	Header               http.Header // what the upstream receives, but for deadline and boot
	Body                 []byte
	Rest                 io.Reader
	Length               int64

	Service    string
	Rank       model.Rank
	Route      string
	Weight     int // weight among the routes of the rank
	Idempotent bool
	// Due is when the answer misses the latency target of the route, the zero
	// time if there is none.
	Due time.Time
	// Bulk says that the answer is large, and Objective is the latency target.
	Download      bool
	LatencyTarget time.Duration
	// Patience bounds the expected wait for a slot, 0 for any wait.
	MaxWait  time.Duration
	Deadline time.Time
}

// fingerprint identifies the request among those that crash upstreams. The
// request id is left out: a request that comes again has a new one.
func (att *Attempt) fingerprint(names *HeaderNames) crashguard.Fingerprint {
	return crashguard.FingerprintOf(crashguard.Request{
		Method: att.Method, Caller: att.Header.Get(names.Caller), Target: att.Host + att.Target, Body: att.Body,
	})
}

// outgoing returns the request to send, with additional fields.
func (att *Attempt) outgoing(echo func(int, http.Header) bool, fields ...h1.Field) *h1.Request {
	o := &h1.Request{
		Method: att.Method, Target: att.Target, Host: att.Host, Header: att.Header, Fields: fields,
		Body: att.Body, Rest: att.Rest, Length: att.Length, Matches: echo,
	}
	if !att.Idempotent {
		o.MaxIdleTime = maxIdleNonIdempotent
	}
	return o
}

// Result is an answer of an upstream, with its body still to be read.
type Response struct {
	*h1.Response
	// Waited and Ran are the times spent waiting for a slot and at the
	// upstream, as its node tells.
	QueueTime, ServiceTime time.Duration
	finish                 func(complete bool)
	// transfer is the answer's part of the link of the VM on which it was made,
	// nil for small answers and for those of other VMs.
	transfer *shaping.Transfer
}

// Finish ends the attempt; complete says that the whole body was read. Further
// calls do nothing.
func (r *Response) Finish(complete bool) {
	r.Response.Close()
	if finish := r.finish; finish != nil {
		r.finish = nil
		finish(complete)
	}
}

const (
	// maxUnusedOnce bounds how long a connection that carries a non-idempotent
	// request may have been unused. Servers close idle connections after
	// seconds; a request that crosses the close may have run.
	maxIdleNonIdempotent = time.Second
	// maxWait bounds every stated length of time.
	maxParsedDuration = time.Hour
)
