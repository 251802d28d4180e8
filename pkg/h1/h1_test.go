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
	"testing"
	"time"

	"github.com/matryer/is"
)

const patience = 5 * time.Second // bounds what must happen, not how fast

// start serves handle on loopback.
func start(t *testing.T, s *Server) string {
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
	_ = nc.SetDeadline(time.Now().Add(patience))
	return nc, bufio.NewReader(nc)
}

func send(t *testing.T, nc net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(nc, text); err != nil {
		t.Fatal(err)
	}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// read returns status and body of the next answer.
func read(t *testing.T, r *bufio.Reader) (*http.Response, string) {
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

func text(status int, s string) *Reply { return &Reply{Status: status, Body: []byte(s)} }

// Guards the order of answers when later requests finish first.
func TestPipelinedAnswersKeepTheirOrder(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	s := &Server{
		Concurrent: func(*Exchange) bool { return true },
		Handle: func(x *Exchange) {
			if x.Request.URL.Path == "/slow" {
				<-release
			}
			_ = x.Reply(text(200, x.Request.URL.Path))
			if x.Request.URL.Path == "/fast" {
				t.Log("fast answered")
			}
		},
	}
	nc, r := dial(t, start(t, s))
	send(t, nc, get("/slow")+get("/fast"))
	time.AfterFunc(50*time.Millisecond, func() { close(release) })
	_, first := read(t, r)
	_, second := read(t, r)
	is.Equal(first, "/slow")
	is.Equal(second, "/fast")
}

// Guards against a non-idempotent request that runs although an earlier answer
// ends the connection: its caller sends it again.
func TestRequestBehindLastAnswerIsNotHandled(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var handled []string
	s := &Server{Handle: func(x *Exchange) {
		mu.Lock()
		handled = append(handled, x.Request.URL.Path)
		mu.Unlock()
		x.CloseAfter = true
		_ = x.Reply(text(200, ""))
	}}
	nc, r := dial(t, start(t, s))
	send(t, nc, get("/first")+get("/second"))
	resp, _ := read(t, r)
	is.True(resp.Close)
	_, err := r.ReadByte()
	is.True(errors.Is(err, io.EOF))
	mu.Lock()
	defer mu.Unlock()
	is.Equal(handled, []string{"/first"})
}

// Guards against the loss of requests that are already running when the server
// begins to drain: only the answer to the last of them ends the connection.
func TestDrainAnswersWhatWasTaken(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	taken := make(chan struct{}, 2)
	s := &Server{
		Concurrent: func(*Exchange) bool { return true },
		Handle: func(x *Exchange) {
			taken <- struct{}{}
			<-release
			_ = x.Reply(text(200, x.Request.URL.Path))
		},
	}
	nc, r := dial(t, start(t, s))
	send(t, nc, get("/a")+get("/b"))
	<-taken
	<-taken
	s.Drain()
	close(release)
	first, _ := read(t, r)
	second, body := read(t, r)
	is.True(!first.Close)
	is.True(second.Close)
	is.Equal(body, "/b")
}

// Guards against a pipelining client that never lets its connection fall idle
// and so keeps a draining server busy to the end.
func TestDrainTakesNothingBehindWhatWasTaken(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	taken := make(chan string, 2)
	s := &Server{
		Concurrent: func(*Exchange) bool { return true },
		Handle: func(x *Exchange) {
			taken <- x.Request.URL.Path
			<-release
			_ = x.Reply(text(200, x.Request.URL.Path))
		},
	}
	nc, r := dial(t, start(t, s))
	send(t, nc, get("/a"))
	<-taken
	s.Drain()
	send(t, nc, get("/b"))
	time.Sleep(20 * time.Millisecond)
	close(release)
	first, _ := read(t, r)
	is.True(first.Close)
	is.Equal(len(taken), 0)
}

// Guards the cancellation of work when a caller leaves behind pipelined
// requests, which a server that stops reading does not notice.
func TestCallerThatLeavesIsNoticed(t *testing.T) {
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
			nc, _ := dial(t, start(t, s))
			send(t, nc, strings.Repeat(get("/"), pipelined))
			time.Sleep(20 * time.Millisecond)
			_ = nc.Close()
			for range pipelined {
				select {
				case err := <-ended:
					is.True(errors.Is(err, ErrClientGone))
				case <-time.After(patience):
					t.Fatal("caller's departure was not noticed")
				}
			}
		})
	}
}

// Guards the framing of request bodies: sized, chunked, empty and long ones.
func TestRequestBodies(t *testing.T) {
	long := strings.Repeat("x", bodyBuffer+10)
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
			nc, r := dial(t, start(t, s))
			go func() { _, _ = io.WriteString(nc, c.request) }()
			_, got := read(t, r)
			is.True(got == c.body)
		})
	}
}

// Guards the answers to requests that are no acceptable ones.
func TestFaultyRequests(t *testing.T) {
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
			s := &Server{Limits: limits, Handle: func(x *Exchange) { _ = x.Reply(text(200, "")) }}
			nc, r := dial(t, start(t, s))
			send(t, nc, c.request)
			resp, _ := read(t, r)
			is.Equal(resp.StatusCode, c.status)
		})
	}
}

