package h1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const testTimeout = 5 * time.Second // only bounds a hanging test

// startServer runs s on loopback and returns its address.
func startServer(t *testing.T, s *Server) string {
	t.Helper()
	if s.Limits == nil {
		s.Limits = func() Limits { return Limits{} }
	}
	if s.OnFault == nil {
		s.OnFault = func(net.Addr, Fault, error) {}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		_ = l.Close()
		s.CloseAll()
	})
	return l.Addr().String()
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	nc, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(testTimeout))
	return nc, bufio.NewReader(nc)
}

func send(t *testing.T, nc net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(nc, text); err != nil {
		t.Fatal(err)
	}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// readResponse returns the next response and its body.
func readResponse(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

func textReply(status int, s string) *Reply { return &Reply{Status: status, Body: []byte(s)} }

// Guards the order of responses when later requests finish first.
func TestPipelinedResponsesKeepOrder(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	s := &Server{
		Concurrent: func(*Exchange) bool { return true },
		Handle: func(x *Exchange) {
			if x.Request.URL.Path == "/slow" {
				<-release
			}
			_ = x.Reply(textReply(200, x.Request.URL.Path))
			if x.Request.URL.Path == "/fast" {
				t.Log("response to /fast was sent")
			}
		},
	}
	nc, r := dial(t, startServer(t, s))
	send(t, nc, get("/slow")+get("/fast"))
	time.AfterFunc(50*time.Millisecond, func() { close(release) })
	_, first := readResponse(t, r)
	_, second := readResponse(t, r)
	is.Equal(first, "/slow")
	is.Equal(second, "/fast")
}

// Guards against a non-idempotent request that runs twice: if it runs although
// an earlier response ends the connection, the client sends it again.
func TestRequestAfterLastResponseIsNotHandled(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var handled []string
	s := &Server{Handle: func(x *Exchange) {
		mu.Lock()
		handled = append(handled, x.Request.URL.Path)
		mu.Unlock()
		x.CloseAfter = true
		_ = x.Reply(textReply(200, ""))
	}}
	nc, r := dial(t, startServer(t, s))
	send(t, nc, get("/first")+get("/second"))
	resp, _ := readResponse(t, r)
	is.True(resp.Close)
	_, err := r.ReadByte()
	is.True(errors.Is(err, io.EOF))
	mu.Lock()
	defer mu.Unlock()
	is.Equal(handled, []string{"/first"})
}

// Guards against the loss of requests that are running when the server starts
// to drain. Only the response to the last of them may end the connection.
func TestDrainAnswersAcceptedRequests(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	started := make(chan struct{}, 2)
	s := &Server{
		Concurrent: func(*Exchange) bool { return true },
		Handle: func(x *Exchange) {
			started <- struct{}{}
			<-release
			_ = x.Reply(textReply(200, x.Request.URL.Path))
		},
	}
	nc, r := dial(t, startServer(t, s))
	send(t, nc, get("/a")+get("/b"))
	<-started
	<-started
	s.Drain()
	close(release)
	first, _ := readResponse(t, r)
	second, body := readResponse(t, r)
	is.True(!first.Close)
	is.True(second.Close)
	is.Equal(body, "/b")
}

// Guards against a pipelining client whose connection never becomes idle, which
// would prevent a draining server from finishing.
func TestDrainIgnoresLaterPipelinedRequests(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	started := make(chan string, 2)
	s := &Server{
		Concurrent: func(*Exchange) bool { return true },
		Handle: func(x *Exchange) {
			started <- x.Request.URL.Path
			<-release
			_ = x.Reply(textReply(200, x.Request.URL.Path))
		},
	}
	nc, r := dial(t, startServer(t, s))
	send(t, nc, get("/a"))
	<-started
	s.Drain()
	send(t, nc, get("/b"))
	time.Sleep(20 * time.Millisecond)
	close(release)
	first, _ := readResponse(t, r)
	is.True(first.Close)
	is.Equal(len(started), 0)
}

// Guards the cancellation of exchanges when a client disconnects after
// pipelined requests. A server that stops reading would not detect it.
func TestClientDisconnectCancelsExchanges(t *testing.T) {
	for _, pipelined := range []int{1, 3} {
		t.Run(fmt.Sprint(pipelined), func(t *testing.T) {
			is := is.New(t)
			ended := make(chan error, pipelined)
			s := &Server{
				Concurrent: func(*Exchange) bool { return true },
				Handle: func(x *Exchange) {
					<-x.Context().Done()
					ended <- context.Cause(x.Context())
				},
			}
			nc, _ := dial(t, startServer(t, s))
			send(t, nc, strings.Repeat(get("/"), pipelined))
			time.Sleep(20 * time.Millisecond)
			_ = nc.Close()
			for range pipelined {
				select {
				case err := <-ended:
					is.True(errors.Is(err, ErrClientGone))
				case <-time.After(testTimeout):
					t.Fatal("client disconnect did not cancel the exchange")
				}
			}
		})
	}
}

// Guards the framing of request bodies: sized, chunked, empty and long ones.
func TestRequestBodies(t *testing.T) {
	long := strings.Repeat("x", maxBufferedBody+10)
	chunked := func(s string) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(s), s)
	}
	sized := func(s string) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(s), s)
	}
	for name, c := range map[string]struct{ request, body string }{
		"sized": {sized("abc"), "abc"}, "chunked": {chunked("abc"), "abc"}, "empty": {sized(""), ""},
		"long sized": {sized(long), long}, "long chunked": {chunked(long), long},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &Server{Handle: func(x *Exchange) {
				body := x.Body
				if x.Rest != nil {
					rest, err := io.ReadAll(x.Rest)
					if err != nil {
						return
					}
					body = append(body, rest...)
				}
				_ = x.Reply(&Reply{Status: 200, Body: body})
			}}
			nc, r := dial(t, startServer(t, s))
			go func() { _, _ = io.WriteString(nc, c.request) }()
			_, got := readResponse(t, r)
			is.True(got == c.body)
		})
	}
}

