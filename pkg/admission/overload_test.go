package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// ruleLoad is the load of one rule.
type ruleLoad struct {
	rule     string
	rank     model.Rank
	service  time.Duration // mean service time
	rate     float64       // calls a second
	deadline time.Duration
}

// simulateRules offers the loads to one upstream for 10 s of virtual time and
// returns, by rule, the share of calls that finish by their deadline.
func simulateRules(slots int, loads []ruleLoad) map[string]float64 {
	rnd := rand.New(rand.NewPCG(7, 7))
	type arrival struct {
		event
		of *ruleLoad
	}
	var arrivals []arrival
	share, offered := map[string]float64{}, map[string]float64{}
	for i := range loads {
		o := &loads[i]
		for at := time.Duration(0); at < 10*time.Second; {
			at += time.Duration(rnd.ExpFloat64() / o.rate * float64(time.Second))
			w := &Waiter{Call: Call{Rule: o.rule, Rank: o.rank, Weight: 1, Deadline: at + o.deadline}}
			arrivals = append(arrivals, arrival{event{at, w}, o})
			offered[o.rule]++
		}
	}
	slices.SortFunc(arrivals, func(a, b arrival) int { return byTime(a.event, b.event) })
	of := map[*Waiter]*ruleLoad{}
	c, now := NewCore(Limits{Slots: slots}), time.Duration(0)
	var running []event
	start := func(w *Waiter) {
		running = append(running, event{now + time.Duration((0.5+rnd.Float64())*float64(of[w].service)), w})
	}
	for len(arrivals) > 0 || len(running) > 0 {
		slices.SortFunc(running, byTime)
		if len(arrivals) > 0 && (len(running) == 0 || arrivals[0].at <= running[0].at) {
			e := arrivals[0]
			now, arrivals = e.at, arrivals[1:]
			of[e.call] = e.of
			if v, _ := c.Arrive(now, e.call); v == Admitted {
				start(e.call)
			}
		} else {
			e := running[0]
			now, running = e.at, running[1:]
			c.Done(now, e.call, Completed)
			if now <= e.call.Deadline {
				share[e.call.Rule]++
			}
		}
		for w, ok := c.Next(now); w != nil; w, ok = c.Next(now) {
			if ok {
				start(w)
			}
		}
	}
	for rule := range offered {
		share[rule] /= offered[rule]
	}
	return share
}

// Guards against short calls of other upstreams that wait behind the long calls
// of callers in the same rank. A short call that is refused wastes the work of
// the upstream that made it. The load is that of a service after a power loss,
// when service times are twice as long as usual and bookings alone need all slots.
func TestShortCallsDoNotWaitBehindLongOnes(t *testing.T) {
	share := simulateRules(13, []ruleLoad{
		{rule: "booking", rank: 1, service: 190 * time.Millisecond, rate: 70, deadline: time.Second},
		{rule: "stock", rank: 1, service: 35 * time.Millisecond, rate: 60, deadline: 180 * time.Millisecond},
	})
	t.Logf("in time: %v", share)
	if share["stock"] < 0.97 {
		t.Errorf("%.3f of the short calls finished by their deadline, want at least 0.97", share["stock"])
	}
	// The short calls need 2.1 of the 13 slots; the others run 57 of 70 bookings a second.
	if share["booking"] < 0.9*57/70 {
		t.Errorf("%.3f of the long calls finished by their deadline, want at least %.3f", share["booking"], 0.9*57/70)
	}
}

// Guards against one rule that uses up a whole rank: a rule that offers more than
// the upstream can run must leave another rule its share of the service time.
func TestFloodingRuleLeavesOtherRuleItsShare(t *testing.T) {
	share := simulateRules(12, []ruleLoad{
		{rule: "flood", rank: 2, service: 50 * time.Millisecond, rate: 900, deadline: 500 * time.Millisecond},
		{rule: "calm", rank: 2, service: 100 * time.Millisecond, rate: 50, deadline: 500 * time.Millisecond},
	})
	t.Logf("in time: %v", share)
	if share["calm"] < 0.97 {
		t.Errorf("%.3f of the calls of rule calm finished by their deadline, want at least 0.97", share["calm"])
	}
}
