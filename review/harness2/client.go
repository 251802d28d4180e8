//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var requestNumber atomic.Int64

// result is how one client attempt ended. status is 0 if the connection ended without a
// complete answer.
type result struct {
	id, via   string
	method    string
	sent      time.Time
	took      time.Duration
	status    int
	signature string
	body      string
	connected bool // the request was written to an open connection
	err       error
}

func (r *result) String() string {
	if r.status == 0 {
		return fmt.Sprintf("client at %s: %s %s: no complete answer after %.3f s: %v", r.via, r.method, r.id, r.took.Seconds(), r.err)
	}
	return fmt.Sprintf("client at %s: %s %s: %d, signature %q, after %.3f s", r.via, r.method, r.id, r.status, r.signature, r.took.Seconds())
}

// send sends one request on a new connection and reads the whole answer. limit is the
// client's time limit.
func send(n *node, method, host, path, body string, limit time.Duration, rec *record) *result {
	r := &result{id: fmt.Sprintf("%016x", 0x7e00000000+requestNumber.Add(1)), via: n.name, method: method, sent: time.Now()}
	defer func() {
		r.took = time.Since(r.sent)
		rec.add("%s", r)
	}()
	c, err := net.DialTimeout("tcp", n.outbound(), time.Second)
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(r.sent.Add(limit))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Remaining: %d\r\n", method, path, host, r.id, limit.Milliseconds())
	if method == http.MethodPost {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	rec.add("client at %s: sends %s %s%s as %s", n.name, method, host, path, r.id)
	if _, r.err = io.WriteString(c, head.String()+"\r\n"+body); r.err != nil {
		return r
	}
	r.connected = true
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.err = err
		return r
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		r.err = err
		return r
	}
	r.status, r.signature, r.body = resp.StatusCode, resp.Header.Get("X-Server-Signature"), string(text)
	return r
}
