package test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/settings"
)

const (
	// silenceStream separates the random numbers of silences from those of the other
	// faults, which are the same with and without silences.
	silenceStream = 34
	// settleTime is how long after its start, or after a pause, a node may lag.
	settleTime = 3 * time.Second
)

// disturbance is a time in which a node process does not run or has just started.
type disturbance struct {
	node     string
	from, to time.Time
}

// inForceEvent says that a version came into force at a node.
type inForceEvent struct {
	node    string
	at      time.Time
	version model.Version
}

// startSilences lets the store fall silent to all nodes but a few, on open
// connections too, again and again, if the seed is one of those whose store does so,
// until end is called.
func (s *soak) startSilences(seed uint64) (end func()) {
	if seed%4 > 1 {
		return func() {}
	}
	rnd := rand.New(rand.NewPCG(seed, silenceStream))
	ended := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		for {
			served, duration := 1+rnd.IntN(2), time.Duration(4000+rnd.IntN(4000))*time.Millisecond
			s.recordAction("silence")
			order := rnd.Perm(len(s.nodes))
			for i, n := range order {
				s.nodes[n].endpoint.SetSilent(i >= served)
			}
			select {
			case <-ended:
				return
			case <-time.After(duration):
			}
		}
	})
	return func() {
		close(ended)
		wait.Wait()
		for _, n := range s.nodes {
			n.endpoint.SetSilent(false)
		}
	}
}

// disturb records that the process of a node is about to be stopped or paused; the
// function that it returns records that it runs again.
func (s *soak) disturb(n *node) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.disturbances)
	s.disturbances = append(s.disturbances, disturbance{node: n.name, from: time.Now(), to: time.Now().Add(time.Hour)})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.disturbances[i].to = time.Now().Add(settleTime)
	}
}

// inForceEvents reads from the logs when each version came into force where.
func (s *soak) inForceEvents() (events []inForceEvent) {
	for _, n := range s.nodes {
		text, err := os.ReadFile(n.logFile)
		if err != nil {
			s.t.Fatal(err)
		}
		for line := range strings.Lines(string(text)) {
			var l struct {
				Time    time.Time     `json:"ts"`
				Message string        `json:"msg"`
				Version model.Version `json:"version"`
			}
			if json.Unmarshal([]byte(line), &l) == nil && l.Message == "configuration is in force" {
				events = append(events, inForceEvent{n.name, l.Time, l.Version})
			}
		}
	}
	return events
}

// checkLag returns a text for each node that got a version later than the bound after
// another node had it, although both processes ran undisturbed all the time.
func checkLag(events []inForceEvent, disturbances []disturbance, nodes []string, end time.Time, bound time.Duration) (violations []string) {
	undisturbed := func(node string, from time.Time) bool {
		return !slices.ContainsFunc(disturbances, func(d disturbance) bool {
			return d.node == node && d.from.Before(from.Add(bound)) && d.to.After(from)
		})
	}
	slices.SortStableFunc(events, func(a, b inForceEvent) int { return a.at.Compare(b.at) })
	hasBy := func(node string, v model.Version, limit time.Time) bool {
		return slices.ContainsFunc(events, func(e inForceEvent) bool { return e.node == node && e.version >= v && !e.at.After(limit) })
	}
	checked := make(map[model.Version]bool)
	for _, e := range events {
		if checked[e.version] || e.at.Add(bound).After(end) || !undisturbed(e.node, e.at) {
			continue
		}
		checked[e.version] = true
		for _, node := range nodes {
			if undisturbed(node, e.at) && !hasBy(node, e.version, e.at.Add(bound)) {
				violations = append(violations, fmt.Sprintf("node %s does not have version %d %s after node %s, which has had it since %s",
					node, e.version, bound, e.node, e.at.Format(time.RFC3339Nano)))
			}
		}
	}
	return violations
}

// lagViolations applies checkLag to this run with the bound of its settings.
func (s *soak) lagViolations() []string {
	var nodes []string
	for _, n := range s.nodes {
		nodes = append(nodes, n.name)
	}
	return checkLag(s.inForceEvents(), s.disturbances, nodes, time.Now(), time.Duration(settings.Default().Store.Apply))
}

// Guards checkLag: it detects a node that lags too long, unless one of the processes
// did not run all the time.
func TestLagCheckDetectsViolations(t *testing.T) {
	now := time.Now()
	const bound = 2 * time.Second
	in := func(node string, after time.Duration, v model.Version) inForceEvent {
		return inForceEvent{node, now.Add(after), v}
	}
	nodes := []string{"a", "b"}
	base := []inForceEvent{in("a", -time.Minute, 1), in("b", -time.Minute, 1), in("a", 0, 2)}
	for name, c := range map[string]struct {
		events       []inForceEvent
		disturbances []disturbance
		end          time.Duration
		violations   int
	}{
		"in time":          {[]inForceEvent{in("b", bound, 2)}, nil, time.Minute, 0},
		"newer in time":    {[]inForceEvent{in("b", bound, 3), in("a", bound, 3)}, nil, time.Minute, 0},
		"late":             {[]inForceEvent{in("b", bound+1, 2)}, nil, time.Minute, 1},
		"never":            {nil, nil, time.Minute, 1},
		"end of the run":   {nil, nil, bound - 1, 0},
		"late and stopped": {nil, []disturbance{{"b", now.Add(bound / 2), now.Add(time.Hour)}}, time.Minute, 0},
		"first one ended":  {nil, []disturbance{{"a", now.Add(bound / 2), now.Add(time.Hour)}}, time.Minute, 0},
		"stopped before":   {nil, []disturbance{{"b", now.Add(-time.Minute), now.Add(-time.Second)}}, time.Minute, 1},
	} {
		if v := checkLag(append(slices.Clone(base), c.events...), c.disturbances, nodes, now.Add(c.end), bound); len(v) != c.violations {
			t.Errorf("%s: %q, want %d", name, v, c.violations)
		}
	}
}
