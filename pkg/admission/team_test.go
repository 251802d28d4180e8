package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// simulateTeams offers the calls of teams to one upstream of 12 slots of 200 ms, in the
// order of their rates, for 20 s of virtual time, and returns by team the share of calls
// that run. A call is refused if it is expected to wait longer than 125 ms.
func simulateTeams(rates, weights map[string]float64) map[string]float64 {
	const service = 200 * time.Millisecond
	c := NewCore(Limits{Slots: 12, RefuseLate: true})
	ran, offered := map[string]float64{}, map[string]float64{}
	var running []event
	next := map[string]time.Duration{}
	start := func(now time.Duration, w *Waiter) {
		ran[w.Team]++
		running = append(running, event{now + service, w})
	}
	for now := time.Duration(0); now < 20*time.Second; now += time.Millisecond {
		for len(running) > 0 && running[0].at <= now {
			c.Done(now, running[0].call, Completed)
			running = running[1:]
		}
		for _, team := range []string{"hot", "large", "small"} {
			for ; rates[team] > 0 && next[team] <= now; next[team] += time.Duration(float64(time.Second) / rates[team]) {
				offered[team]++
				w := &Waiter{Call: Call{
					Rule: "r", Rank: 1, Weight: 1, Team: team, TeamWeight: weights[team],
					Due: now + 500*time.Millisecond, Deadline: now + time.Second, MaxQueueTime: 125 * time.Millisecond,
				}}
				if d, _ := c.Arrive(now, w); d == Admitted {
					start(now, w)
				}
				for late := c.RemoveLate(now); late != nil; late = c.RemoveLate(now) {
				}
			}
		}
		for w, ok := c.Next(now); w != nil; w, ok = c.Next(now) {
			if ok {
				start(now, w)
			}
		}
	}
	for team := range offered {
		ran[team] /= offered[team]
	}
	return ran
}

// Load: 60 calls per second can run; one team sends several times its usual traffic.
// Guards against teams that pay for the burst of another one: those within their shares
// are served, and the team with the burst gets what is left.
func TestTeamWithBurstWaitsBehindItself(t *testing.T) {
	is := is.New(t)
	weights := map[string]float64{"hot": 20, "large": 30, "small": 5}
	usual := simulateTeams(map[string]float64{"hot": 15, "large": 30, "small": 5}, weights)
	burst := simulateTeams(map[string]float64{"hot": 100, "large": 30, "small": 5}, weights)
	unweighted := simulateTeams(map[string]float64{"hot": 100, "large": 30, "small": 5}, nil)
	t.Logf("usual load %v, burst %v, burst with equal weights %v", usual, burst, unweighted)
	for team := range weights {
		is.True(usual[team] > 0.99)
	}
	is.True(burst["large"] > 0.9)
	is.True(burst["small"] > 0.9)
	is.True(burst["hot"] > 0.9*(60-30-5)/100) // slots do not stay free
	is.True(unweighted["large"] < burst["large"])
}

// Guards against teams that come and go and fill the memory.
func TestTeamsOfARuleAreBounded(t *testing.T) {
	is := is.New(t)
	c := NewCore(Limits{Slots: 1})
	d, _ := c.Arrive(0, &Waiter{Call: Call{Rule: "r", Deadline: time.Hour}})
	is.Equal(d, Admitted)
	for i := range 3 * maxTeams {
		w := &Waiter{Call: Call{Rule: "r", Team: fmt.Sprint(i), Weight: 1, Deadline: time.Hour}}
		d, _ = c.Arrive(0, w)
		is.Equal(d, Queued)
		c.Remove(w)
		is.True(len(c.ranks[0].flows["r"].teams.byName) <= maxTeams)
	}
}
