package test

import (
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/config"
)

const (
	// quotaWindow, quotaOverage and quotaTolerance are those of the settings of all nodes
	// (writeSettings).
	quotaWindow    = 5 * time.Second
	quotaOverage   = 0.1
	quotaTolerance = 20
	// Limits of each of the teams, and requests per second of the one above its limit and
	// of the one below it, over six nodes.
	quotaRate, quotaBurst = 40, 40
	loudRate, calmRate    = 120, 18
)

// quotaRequest is a request of a team and its response.
type quotaRequest struct {
	response
	sent time.Time
}

// sendAtRate sends requests of a team to all nodes in turn, at a rate that does not
// depend on the responses. The returned function ends it and returns all requests.
func (c *cluster) sendAtRate(key string, perSecond int) (stop func() []quotaRequest) {
	var mu sync.Mutex
	var all []quotaRequest
	var wait sync.WaitGroup
	var callers []*caller
	for _, n := range c.nodes {
		callers = append(callers, newCaller(n))
	}
	ended := make(chan struct{})
	wait.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ended:
				return
			case <-ticker.C:
			}
			wait.Go(func() {
				r := quotaRequest{sent: time.Now()}
				r.response = callers[i%len(callers)].send(http.MethodGet, "/status/1", 2*time.Second, "Authorization", "Bearer "+key)
				mu.Lock()
				defer mu.Unlock()
				all = append(all, r)
			})
		}
	})
	return func() []quotaRequest {
		close(ended)
		wait.Wait()
		return all
	}
}

// mostInWindow returns the largest number of requests that were sent and arrived at an
// upstream in one window. A request that arrived at several counts as often.
func (c *cluster) mostInWindow(requests []quotaRequest) int {
	sent := make(map[string]time.Time, len(requests))
	for _, r := range requests {
		sent[r.id] = r.sent
	}
	type interval struct{ from, to time.Time }
	var runs []interval
	for _, run := range c.ledger.Runs() {
		if at, ok := sent[run.ID]; ok {
			runs = append(runs, interval{at, run.Start})
		}
	}
	most := 0
	for _, first := range runs {
		end, n := first.from.Add(quotaWindow), 0
		for _, r := range runs {
			if !r.from.Before(first.from) && !r.to.After(end) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func count(requests []quotaRequest, status int) (n int) {
	for _, r := range requests {
		if r.status == status {
			n++
		}
	}
	return n
}

// startLimitedTeams starts a deployment of six nodes with two teams of the same limit,
// and waits until every node has its share of the limits.
func startLimitedTeams(t *testing.T) *cluster {
	t.Helper()
	c := startCluster(t, 3)
	cfg := baseConfiguration(2)
	for _, team := range []string{"loud", "calm"} {
		cfg.Teams = append(cfg.Teams, config.Team{Name: team, Rate: quotaRate, Burst: quotaBurst, Keys: []config.KeyDigest{config.DigestOfKey(team)}})
	}
	c.put(cfg)
	c.await(awaitTimeout, "version 2 in force", func() bool { return c.inForce(2) })
	c.await(awaitTimeout, "all shares in use", func() bool { return c.heldShare() > 0.99 })
	return c
}

// heldShare returns the share of the limits that all nodes together hold, of the class of
// teams of which it is smallest.
func (c *cluster) heldShare() float64 {
	var sums []float64
	for _, n := range c.nodes {
		s, err := n.state()
		if err != nil || s.Quota == nil {
			return 0
		}
		if sums == nil {
			sums = make([]float64, len(s.Quota.Holds))
		}
		for class, share := range s.Quota.Holds {
			sums[class] += share
		}
	}
	return slices.Min(sums)
}

// Guards against a team that gets more than its limit through all nodes together, also
// while a node is frozen, and killed and started again; and against refusals of a team
// below its limit because of the other one, while there are no faults.
func TestTeamIsLimitedOverAllNodes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startLimitedTeams(t)
	stopLoud, stopCalm := c.sendAtRate("loud", loudRate), c.sendAtRate("calm", calmRate)
	time.Sleep(7 * time.Second)
	calm := stopCalm()
	is.Equal(count(calm, http.StatusTooManyRequests), 0)
	is.Equal(count(calm, http.StatusServiceUnavailable), 0)

	c.nodes[0].signal(syscall.SIGSTOP)
	time.Sleep(2500 * time.Millisecond)
	c.nodes[0].signal(syscall.SIGCONT)
	time.Sleep(2500 * time.Millisecond)
	c.nodes[1].kill()
	time.Sleep(1500 * time.Millisecond)
	c.nodes[1].startProcess()
	time.Sleep(4 * time.Second)
	loud := stopLoud()

	bound := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaTolerance
	most := c.mostInWindow(loud)
	t.Logf("%d of %d requests of the loud team ran, at most %d in a window; %d got 429, %d got 503", count(loud, http.StatusOK), len(loud), most,
		count(loud, http.StatusTooManyRequests), count(loud, http.StatusServiceUnavailable))
	if float64(most) > bound {
		t.Errorf("%d requests arrived in a window, at most %.0f are permitted", most, bound)
	}
	is.True(float64(most) > quotaRate*quotaWindow.Seconds()/2) // the limit is usable
	is.True(count(loud, http.StatusTooManyRequests) > 0)
	for _, r := range loud {
		is.True(r.status != http.StatusTooManyRequests || r.header.Get("Retry-After") != "")
		is.True(!r.refused() || c.ledger.Count(r.id) == 0)
	}
	c.await(awaitTimeout, "all shares in use again", func() bool { return c.heldShare() > 0.99 })
}
