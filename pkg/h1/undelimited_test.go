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
	"testing"
	"time"

	"github.com/matryer/is"
)

// How the server of TestBrokenResponseIsNeverComplete ends a connection.
const (
	endsOrderly = "close"
	endsHalf    = "half-close" // it goes on reading
	endsReset   = "reset"
)

// How much of the request body the server reads, and the client sends, before the
// connection ends.
const (
	bodyNotBegun = "not begun"
	bodyHalf     = "half"
	bodyDone     = "done"
)

// longBody is longer than the buffers of a connection, so that its writer waits for the
// server.
const longBody = 24 << 20

// endingServer answers one request with the first bytes of a response and ends the
// connection. It returns its address.
func endingServer(t *testing.T, response, end, body string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = nc.Close() }()
		br := bufio.NewReader(nc)
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		switch body {
		case bodyHalf:
			_, _ = io.CopyN(io.Discard, r.Body, longBody/2)
		case bodyDone:
			_, _ = io.Copy(io.Discard, r.Body)
		}
		_, _ = io.WriteString(nc, response)
		time.Sleep(30 * time.Millisecond) // the writer of the client waits
		switch end {
		case endsReset:
			_ = nc.(*net.TCPConn).SetLinger(0)
		case endsHalf:
			_ = nc.(*net.TCPConn).CloseWrite()
			time.Sleep(time.Second)
		}
	}()
	return l.Addr().String()
}

// Guards against a response that looks complete although its connection was reset, because
// the writer of a long request body got the error of the connection. It covers each place
// of a response without a length, and each state of the request body. Found by the review
// of 2026-12-07 (review/6).
func TestBrokenResponseIsNeverComplete(t *testing.T) {
	const head, text = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "the whole body of the response"
	whole := head + text
	for _, end := range []string{endsOrderly, endsHalf, endsReset} {
		for _, body := range []string{bodyNotBegun, bodyHalf, bodyDone} {
			for _, length := range []int64{longBody, Chunked} {
				for _, cut := range []int{len(head) / 2, len(head), len(head) + 1, len(head) + len(text)/2, len(whole)} {
					t.Run(fmt.Sprint(end, ", body ", body, ", length ", length, ", cut at ", cut), func(t *testing.T) {
						t.Parallel()
						is := is.New(t)
						p := &Pool{Address: endingServer(t, whole[:cut], end, body), IdleTimeout: time.Minute, Dial: (&Liveness{DialTimeout: time.Second}).Dialer()}
						ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
						defer cancel()
						resp, err := p.Do(ctx, &Request{
							Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{},
							Body: []byte("x"), Rest: io.LimitReader(zeros{}, longBody-1), Length: length,
						})
						if cut < len(head) {
							is.True(err != nil)
							return
						}
						if err != nil {
							return // the reset has overtaken the head
						}
						defer resp.Close()
						got, err := io.ReadAll(resp)
						complete := err == nil
						is.True(strings.HasPrefix(text, string(got)))
						switch {
						case end == endsReset:
							is.True(!complete)
						case end == endsHalf, body == bodyDone: // an orderly end
							is.True(complete)
							is.Equal(string(got), whole[len(head):cut])
						default: // a server that has not read the whole request resets the connection when it closes it
							is.True(!complete || string(got) == whole[len(head):cut])
						}
						is.True(!errors.Is(err, context.DeadlineExceeded))
					})
				}
			}
		}
	}
}

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// cutReader returns its text and then an error.
type cutReader struct{ io.Reader }

func (r cutReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		time.Sleep(20 * time.Millisecond) // the text has arrived
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Guards against a response that looks complete to a caller of HTTP/1.0, to which it ends
// with the connection, although the upstream has cut it off.
func TestCutResponseToOldCallerIsReset(t *testing.T) {
	for _, cut := range []bool{false, true} {
		is := is.New(t)
		s := &Server{Handle: func(x *Exchange) {
			rest := io.Reader(strings.NewReader("the rest"))
			if cut {
				rest = cutReader{rest}
			}
			_ = x.Reply(&Reply{Status: http.StatusOK, Header: http.Header{}, Body: []byte("start, "), Rest: rest, Length: Chunked})
		}}
		nc, br := dial(t, startServer(t, s))
		send(t, nc, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
		text, err := io.ReadAll(br)
		is.True(strings.HasSuffix(string(text), "start, the rest"))
		is.Equal(err != nil, cut)
	}
}
