package test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answer is what a caller saw.
type answer struct {
	id     string
	status int // 0 if the connection ended without an answer
	body   string
	header http.Header
	err    error
}

// served reports whether the answer is a success that belongs to the request.
func (a *answer) served() bool { return a.status == http.StatusOK && a.body == "ran "+a.id }

// refused reports whether the answer promises that the request has not run.
func (a *answer) refused() bool {
	return a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
}

var requests atomic.Int64

// newID returns an id that no other request of this run has.
func newID() string { return fmt.Sprintf("it-%d", requests.Add(1)) }

// caller sends requests to one node and keeps its connections.
type caller struct {
	node   *node
	client *http.Client
}

func newCaller(n *node) *caller {
	return &caller{node: n, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
}

// send sends one request with a deadline and further header fields.
func (c *caller) send(method, path string, deadline time.Duration, fields ...string) answer {
	a := answer{id: newID()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.node.calls+path, strings.NewReader(bodyOf(method, a.id)))
	if err != nil {
		a.err = err
		return a
	}
	req.GetBody = nil // the client must not repeat a request by itself
	req.Host = host
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Deadline-Remaining", strconv.FormatInt(deadline.Milliseconds(), 10))
	for i := 0; i+1 < len(fields); i += 2 {
		req.Header.Set(fields[i], fields[i+1])
	}
	resp, err := c.client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.body, a.header = resp.StatusCode, string(body), resp.Header
	return a
}

func bodyOf(method, id string) string {
	if method == http.MethodPost {
		return "body of " + id
	}
	return ""
}

// load sends requests from all nodes until stop is called, which returns the
// answers.
func (c *cluster) load(method, path string, nodes []*node, pause time.Duration, fields ...string) (stop func() []answer) {
	var mu sync.Mutex
	var all []answer
	var wait sync.WaitGroup
	ended := make(chan struct{})
	for _, n := range nodes {
		caller := newCaller(n)
		wait.Go(func() {
			for {
				select {
				case <-ended:
					return
				default:
				}
				a := caller.send(method, path, 5*time.Second, fields...)
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	return func() []answer {
		close(ended)
		wait.Wait()
		return all
	}
}
