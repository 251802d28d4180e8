package test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/standin/upstream"
)

// Guards against a request that runs although its caller has left while it waited for a
// slot, because its body is too long to be read before it is handled. Found by the review
// of 2026-12-05 (review/5).
func TestLongRequestOfGoneCallerDoesNotRun(t *testing.T) {
	t.Parallel()
	const serviceTime, slots = 2500 * time.Millisecond, 8
	is := is.New(t)
	c := startCluster(t, 1)
	for _, n := range c.nodes {
		n.upstream.Set(upstream.Behaviour{ServiceTime: serviceTime})
	}
	busy := c.nodesOf(services[1])
	var others sync.WaitGroup
	for i := range slots * len(busy) {
		others.Go(func() { newCaller(c.nodes[i%len(c.nodes)]).send(http.MethodPost, "/bookings/1", 15*time.Second) })
	}
	running := func() (n int) {
		for _, b := range busy {
			n += b.upstream.Running()
		}
		return n
	}
	c.await(awaitTimeout, "all slots in use", func() bool { return running() == slots*len(busy) })
	var left []string
	for _, length := range []int{300 << 10, 960 << 10} {
		for _, n := range c.nodes {
			id := newRequestID()
			left = append(left, id)
			others.Go(func() { leaveWhileWaiting(t, n, id, length) })
		}
	}
	others.Wait()
	time.Sleep(serviceTime / 2) // slots are free: requests that still wait begin
	for _, id := range left {
		is.Equal(c.ledger.Count(id), 0)
	}
}

// leaveWhileWaiting sends a request with a body, waits a moment for a response and closes
// its connection.
func leaveWhileWaiting(t *testing.T, n *node, id string, length int) {
	nc, err := net.Dial("tcp", n.calls)
	if err != nil {
		t.Error(err)
		return
	}
	defer func() { _ = nc.Close() }()
	go func() { // the node may not read all of it
		_, _ = fmt.Fprintf(nc, "POST /bookings/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Remaining: 15000\r\nContent-Length: %d\r\n\r\n", host, id, length)
		_, _ = io.WriteString(nc, strings.Repeat("x", length))
	}()
	_ = nc.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	var answer [64]byte
	if read, err := nc.Read(answer[:]); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("request %s does not wait: %q, %v", id, answer[:read], err)
	}
}