// Guards against an answer that ends early and looks complete.
func TestBrokenAnswerIsNeverComplete(t *testing.T) {
	for name, length := range map[string]int64{"sized": 100, "chunked": Chunked} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &Server{Handle: func(x *Exchange) {
				broken := io.MultiReader(strings.NewReader("part"), failing{})
				is.True(x.Reply(&Reply{Status: 200, Rest: broken, Length: length}) != nil)
			}}
			nc, r := dial(t, start(t, s))
			send(t, nc, get("/"))
			resp, err := http.ReadResponse(r, nil)
			is.NoErr(err)
			_, err = io.ReadAll(resp.Body)
			is.True(err != nil)
		})
	}
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, errors.New("broken") }

// script answers each connection by the texts it is given, one a request; an
// empty text closes the connection.
func script(t *testing.T, texts ...string) string {
	t.Helper()
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
					_, _ = io.Copy(io.Discard, req.Body)
					answer := <-next
					if answer == "" {
						return
					}
					_, _ = io.WriteString(nc, answer)
					if strings.HasPrefix(answer, "HTTP/1.0") {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func pool(address string) *Pool {
	live := Liveness{DialTimeout: patience, ProbeInterval: time.Second, UserTimeout: patience}
	return &Pool{Address: address, IdleTimeout: patience, MaxIdleConns: 4, Dial: live.Dialer()}
}

func request(id string) *Request {
	return &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, Matches: func(_ int, h http.Header) bool {
		return h.Get("Id") == "" || h.Get("Id") == id
	}}
}

func answerText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func do(t *testing.T, p *Pool, o *Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	a, err := p.Do(ctx, o)
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

// getsBoth sends two requests and checks that each gets its own answer.
func getsBoth(t *testing.T, p *Pool) {
	t.Helper()
	is := is.New(t)
	first, err := do(t, p, request("1"))
	is.NoErr(err)
	second, err := do(t, p, request("2"))
	is.NoErr(err)
	is.Equal(first, "one")
	is.Equal(second, "two")
}

// Guards against the answer to an earlier request being taken for the one that
// is due: a duplicate that arrives late.
func TestDuplicateAnswerIsSkipped(t *testing.T) {
	getsBoth(t, pool(script(t, answerText("1", "one"), answerText("1", "one")+answerText("2", "two"))))
}

// Guards against bytes after a complete answer being taken for the next one:
// their connection is not used again.
func TestExtraBytesEndTheConnection(t *testing.T) {
	getsBoth(t, pool(script(t, answerText("", "one")+answerText("", "stray"), answerText("", "two"))))
}

// Guards the truth of Sent: a request that was written may have run, one that
// found no connection has not.
func TestFailureTellsWhetherSent(t *testing.T) {
	is := is.New(t)
	_, err := do(t, pool(script(t, "")), request("1"))
	var f *ExchangeError
	is.True(errors.As(err, &f))
	is.True(f.Sent)

	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	_ = l.Close()
	_, err = do(t, pool(l.Addr().String()), request("1"))
	is.True(errors.As(err, &f))
	is.True(!f.Sent)
}

// Guards against a second send by the client itself: a lost answer is reported,
// also on a reused connection.
func TestRequestIsSentOnce(t *testing.T) {
	is := is.New(t)
	p := pool(script(t, answerText("", "one"), "", answerText("", "again")))
	_, err := do(t, p, request("1"))
	is.NoErr(err)
	_, err = do(t, p, request("2"))
	var f *ExchangeError
	is.True(errors.As(err, &f))
	is.True(f.Sent && f.Reused)
}

// Guards bodies that end with the connection, short bodies and bytes that are
// no answer.
func TestUnusualAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		answer, body string
		fails        bool
	}{
		"no length":     {"HTTP/1.0 200 OK\r\n\r\nall", "all", false},
		"short":         {"HTTP/1.0 200 OK\r\nContent-Length: 10\r\n\r\nshort", "", true},
		"garbage":       {"\x00\x01garbage\r\n\r\n", "", true},
		"informational": {"HTTP/1.1 103 Early Hints\r\n\r\n" + answerText("", "late"), "late", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body, err := do(t, pool(script(t, c.answer)), request("1"))
			is.Equal(err != nil, c.fails)
			if !c.fails {
				is.Equal(body, c.body)
			}
		})
	}
}

// Guards the end of work at the server when the caller's context ends.
func TestContextEndsTheExchange(t *testing.T) {
	is := is.New(t)
	gone := make(chan struct{})
	s := &Server{Handle: func(x *Exchange) {
		<-x.Context().Done()
		close(gone)
	}}
	p := pool(start(t, s))
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	_, err := p.Do(ctx, request("1"))
	is.True(errors.Is(err, context.DeadlineExceeded))
	select {
	case <-gone:
	case <-time.After(patience):
		t.Fatal("server did not notice the end of the exchange")
	}
}

// Guards against other bytes where the rest of a long body is due: after an
// early answer the connection is not used again.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
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
			_, _ = io.WriteString(nc, answerText("", "early"))
		}
	}()
	p := pool(l.Addr().String())
	body, stop := io.Pipe()
	o := request("1")
	o.Method, o.Rest, o.Length = http.MethodPost, body, 1<<20
	got, err := do(t, p, o)
	is.NoErr(err)
	is.Equal(got, "early")
	_ = stop.Close()
	_, err = do(t, p, request("2"))
	is.NoErr(err)
	is.Equal(len(conns), 2)
}
