package h1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// spliceServer responds to each request with the text that response returns for its
// path, written at once. It returns its address.
func spliceServer(t *testing.T, response func(path string) string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	serve := func(nc net.Conn) {
		defer func() { _ = nc.Close() }()
		r := bufio.NewReader(nc)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.WriteString(nc, response(req.URL.Path)); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go serve(nc)
		}
	}()
	return l.Addr().String()
}

// spliceResponse returns a response to the request id.
func spliceResponse(status, id, fields, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nDate: Sun, 06 Dec 2026 23:55:00 GMT\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, fields, len(body), body)
}

// Guards against a response that is made up of two: a copy of the response before it
// breaks off at any byte, and the response that is due follows at once. The status or the
// fields of the copy must not be taken for those of the request. Found by the review of
// 2026-12-05 (review/1).
func TestBrokenCopyIsNotTakenForTheResponse(t *testing.T) {
	rejected := spliceResponse("503 Service Unavailable", "first", "X-Rejected: 1\r\n", "")
	kinds := map[string]struct{ copied, due string }{
		"rejection, then success": {rejected, spliceResponse("200 OK", "due", "", "done")},
		"success, then rejection": {spliceResponse("200 OK", "first", "X-Receipt: r\r\n", "first"), spliceResponse("503 Service Unavailable", "due", "X-Rejected: 1\r\n", "")},
		"success, then failure":   {spliceResponse("200 OK", "first", "", "first"), spliceResponse("500 Internal Server Error", "due", "", "failed")},
		"interim, then success":   {"HTTP/1.1 103 Early Hints\r\nX-Rejected: 1\r\n\r\n", spliceResponse("200 OK", "due", "", "done")},
	}
	for name, k := range kinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			due, err := http.ReadResponse(bufio.NewReader(strings.NewReader(k.due)), nil)
			is.NoErr(err)
			accepted, wrong := 0, 0
			for cut := range len(k.copied) + 1 {
				address := spliceServer(t, func(path string) string {
					if path == "/first" {
						return spliceResponse("200 OK", "first", "", "first")
					}
					return k.copied[:cut] + k.due
				})
				p := &Pool{Address: address, IdleTimeout: time.Minute, MaxIdleConns: 1, Dial: (&Liveness{DialTimeout: time.Second}).Dialer()}
				for _, id := range []string{"first", "due"} {
					ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
					resp, err := p.Do(ctx, &Request{
						Method: http.MethodPost, Target: "/" + id, Host: "h", Body: []byte("x"), Length: 1,
						Matches: func(_ int, h http.Header, _ bool) bool { return h.Get("X-Id") == id },
					})
					if err == nil && id == "due" {
						accepted++
						if resp.Status != due.StatusCode || resp.Header.Get("X-Rejected") != due.Header.Get("X-Rejected") || resp.Header.Get("X-Receipt") != "" {
							wrong++
							t.Logf("cut at %d of %q: got status %d, fields %v", cut, k.copied[:cut], resp.Status, resp.Header)
						}
					}
					if err == nil {
						_, _ = io.ReadAll(resp)
						resp.Close()
					}
					cancel()
				}
				p.Close()
			}
			is.Equal(wrong, 0)
			is.True(accepted > 0) // without a copy, and after a whole one
		})
	}
}

// Guards against the rejection of responses whose fields name a protocol.
func TestSecondStatusLineIsDetected(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"HTTP/1.1 200 OK", "1HTTP/1.0 503 Service Unavailable", "OK HTTP/1.1 200", "x\rHTTP/1.1 421 a", "HTTP/1.1 200 HTTP/1.1"} {
		is.True(containsStatusLine(text))
	}
	for _, text := range []string{"", "HTTP/1.1 proxy.example", "1.1 a, HTTP/1.1 b (c)", "HTTP/1.1", "HTTP/1.1 2000", "HTTP/2.0 200 OK", "200 OK"} {
		is.True(!containsStatusLine(text))
	}
}
