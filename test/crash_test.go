package test

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/standin/upstream"
)

// crashingRuns returns the number of runs of the request that crashes upstreams.
func (c *cluster) crashingRuns() int {
	n := 0
	for _, r := range c.ledger.Runs() {
		if strings.Contains(r.Target, "crash") {
			n++
		}
	}
	return n
}

// restartCrashed starts the upstreams that the request has crashed, and waits until
// they are in use.
func (c *cluster) restartCrashed() {
	c.t.Helper()
	for _, n := range c.nodesOf(services[0]) {
		if s, err := n.state(); err != nil || !s.Serving {
			n.upstream.Crash()
			n.startUpstream()
		}
	}
	c.await(startTimeout, "upstreams in use", func() bool { return c.ready(len(c.nodes)) })
}

// Guards against a request that crashes one upstream after the other, because it does so
// after the head of its response: only attempts without a head were examined. The
// upstreams are back after each crash. Found by the review of 2026-12-07 (review/10).
func TestRequestThatCrashesDuringItsResponseIsStopped(t *testing.T) {
	t.Parallel()
	for _, place := range []string{"", upstream.CrashAfterHead, upstream.CrashInBody, upstream.CrashInChunks, upstream.CrashInUnlimited} {
		t.Run("crash"+place, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := startCluster(t, 3)
			callers := c.nodesOf(services[1]) // of one service
			refused := 0
			for i := range 8 {
				r := newCaller(callers[i%len(callers)]).send(http.MethodGet, "/status/crash"+place, time.Second)
				is.True(!r.served())
				if r.refused() {
					refused++
				}
				time.Sleep(150 * time.Millisecond) // a node inspects its upstream 20 ms after it lost the connection
				c.restartCrashed()
			}
			is.True(c.crashingRuns() >= 2)
			is.True(c.crashingRuns() <= 3)
			is.True(refused >= 5)
		})
	}
}

// Guards against requests that are refused because they count as crashing upstreams,
// although these live on or have ended as they announced.
func TestLostResponsesOfSoundUpstreamsAreNoCrashes(t *testing.T) {
	t.Parallel()
	for name, b := range map[string]upstream.Behaviour{
		"truncated": {Truncate: true}, "lost": {LoseResponses: true}, "malformed": {Malformed: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := startCluster(t, 2)
			for _, n := range c.nodesOf(services[0]) {
				n.upstream.Set(b)
			}
			for i := range 10 {
				newCaller(c.nodes[i%len(c.nodes)]).send(http.MethodGet, "/status/1", time.Second)
			}
			for _, n := range c.nodesOf(services[0]) {
				n.upstream.Set(upstream.Behaviour{})
			}
			r := newCaller(c.nodes[0]).send(http.MethodGet, "/status/1", 3*time.Second)
			is.True(r.served())
		})
	}
	t.Run("departed", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		c := startCluster(t, 2)
		for _, n := range c.nodesOf(services[0]) {
			n.upstream.Set(upstream.Behaviour{ServiceTime: 5 * time.Second})
			done := make(chan response, 1)
			go func() { done <- newCaller(c.nodesOf(services[1])[0]).send(http.MethodGet, "/status/1", 3*time.Second) }()
			c.await(awaitTimeout, "request runs", func() bool { return n.upstream.Running() > 0 || len(done) > 0 })
			for _, o := range c.nodesOf(services[0]) { // the one that runs it leaves
				if o.upstream.Running() > 0 {
					is.True(o.upstream.Drain())
					o.upstream.Leave()
					o.upstream.Crash()
					o.startUpstream()
				}
			}
			<-done
			c.await(startTimeout, "upstreams in use", func() bool { return c.ready(len(c.nodes)) })
		}
		r := newCaller(c.nodes[0]).send(http.MethodGet, "/status/1", 3*time.Second)
		is.True(r.served())
	})
}

// Guards against a request that crashes one upstream after the other again, because
// the records of its crashes ended with the processes that held them. Found by the
// review of 2026-12-05 (review/2).
func TestCrashingRequestStaysRefusedAfterRestarts(t *testing.T) {
	t.Parallel()
	for name, restart := range map[string]func(c *cluster, send func()){
		"in turn": func(c *cluster, send func()) {
			for _, n := range c.nodesOf(services[0]) {
				n.restartProcess(syscall.SIGTERM)
				c.await(startTimeout, "restarted node ready", func() bool { return c.ready(len(c.nodes)) })
				send()
			}
		},
		"in turn without store": func(c *cluster, send func()) {
			c.setStoreAway(true)
			for _, n := range c.nodes {
				n.restartProcess(syscall.SIGKILL)
				c.await(startTimeout, "restarted node ready", func() bool { return c.ready(len(c.nodes)) })
				send()
			}
		},
		"all together": func(c *cluster, send func()) {
			restartAll(c.nodes, syscall.SIGKILL)
			c.await(startTimeout, "restarted nodes ready", func() bool { return c.ready(len(c.nodes)) })
			send()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := startCluster(t, 3)
			callers := c.nodesOf(services[1])
			sent := 0
			send := func() {
				for range 3 {
					newCaller(callers[sent%len(callers)]).send(http.MethodGet, "/status/crash", time.Second)
					sent++
					time.Sleep(150 * time.Millisecond) // a node inspects its upstream 20 ms after it lost the connection
				}
				c.restartCrashed()
			}
			send()
			first := c.crashingRuns()
			is.True(first > 0 && first <= 3)
			c.await(awaitTimeout, "record in the store", func() bool { return len(c.store.Keys("lentilflow-crashes")) > 0 })
			restart(c, send)
			is.Equal(c.crashingRuns(), first)
			r := newCaller(callers[0]).send(http.MethodGet, "/status/1", 3*time.Second)
			is.True(r.served())
		})
	}
}
