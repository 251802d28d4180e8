package test

import (
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/standin/upstream"
)

// logLine is a log line about a request.
type logLine struct {
	Message string   `json:"msg"`
	Request string   `json:"request"`
	Status  int      `json:"status"`
	Reason  string   `json:"reason"`
	Run     string   `json:"run"`
	Verdict string   `json:"verdict"`
	Asked   []string `json:"asked"`
	Limit   int      `json:"limit"`
	Waiting int      `json:"waiting"`
	Path    string   `json:"path"`
	Version uint64   `json:"version"`
	Error   string   `json:"error"`
}

// logLines returns the log lines of a node about one request.
func (n *node) logLines(id string) []logLine {
	n.c.t.Helper()
	text, err := os.ReadFile(n.logFile)
	if err != nil {
		n.c.t.Fatal(err)
	}
	var all []logLine
	for s := range strings.Lines(string(text)) {
		var l logLine
		if json.Unmarshal([]byte(s), &l) == nil && l.Request == id {
			all = append(all, l)
		}
	}
	return all
}

// refusalLine waits for the log line with which a node refused a call, and
// returns it.
func (n *node) refusalLine(id string) logLine {
	n.c.t.Helper()
	for range 100 {
		for _, l := range n.logLines(id) {
			if l.Message == "call refused" {
				return l
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	n.c.t.Fatalf("node %s has no line that call %s was refused", n.name, id)
	return logLine{}
}

// nodeByName returns the node with a name.
func (c *cluster) nodeByName(name string) *node {
	c.t.Helper()
	for _, n := range c.nodes {
		if n.name == name {
			return n
		}
	}
	c.t.Fatalf("no node is called %q", name)
	return nil
}

// Guards that log lines alone lead from the ID of a call that was refused under
// overload to the slots that were in use (docs/OPERATIONS.md).
func TestTraceOfAnOverloadedCall(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 1)
	for _, n := range c.nodes {
		n.upstream.Set(upstream.Behaviour{ServiceTime: 500 * time.Millisecond})
	}
	from := c.nodes[0]
	responses := make(chan response, 48) // fewer refusals than a node logs per second
	var wait sync.WaitGroup
	for range cap(responses) {
		wait.Go(func() { responses <- newCaller(from).send(http.MethodPost, "/bookings/1", 4*time.Second) })
	}
	wait.Wait()
	close(responses)
	for r := range responses {
		if !r.refused() {
			continue
		}
		refusal := from.refusalLine(r.id)
		is.Equal(refusal.Status, r.status)
		is.Equal(refusal.Run, "not_run")
		is.True(refusal.Verdict != "")
		is.True(len(refusal.Asked) > 0)
		for _, l := range c.nodeByName(refusal.Asked[len(refusal.Asked)-1]).logLines(r.id) {
			if l.Limit > 0 && l.Waiting > 0 {
				return // the cause: the slots were in use and calls waited
			}
		}
	}
	t.Fatal("no refused call has a log line with the limit and the number of waiting calls")
}

// Guards that log lines lead from the ID of a non-idempotent call whose response
// was lost to the error of the upstream connection.
func TestTraceOfALostCall(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 1)
	target := c.nodesOf(services[1])[0]
	target.upstream.Set(upstream.Behaviour{LoseResponses: true})
	from := c.nodesOf(services[0])[0]
	r := newCaller(from).send(http.MethodPost, "/bookings/1", 3*time.Second)
	is.Equal(r.status, http.StatusBadGateway)
	refusal := from.refusalLine(r.id)
	is.Equal(refusal.Reason, "upstream_lost")
	is.Equal(refusal.Run, "unknown")
	is.Equal(refusal.Verdict, "possible_run")
	is.Equal(refusal.Asked, []string{target.name})
	var targetLines []logLine
	c.await(awaitTimeout, "the node of the upstream has a line about the call", func() bool {
		targetLines = target.logLines(r.id) // a node writes its log asynchronously
		return len(targetLines) > 0
	})
	is.Equal(targetLines[0].Reason, "upstream_lost")
	is.True(targetLines[0].Error != "")
}

// Guards that log lines lead from the ID of a call without a route to the version
// that was in force.
func TestTraceOfACallWithoutRoute(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 1)
	r := newCaller(c.nodes[0]).send(http.MethodGet, "/unknown", time.Second)
	is.Equal(r.status, http.StatusNotFound)
	refusal := c.nodes[0].refusalLine(r.id)
	is.Equal(refusal.Reason, "no_rule")
	is.Equal(refusal.Version, uint64(1))
	is.Equal(refusal.Path, "/unknown")
}