// Guards the status codes of refused requests.
func TestInvalidRequestsAreRefused(t *testing.T) {
	limits := func() Limits {
		return Limits{MaxHeaderBytes: 1024, MaxBodyBytes: 10, HeaderTimeout: 50 * time.Millisecond}
	}
	for name, c := range map[string]struct {
		request string
		status  int
	}{
		"malformed":      {"GET\r\n\r\n", 400},
		"head too large": {"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 4096) + "\r\n\r\n", 431},
		"head too slow":  {"GET / HTTP/1.1\r\n", 408},
		"body too large": {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n", 413},
		"chunks too large": {
			"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n14\r\n" + strings.Repeat("x", 20) + "\r\n0\r\n\r\n", 413,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &Server{Limits: limits, Handle: func(x *Exchange) { _ = x.Reply(textReply(200, "")) }}
			nc, r := dial(t, startServer(t, s))
			send(t, nc, c.request)
			resp, _ := readResponse(t, r)
			is.Equal(resp.StatusCode, c.status)
		})
	}
}

// Guards against a truncated response that looks complete to the client.
func TestAbortedResponseIsNeverComplete(t *testing.T) {
	for name, length := range map[string]int64{"sized": 100, "chunked": Chunked} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &Server{Handle: func(x *Exchange) {
				broken := io.MultiReader(strings.NewReader("part"), failingReader{})
				is.True(x.Reply(&Reply{Status: 200, Rest: broken, Length: length}) != nil)
			}}
			nc, r := dial(t, startServer(t, s))
			send(t, nc, get("/"))
			resp, err := http.ReadResponse(r, nil)
			is.NoErr(err)
			_, err = io.ReadAll(resp.Body)
			is.True(err != nil)
		})
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("broken") }

// scriptedServer responds to each request, over all connections, with the next
// of texts. An empty text closes the connection. It returns its address.
func scriptedServer(t *testing.T, texts ...string) string {
	t.Helper()
	address, _ := countingServer(t, texts...)
	return address
}

// countingServer is a scriptedServer that counts the requests that it reads.
func countingServer(t *testing.T, texts ...string) (address string, requests *atomic.Int64) {
	t.Helper()
	requests = &atomic.Int64{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	next := make(chan string, len(texts))
	for _, s := range texts {
		next <- s
	}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = nc.Close() }()
				r := bufio.NewReader(nc)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					requests.Add(1)
					_, _ = io.Copy(io.Discard, req.Body)
					response := <-next
					if response == "" {
						return
					}
					_, _ = io.WriteString(nc, response)
					if strings.HasPrefix(response, "HTTP/1.0") {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), requests
}

func newPool(address string) *Pool {
	liveness := Liveness{DialTimeout: testTimeout, ProbeInterval: time.Second, UserTimeout: testTimeout}
	return &Pool{Address: address, IdleTimeout: testTimeout, MaxIdleConns: 4, Dial: liveness.Dialer()}
}

func newRequest(id string) *Request {
	return &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, Matches: func(_ int, h http.Header, _ bool) bool {
		return h.Get("Id") == "" || h.Get("Id") == id
	}}
}

