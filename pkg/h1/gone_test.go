package h1

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// goneLimit is how soon a server must notice that a client has left.
const goneLimit = 500 * time.Millisecond

// Guards against a request that is run although its client has left, because nobody
// reads its connection while a part of its body is unread. Found by the review of
// 2026-12-05 (review/5).
func TestDisconnectIsNoticedWhileBodyWaits(t *testing.T) {
	body := strings.Repeat("x", maxBufferedBody+40<<10) // what is not buffered fits into the socket
	for name, request := range map[string]string{
		"length":  fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"chunked": fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		"partial": fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 2*len(body), body),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			handled, gone := make(chan struct{}), make(chan struct{})
			s := &Server{Handle: func(x *Exchange) {
				close(handled)
				<-x.Context().Done() // as a call that waits for a slot
				close(gone)
			}}
			nc, _ := dial(t, startServer(t, s))
			send(t, nc, request)
			<-handled
			select {
			case <-gone:
				t.Fatal("the client is still there")
			case <-time.After(goneLimit):
			}
			is.NoErr(nc.Close())
			select {
			case <-gone:
			case <-time.After(goneLimit):
				t.Fatal("the disconnect was not noticed")
			}
		})
	}
}

// Guards against a request that a further node runs although it was cancelled, because
// the close of its connection waits behind a body that nobody reads.
func TestCancelReachesServerThatDoesNotRead(t *testing.T) {
	is := is.New(t)
	handled, gone := make(chan struct{}), make(chan struct{})
	s := &Server{Handle: func(x *Exchange) {
		close(handled)
		<-x.Context().Done()
		close(gone)
	}}
	p := &Pool{Address: startServer(t, s), IdleTimeout: time.Minute, MaxIdleConns: 1, Dial: (&Liveness{DialTimeout: time.Second}).Dialer()}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan error, 1)
	const length = 32 << 20 // more than the buffers of both sockets hold
	go func() {
		_, err := p.Do(ctx, &Request{
			Method: http.MethodPost, Target: "/", Host: "h", Rest: io.LimitReader(bytes.NewReader(make([]byte, length)), length), Length: length,
		})
		ended <- err
	}()
	<-handled
	time.Sleep(100 * time.Millisecond) // until the buffers are full
	cancel()
	select {
	case <-gone:
	case <-time.After(goneLimit):
		t.Fatal("the cancellation was not noticed")
	}
	is.True(<-ended != nil)
}
