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

// response is what a caller received for one request.
type response struct {
	id     string
	status int // 0 if no complete response arrived
	body   string
	header http.Header
	err    error
}

// served reports whether the response is a success that belongs to the request.
func (r *response) served() bool { return r.status == http.StatusOK && r.body == "ran "+r.id }

// refused reports whether the response states that the request has not run.
func (r *response) refused() bool {
	return r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
}

var lastRequest atomic.Int64

// newRequestID returns an ID that no other request of this test process has.
func newRequestID() string { return fmt.Sprintf("it-%d", lastRequest.Add(1)) }

// caller sends requests to one node. It keeps idle connections for reuse.
type caller struct {
	node   *node
	client *http.Client
}

func newCaller(n *node) *caller {
	return &caller{node: n, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
}

// send sends one request with a deadline and further header fields, which are
// alternating names and values. It gives up 2 s after the deadline.
func (c *caller) send(method, path string, deadline time.Duration, fields ...string) response {
	r := response{id: newRequestID()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.node.calls+path, strings.NewReader(requestBody(method, r.id)))
	if err != nil {
		r.err = err
		return r
	}
	req.GetBody = nil // the client must not resend a request by itself
	req.Host = host
	req.Header.Set("X-Request-Id", r.id)
	req.Header.Set("X-Deadline-Remaining", strconv.FormatInt(deadline.Milliseconds(), 10))
	for i := 0; i+1 < len(fields); i += 2 {
		req.Header.Set(fields[i], fields[i+1])
	}
	resp, err := c.client.Do(req)
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		r.err = err
		return r
	}
	r.status, r.body, r.header = resp.StatusCode, string(body), resp.Header
	return r
}

func requestBody(method, id string) string {
	if method == http.MethodPost {
		return "body of " + id
	}
	return ""
}

// startLoad starts one caller at each of the nodes, which sends one request
// after the other. The returned function stops the callers and returns all
// responses.
func (c *cluster) startLoad(method, path string, nodes []*node, pause time.Duration, fields ...string) (stop func() []response) {
	var mu sync.Mutex
	var all []response
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
				r := caller.send(method, path, 5*time.Second, fields...)
				mu.Lock()
				all = append(all, r)
				mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	return func() []response {
		close(ended)
		wait.Wait()
		return all
	}
}