func responseText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func do(t *testing.T, p *Pool, req *Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	resp, err := p.Do(ctx, req)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

// checkTwoRequests sends two requests and checks that each gets its own
// response.
func checkTwoRequests(t *testing.T, p *Pool) {
	t.Helper()
	is := is.New(t)
	first, err := do(t, p, newRequest("1"))
	is.NoErr(err)
	second, err := do(t, p, newRequest("2"))
	is.NoErr(err)
	is.Equal(first, "one")
	is.Equal(second, "two")
}

// Guards against a mismatch of request and response: a late duplicate of an
// earlier response must be skipped.
func TestDuplicateResponseIsSkipped(t *testing.T) {
	checkTwoRequests(t, newPool(scriptedServer(t, responseText("1", "one"), responseText("1", "one")+responseText("2", "two"))))
}

// Guards against bytes after a complete response that are parsed as the next
// one. Their connection must not be reused.
func TestExtraBytesPreventConnectionReuse(t *testing.T) {
	checkTwoRequests(t, newPool(scriptedServer(t, responseText("", "one")+responseText("", "stray"), responseText("", "two"))))
}

// Guards ExchangeError.Sent: a request that was written may have run, a request
// without a connection has not.
func TestExchangeErrorReportsWhetherSent(t *testing.T) {
	is := is.New(t)
	_, err := do(t, newPool(scriptedServer(t, "")), newRequest("1"))
	var exchangeErr *ExchangeError
	is.True(errors.As(err, &exchangeErr))
	is.True(exchangeErr.Sent)

	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	_ = l.Close()
	_, err = do(t, newPool(l.Addr().String()), newRequest("1"))
	is.True(errors.As(err, &exchangeErr))
	is.True(!exchangeErr.Sent)
}

// Guards against an automatic resend by the client. A lost response must be
// reported as an error, also on a reused connection.
func TestRequestIsSentOnce(t *testing.T) {
	is := is.New(t)
	p := newPool(scriptedServer(t, responseText("", "one"), "", responseText("", "again")))
	_, err := do(t, p, newRequest("1"))
	is.NoErr(err)
	_, err = do(t, p, newRequest("2"))
	var exchangeErr *ExchangeError
	is.True(errors.As(err, &exchangeErr))
	is.True(exchangeErr.Sent && exchangeErr.Reused)
}

// Guards responses whose body ends with the connection, truncated bodies, 1xx
// responses, and bytes that are not a response.
func TestUnusualResponses(t *testing.T) {
	for name, c := range map[string]struct {
		response, body string
		fails          bool
	}{
		"no length":     {"HTTP/1.0 200 OK\r\n\r\nall", "all", false},
		"short":         {"HTTP/1.0 200 OK\r\nContent-Length: 10\r\n\r\nshort", "", true},
		"garbage":       {"\x00\x01garbage\r\n\r\n", "", true},
		"informational": {"HTTP/1.1 103 Early Hints\r\n\r\n" + responseText("", "late"), "late", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body, err := do(t, newPool(scriptedServer(t, c.response)), newRequest("1"))
			is.Equal(err != nil, c.fails)
			if !c.fails {
				is.Equal(body, c.body)
			}
		})
	}
}

// Guards the cancellation of the exchange at the server when the context of the
// client ends.
func TestContextCancelsExchange(t *testing.T) {
	is := is.New(t)
	canceled := make(chan struct{})
	s := &Server{Handle: func(x *Exchange) {
		<-x.Context().Done()
		close(canceled)
	}}
	p := newPool(startServer(t, s))
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	_, err := p.Do(ctx, newRequest("1"))
	is.True(errors.Is(err, context.DeadlineExceeded))
	select {
	case <-canceled:
	case <-time.After(testTimeout):
		t.Fatal("server did not cancel the exchange")
	}
}

// Guards against a next request that the server reads as the rest of a long
// body. After a response that arrives before the whole body was sent, the
// connection must not be reused.
func TestEarlyResponsePreventsConnectionReuse(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	conns := make(chan net.Conn, 2)
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			conns <- nc
			_, _ = io.WriteString(nc, responseText("", "early"))
		}
	}()
	p := newPool(l.Addr().String())
	body, stop := io.Pipe()
	req := newRequest("1")
	req.Method, req.Rest, req.Length = http.MethodPost, body, 1<<20
	got, err := do(t, p, req)
	is.NoErr(err)
	is.Equal(got, "early")
	_ = stop.Close()
	_, err = do(t, p, newRequest("2"))
	is.NoErr(err)
	is.Equal(len(conns), 2)
}
