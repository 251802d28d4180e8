package h1

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// Transport is an http.RoundTripper that reads responses as Pool does, so that a malformed
// one is an error. It buffers the whole body of a request. It is safe for concurrent use;
// its fields must not change after the first request.
type Transport struct {
	// Dial opens a connection to an address in the form host:port.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// MaxIdleConns bounds the number of idle connections to one address. With 0 each
	// request has a connection of its own.
	MaxIdleConns int
	// IdleTimeout is how long an idle connection may be reused.
	IdleTimeout time.Duration

	pools sync.Map // of *Pool by address
}

// closeField asks the server to close the connection after its response.
var closeField = Field{Name: "Connection", Value: "close"}

// errScheme means that a URL has another scheme than http.
var errScheme = errors.New("only http URLs are supported")

// RoundTrip implements http.RoundTripper. When the context of r has ended, its error is that
// of the context. A GET request is sent again if a reused connection ends without a response;
// other requests are sent at most once.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := readRequestBody(r)
	if err != nil {
		return nil, err
	}
	if r.URL.Scheme != "http" {
		return nil, errScheme
	}
	req := &Request{Method: r.Method, Target: r.URL.RequestURI(), Host: r.Host, Header: r.Header, Body: body, Length: int64(len(body))}
	if req.Host == "" {
		req.Host = r.URL.Host
	}
	if t.MaxIdleConns == 0 {
		req.Fields = []Field{closeField}
	}
	p := t.pool(r.URL.Host)
	resp, err := p.Do(r.Context(), req)
	if err != nil && r.Method == http.MethodGet && contextError(r.Context()) == nil && endedWhileReused(err) {
		resp, err = p.Do(r.Context(), req)
	}
	if err != nil {
		if ended := contextError(r.Context()); ended != nil {
			return nil, ended
		}
		return nil, err
	}
	if t.MaxIdleConns == 0 {
		resp.reusable = false // the server may keep the connection open
	}
	return &http.Response{
		Status: strconv.Itoa(resp.Status) + " " + http.StatusText(resp.Status), StatusCode: resp.Status,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: resp.Header, ContentLength: resp.Length,
		Body: responseBody{resp}, Request: r,
	}, nil
}

// CloseIdleConnections closes the idle connections. http.Client calls it.
func (t *Transport) CloseIdleConnections() {
	t.pools.Range(func(_, p any) bool {
		p.(*Pool).Close()
		return true
	})
}

// pool returns the connections to the host of a URL.
func (t *Transport) pool(host string) *Pool {
	p := &Pool{Address: host, IdleTimeout: t.IdleTimeout, MaxIdleConns: t.MaxIdleConns, Dial: t.Dial}
	if t.MaxIdleConns == 0 {
		return p
	}
	kept, _ := t.pools.LoadOrStore(host, p)
	return kept.(*Pool)
}

// readRequestBody reads and closes the body of r.
func readRequestBody(r *http.Request) ([]byte, error) {
	if r.Body == nil {
		return nil, nil
	}
	defer func() { _ = r.Body.Close() }()
	return io.ReadAll(r.Body)
}

// endedWhileReused reports whether err says that a reused connection has ended instead of a
// response: the server may have closed it before it read the request. A deadline for reads
// does not end a connection.
func endedWhileReused(err error) bool {
	var e *ExchangeError
	if !errors.As(err, &e) || !e.Reused || errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	var broken *net.OpError
	return errors.Is(err, io.EOF) || errors.As(err, &broken)
}

// contextError returns the error of a context that has ended, also if its deadline has just
// passed and its timer has not fired yet.
func contextError(ctx context.Context) error {
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	return ctx.Err()
}

// responseBody closes the exchange of a response.
type responseBody struct{ *Response }

// Close implements io.Closer.
func (b responseBody) Close() error {
	b.Response.Close()
	return nil
}
