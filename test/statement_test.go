package test

import (
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/standin/ratecheck"
	"github.com/lentilflow/lentilflow/pkg/standin/upstream"
)

// mostRuns returns the largest number of runs that began at a boot within
// ratecheck.Window after the time from.
func mostRuns(runs []upstream.Run, boot string, from time.Time) int {
	var starts []time.Time
	for _, r := range runs {
		if r.Boot == boot {
			starts = append(starts, r.Start)
		}
	}
	return ratecheck.Most(starts, from)
}

// putHealthPath puts a configuration in force in which the services have a health
// path, as on the users' platform.
func (c *cluster) putHealthPath() {
	c.t.Helper()
	cfg := baseConfiguration(2)
	for i := range cfg.Services {
		cfg.Services[i].HealthPath = "/health"
	}
	c.put(cfg)
	c.await(startTimeout, "version 2 in force", func() bool { return c.inForce(2) })
}

// restartProcess ends the node process with a signal, at once for SIGKILL, and
// starts it again.
func (n *node) restartProcess(sig syscall.Signal) {
	n.signal(sig)
	if !n.process.endsWithin(startTimeout) {
		n.kill()
	}
	n.startProcess()
}

// Guards against an upstream that gets more requests than it states, from real
// processes of which the one beside it is killed, stopped and paused while the
// others keep sending and the store is away.
func TestRateLimitHoldsWithRealProcesses(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 3)
	c.putHealthPath()
	limited := c.nodesOf(services[0])[0]
	const rate = 6.0
	var stops []func() []response
	for range 4 {
		stops = append(stops, c.startLoad(http.MethodGet, "/status/1", c.nodes, time.Millisecond))
	}
	limited.upstream.Set(upstream.Behaviour{RateLimit: rate})
	boot, from := limited.upstream.ID, time.Now().Add(ratecheck.SettleTime)
	time.Sleep(ratecheck.SettleTime)
	limited.restartProcess(syscall.SIGKILL)
	time.Sleep(700 * time.Millisecond)
	limited.endpoint.Set(storeUnavailable)
	limited.restartProcess(syscall.SIGKILL)
	time.Sleep(500 * time.Millisecond)
	limited.signal(syscall.SIGSTOP)
	time.Sleep(time.Second)
	limited.signal(syscall.SIGCONT)
	limited.restartProcess(syscall.SIGTERM)
	time.Sleep(ratecheck.Window)
	var all []response
	for _, stop := range stops {
		all = append(all, stop()...)
	}
	runs := c.ledger.Runs()
	got := mostRuns(runs, boot, from)
	t.Logf("%d requests in %s, permitted %d", got, ratecheck.Window, ratecheck.Permitted(rate))
	is.True(got <= ratecheck.Permitted(rate))
	is.True(got > 0)
	is.Equal(untrueRefusals(all, runs), nil)
}

// untrueRefusals returns the ids of the requests that were answered as not run
// although they have run.
func untrueRefusals(responses []response, runs []upstream.Run) (ids []string) {
	ran := make(map[string]bool)
	for _, r := range runs {
		ran[r.ID] = true
	}
	for _, r := range responses {
		if r.refused() && ran[r.id] {
			ids = append(ids, r.id)
		}
	}
	return ids
}

// Guards against requests to an upstream whose responses state that it leaves
// while its reports say that it is ready, also after its node was restarted.
func TestNoRequestsAfterStatementOfLeaving(t *testing.T) {
	for _, healthPath := range []bool{true, false} {
		t.Run(fmt.Sprint("health path=", healthPath), func(t *testing.T) {
			is := is.New(t)
			c := startCluster(t, 3)
			if healthPath {
				c.putHealthPath()
			}
			leaving := c.nodesOf(services[0])[0]
			others := slices.DeleteFunc(slices.Clone(c.nodes), func(n *node) bool { return n == leaving })
			stop := c.startLoad(http.MethodGet, "/status/1", c.nodes, time.Millisecond)
			time.Sleep(200 * time.Millisecond)
			leaving.upstream.Set(upstream.Behaviour{Leaving: true})
			time.Sleep(300 * time.Millisecond)
			from := time.Now()
			time.Sleep(300 * time.Millisecond)
			stop()
			is.Equal(runsSince(c, leaving.upstream.ID, from), 0)
			// The restart excuses the requests that begin at the restarted node.
			stop = c.startLoad(http.MethodGet, "/status/1", others, time.Millisecond)
			for _, sig := range []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM} {
				leaving.restartProcess(sig)
				time.Sleep(time.Second)
			}
			for _, r := range stop() {
				is.True(r.served() || r.status == http.StatusBadGateway) // 502 only beside the kill
			}
			is.Equal(runsSince(c, leaving.upstream.ID, from), 0)
		})
	}
}

// runsSince returns the number of runs that began at a boot after a time.
func runsSince(c *cluster, boot string, from time.Time) int {
	n := 0
	for _, r := range c.ledger.Runs() {
		if r.Boot == boot && r.Start.After(from) {
			n++
		}
	}
	return n
}
