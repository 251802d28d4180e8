package h1

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

func newTransportClient(maxIdleConns int) *http.Client {
	live := Liveness{DialTimeout: testTimeout, ProbeInterval: time.Second, UserTimeout: testTimeout}
	return &http.Client{Transport: &Transport{Dial: live.Dialer(), MaxIdleConns: maxIdleConns, IdleTimeout: testTimeout}, Timeout: testTimeout}
}

// Guards the requests and responses of Transport: method, target, fields and body arrive, and
// connections are reused only if that is allowed.
func TestTransportSendsRequests(t *testing.T) {
	for _, maxIdleConns := range []int{0, 2} {
		is := is.New(t)
		var conns atomic.Int64
		s := &Server{Handle: func(x *Exchange) {
			r := x.Request
			reply := textReply(201, r.Method+" "+r.RequestURI+" "+r.Header.Get("X-A")+" "+string(x.Body))
			reply.Header = http.Header{"X-B": {"b"}}
			x.CloseAfter = r.Close
			_ = x.Reply(reply)
		}}
		address := startServer(t, s)
		client := newTransportClient(maxIdleConns)
		transport := client.Transport.(*Transport)
		dial := transport.Dial
		transport.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			conns.Add(1)
			return dial(ctx, address)
		}
		for range 3 {
			r, err := http.NewRequest(http.MethodPost, "http://"+address+"/a%20b?c=d", strings.NewReader("text"))
			is.NoErr(err)
			r.Header.Set("X-A", "a")
			resp, err := client.Do(r)
			is.NoErr(err)
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			is.Equal(resp.StatusCode, 201)
			is.Equal(resp.Status, "201 Created")
			is.Equal(resp.Header.Get("X-B"), "b")
			is.Equal(string(body), "POST /a%20b?c=d a text")
		}
		want := int64(3)
		if maxIdleConns > 0 {
			want = 1
		}
		is.Equal(conns.Load(), want)
	}
}

// Guards against malformed responses that Transport returns.
func TestTransportRejectsMalformedResponses(t *testing.T) {
	is := is.New(t)
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nbody",
	} {
		_, err := newTransportClient(0).Get("http://" + rawServer(t, response, true).Address() + "/")
		is.True(errors.Is(err, ErrMalformedResponse))
	}
}

// Guards against a request that fails although the server has only closed an idle connection,
// and against a POST request that is sent twice.
func TestTransportSendsOnlyGetAgain(t *testing.T) {
	for method, want := range map[string]int64{http.MethodGet: 3, http.MethodPost: 2} {
		is := is.New(t)
		address, requests := countingServer(t, responseText("", ""), "", responseText("", ""))
		client := newTransportClient(1)
		send := func() error {
			r, err := http.NewRequest(method, "http://"+address+"/", nil)
			is.NoErr(err)
			resp, err := client.Do(r)
			if err != nil {
				return err
			}
			_, err = io.Copy(io.Discard, resp.Body)
			return errors.Join(err, resp.Body.Close())
		}
		is.NoErr(send())
		is.Equal(send() == nil, method == http.MethodGet)
		is.Equal(requests.Load(), want)
	}
}

// Guards against the end of a context that looks like a dial timeout, after which the node at
// the address would count as unreachable.
func TestTransportReturnsErrorOfEndedContext(t *testing.T) {
	is := is.New(t)
	transport := &Transport{Dial: func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
	}}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://127.0.0.1:1/", nil)
	is.NoErr(err)
	_, err = (&http.Client{Transport: transport}).Do(r)
	is.True(errors.Is(err, context.DeadlineExceeded))
	var dial *net.OpError
	is.True(!errors.As(err, &dial))
}

// closeCounter counts the connections that the client has closed.
type closeCounter struct {
	net.Conn
	closed *atomic.Int64
}

// Close implements net.Conn.
func (c closeCounter) Close() error {
	c.closed.Add(1)
	return c.Conn.Close()
}

// Guards against connections that stay open because the server does not close them after the
// response, although it was asked to.
func TestTransportWithoutIdleConnectionsClosesThem(t *testing.T) {
	is := is.New(t)
	server := rawServer(t, responseText("", "body"), false)
	client := newTransportClient(0)
	transport := client.Transport.(*Transport)
	dial := transport.Dial
	var closed atomic.Int64
	transport.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		nc, err := dial(ctx, address)
		return closeCounter{nc, &closed}, err
	}
	for range 3 {
		resp, err := client.Get("http://" + server.Address() + "/")
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
	}
	is.Equal(closed.Load(), int64(3))
}

// Guards against a GET request that fails because a reused connection is broken, and against
// one that is sent again after a malformed or slow response.
func TestOnlyEndedConnectionsAreReplaced(t *testing.T) {
	is := is.New(t)
	broken := func(err error) error { return &net.OpError{Op: "read", Err: err} }
	for _, c := range []struct {
		err  error
		want bool
	}{
		{io.EOF, true},
		{broken(syscall.ECONNRESET), true},
		{broken(syscall.EPIPE), true},
		{broken(syscall.ETIMEDOUT), true},
		{broken(os.ErrDeadlineExceeded), false},
		{io.ErrUnexpectedEOF, false},
		{ErrMalformedResponse, false},
		{errUnmatchedResponses, false},
	} {
		is.Equal(endedWhileReused(&ExchangeError{Sent: true, Reused: true, Err: c.err}), c.want)
		is.True(!endedWhileReused(&ExchangeError{Sent: true, Err: c.err}))
	}
}
