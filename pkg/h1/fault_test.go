package h1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a handler panic that ends the process. The connection must get
// status 500 and end, and the next connection must be served.
func TestPanicClosesOnlyItsConnection(t *testing.T) {
	is := is.New(t)
	var panics atomic.Int64
	s := &Server{
		Handle: func(x *Exchange) {
			if x.Request.URL.Path == "/bad" {
				panic("fault of the program")
			}
			_ = x.Reply(textReply(200, "good"))
		},
		OnPanic: func(any, []byte) { panics.Add(1) },
	}
	address := startServer(t, s)
	for range 3 {
		nc, r := dial(t, address)
		send(t, nc, get("/bad"))
		resp, _ := readResponse(t, r)
		is.Equal(resp.StatusCode, http.StatusInternalServerError)
		is.True(resp.Close)
		nc, r = dial(t, address)
		send(t, nc, get("/"))
		resp, body := readResponse(t, r)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(body, "good")
	}
	is.Equal(panics.Load(), int64(3))
	for end := time.Now().Add(testTimeout); s.Active() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(s.Active(), 0)
}

// endlessServer responds to each request with prefix and then with text,
// repeated until the connection is closed. It returns its address.
func endlessServer(t *testing.T, prefix, text string, pause time.Duration) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = nc.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(nc)); err != nil {
					return
				}
				_, err := io.WriteString(nc, prefix)
				for err == nil {
					_, err = io.WriteString(nc, text)
					time.Sleep(pause)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a server that sends an endless response, fast or slowly, in
// any part of the head or in a response to another request. The exchange must
// fail long before its deadline.
func TestEndlessResponseFails(t *testing.T) {
	filler := strings.Repeat("x", 1<<10)
	for name, c := range map[string]struct{ prefix, text string }{
		"no response":       {"", filler},
		"status line":       {"HTTP/1.1 200 ", filler},
		"field":             {"HTTP/1.1 200 OK\r\nA: ", filler},
		"fields":            {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"informational":     {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"unmatched sized":   {"HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 1000000000\r\n\r\n", filler},
		"unmatched chunked": {"HTTP/1.1 200 OK\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + filler + "\r\n"},
		"unmatched closed":  {"HTTP/1.1 200 OK\r\nId: 7\r\n\r\n", filler},
		"chunk size":        {"HTTP/1.1 200 OK\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"trailer":           {"HTTP/1.1 200 OK\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	} {
		for speed, pause := range map[string]time.Duration{"fast": 0, "slow": 50 * time.Millisecond} {
			t.Run(name+" "+speed, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				p := newPool(endlessServer(t, c.prefix, c.text, pause))
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				began := time.Now()
				_, err := p.Do(ctx, newRequest("1"))
				is.True(err != nil)
				var exchangeErr *ExchangeError
				is.True(errors.As(err, &exchangeErr))
				is.True(exchangeErr.Sent)
				is.True(time.Since(began) < testTimeout)
			})
		}
	}
}

// Guards against requests that a planned stop cuts off. A request that has
// reached the node before CloseIdle must get a response.
func TestRequestDuringCloseIdleIsAnswered(t *testing.T) {
	is := is.New(t)
	for range 200 {
		s := &Server{Handle: func(x *Exchange) { _ = x.Reply(textReply(200, "good")) }}
		nc, r := dial(t, startServer(t, s))
		send(t, nc, get("/"))
		_, _ = readResponse(t, r)
		s.Drain()
		send(t, nc, get("/"))
		s.CloseIdle()
		resp, body := readResponse(t, r)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(body, "good")
		_ = nc.Close()
	}
}

// Guards against the loss of connections that are still in the accept queue
// when a planned stop closes the listener. Their requests must get responses.
func TestUnacceptedConnectionsAreServedOnClose(t *testing.T) {
	is := is.New(t)
	s := &Server{Handle: func(x *Exchange) { _ = x.Reply(textReply(200, "good")) }}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	type caller struct {
		net.Conn
		*bufio.Reader
	}
	var callers []caller
	for range 50 { // Serve has not started, so that none is accepted yet
		nc, r := dial(t, l.Addr().String())
		send(t, nc, get("/"))
		callers = append(callers, caller{nc, r})
	}
	s.Limits, s.OnFault = func() Limits { return Limits{} }, func(net.Addr, Fault, error) {}
	s.Drain()
	ended := make(chan error, 1)
	go func() {
		s.Close(l)
		ended <- s.Serve(l)
	}()
	for _, c := range callers {
		resp, body := readResponse(t, c.Reader)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(body, "good")
	}
	is.NoErr(<-ended)
}
