package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// staleTries is how often a request is moved to another connection because a
// pooled one turned out to be closed before anything was written.
const staleTries = 3

// watch observes the connections that the Transport uses for one request.
type watch struct {
	conn   *countingConn
	before int64
	reused bool
	wrote  bool // to an earlier connection
}

func (x *watch) gotConn(info httptrace.GotConnInfo) {
	x.wrote = x.began()
	x.conn, _ = info.Conn.(*countingConn)
	x.reused = info.Reused
	if x.conn != nil {
		x.before = x.conn.began.Load()
	}
}

// began reports whether any byte of the request may have left this process.
func (x *watch) began() bool {
	return x.wrote || x.conn != nil && x.conn.began.Load() > x.before
}

// outgoing is one request to a peer or an upstream.
type outgoing struct {
	transport *http.Transport
	address   string
	in        *http.Request // method, URL, host and trailers are taken from it
	header    http.Header   // owned by this exchange
	body      *body
}

// exchange sends a request once and returns the head of the answer. On an
// error began says whether the other side may have begun to run it.
func exchange(ctx context.Context, o outgoing) (resp *http.Response, began bool, err error) {
	for try := 0; ; try++ {
		x := &watch{}
		req := o.request(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: x.gotConn}))
		resp, err = o.transport.RoundTrip(req)
		if err == nil {
			return resp, true, nil
		}
		began = x.began()
		if began || !x.reused || try >= staleTries || ctx.Err() != nil || !o.body.replayable() {
			return nil, began, err
		}
	}
}

// request builds the request for the Transport. It has a body reader where the
// Transport would otherwise treat it as replayable, and never GetBody: the Transport repeats requests without a body on another
// connection, also after they were written, and such a repetition would be
// neither counted nor limited to calls that may run twice.
func (o *outgoing) request(ctx context.Context) *http.Request {
	u := *o.in.URL
	u.Scheme, u.Host = "http", o.address
	u.User, u.Fragment, u.RawFragment = nil, "", ""
	r := &http.Request{
		Method: o.in.Method, URL: &u, Host: o.in.Host, Header: o.header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	length, chunked := o.body.length()
	switch {
	case chunked:
		r.ContentLength, r.TransferEncoding = -1, []string{"chunked"}
		r.Trailer = o.in.Trailer
		r.Body = o.body.reader()
	case length == 0:
		if expectsBody(r.Method) {
			// Only without a body reader does the Transport send
			// "Content-Length: 0", without which some servers answer 411. It
			// repeats such requests only if they carry an idempotency key in
			// the canonical spelling.
			r.Body = http.NoBody
			respell(r.Header, "Idempotency-Key", "idempotency-key")
			respell(r.Header, "X-Idempotency-Key", "x-idempotency-key")
			break
		}
		// "identity" keeps the Transport from probing the empty reader in a
		// goroutine and from sending it as a chunked body.
		r.ContentLength, r.TransferEncoding = -1, []string{"identity"}
		r.Body = io.NopCloser(bytes.NewReader(nil))
	default:
		r.ContentLength = length
		r.Body = o.body.reader()
	}
	return r.WithContext(ctx)
}

// respell moves the values of a field to another spelling of its name.
func respell(h http.Header, from, to string) {
	if v, ok := h[from]; ok {
		delete(h, from)
		h[to] = v
	}
}

func expectsBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// runState translates whether a request began into a run state.
func runState(began bool) model.RunState {
	if began {
		return model.Unknown
	}
	return model.NotRun
}
