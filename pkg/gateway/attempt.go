package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/lentilflow/lentilflow/pkg/crashguard"
	"github.com/lentilflow/lentilflow/pkg/h1"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/shaping"
)

// Attempt is one try to run a request on one upstream. The Attempt of a call is
// reused for its retries.
type Attempt struct {
	RequestID            string // the same for all attempts of a call
	ID                   string // of this attempt, unique among all nodes; Remote.Run assigns its own
	Method, Target, Host string
	Header               http.Header // as the upstream receives it, without deadline and expected boot
	Body                 []byte      // whole body, or its start when Rest is set
	Rest                 io.Reader   // what follows Body, nil if nothing
	Length               int64       // whole length of the body in bytes, or h1.Chunked

	Service    string
	Team       string // name of the team, "" if it has none
	Rank       model.Rank
	Route      string
	Weight     int // relative share among the routes of the rank, at least 1
	Idempotent bool
	// Inner says that an upstream makes the call while it runs another one.
	Inner bool
	// Rollout is the key of the order that allows the attempt to run on an upstream of the
	// version that is rolled out, "" for the version in use.
	Rollout string
	// Due is when the latency target of the route is missed, the zero time if
	// the route has none.
	Due time.Time
	// Download says that the response is expected to be large.
	Download bool
	// LatencyTarget is the latency target of the route, 0 if it has none.
	LatencyTarget time.Duration
	// MaxWait limits the expected queue time. For a download it also limits the
	// expected time until the link has sent the response. 0 sets no limit.
	MaxWait time.Duration
	// Deadline is when the final response of the call is due.
	Deadline time.Time
}

// fingerprint identifies the request among those that crash upstreams. The
// request ID is left out because a request that is sent again has a new one.
func (att *Attempt) fingerprint(names *HeaderNames) crashguard.Fingerprint {
	return crashguard.FingerprintOf(crashguard.Request{
		Method: att.Method, Caller: att.Header.Get(names.Caller), Target: att.Host + att.Target, Body: att.Body,
	})
}

// outgoing returns the request to send, with additional header fields. echo
// reports whether a response belongs to it.
func (att *Attempt) outgoing(echo func(status int, h http.Header, reused bool) bool, fields ...h1.Field) *h1.Request {
	o := &h1.Request{
		Method: att.Method, Target: att.Target, Host: att.Host, Header: att.Header, Fields: fields,
		Body: att.Body, Rest: att.Rest, Length: att.Length, Matches: echo,
	}
	if !att.Idempotent {
		o.MaxIdleTime = maxIdleNonIdempotent
	}
	return o
}

// Response is the response of an upstream. Its body is still to be read, and
// Finish must be called. It is not safe for concurrent use.
type Response struct {
	*h1.Response
	// QueueTime is the time spent waiting for a slot, ServiceTime the time from
	// the assignment of the slot to the head of the response. Both are reported
	// by the local node of the upstream.
	QueueTime, ServiceTime time.Duration
	finish                 func(complete bool)
	// onReadError is called with the error of the first read of the body that fails; nil
	// if nothing is to be done.
	onReadError func(error)
	// statement is what the upstream states about itself.
	statement bootStatement
	// transfer accounts for the response on the link of the upstream's VM. It
	// is nil for responses that are not downloads and for those of remote
	// upstreams.
	transfer *shaping.Transfer
}

// Read implements io.Reader. It returns io.EOF only after the whole body.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.Response.Read(b)
	if failed := r.onReadError; failed != nil && err != nil && !errors.Is(err, io.EOF) {
		r.onReadError = nil
		failed(err)
	}
	return n, err
}

// Finish ends the attempt; complete says that the whole body was read. Further
// calls have no effect.
func (r *Response) Finish(complete bool) {
	r.Response.Close()
	if finish := r.finish; finish != nil {
		r.finish = nil
		finish(complete)
	}
}

const (
	// maxIdleNonIdempotent limits how long a connection may have been idle
	// before it carries a non-idempotent request. Servers close idle
	// connections after a few seconds, and a request that arrives while the
	// server closes the connection may have run.
	maxIdleNonIdempotent = time.Second
	// maxParsedDuration limits the durations accepted from header fields.
	maxParsedDuration = time.Hour
)
