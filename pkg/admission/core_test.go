package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lentilflow/lentilflow/pkg/internal/rapidtest"
	"github.com/lentilflow/lentilflow/pkg/model"
)

func init() { rapidtest.FixSeed(20) }

// variant holds the decisions of a Core. Broken variants change the state of the
// Core around them.
type variant struct {
	arrive func(*Core, time.Duration, *Waiter) (Decision, *Waiter)
	next   func(*Core, time.Duration) (*Waiter, bool)
}

var correct = variant{(*Core).Arrive, (*Core).Next}

// oracle counts calls independently of Core and states the rules in their
// simplest form.
type oracle struct {
	floors  [Ranks]int
	waiting [Ranks]map[*Waiter]bool
	running []*Waiter
}

func (o *oracle) runningOf(r int) int {
	n := 0
	for _, w := range o.running {
		if int(w.Rank) == r {
			n++
		}
	}
	return n
}

func (o *oracle) belowFloor(r, limit int) bool { return o.runningOf(r)*100 < o.floors[r]*limit }

// checkStart checks the choice of w for a free slot against every other waiting
// call and returns the rule that it breaks, or "".
func (o *oracle) checkStart(w *Waiter, limit int, now time.Duration) string {
	r := int(w.Rank)
	if len(o.running) >= limit {
		return "a call ran above the limit"
	}
	if w.Deadline <= now {
		return "a call was admitted past its deadline"
	}
	for q := range o.waiting {
		if len(o.waiting[q]) == 0 || q == r {
			continue
		}
		if o.belowFloor(q, limit) && !o.belowFloor(r, limit) {
			return "a rank below its floor was passed over for one that is not"
		}
		if q < r && o.belowFloor(q, limit) == o.belowFloor(r, limit) {
			return "a less urgent call went first"
		}
	}
	return ""
}

// checkCore runs one random history and returns the first property that fails.
func checkCore(t *rapid.T, v variant) string {
	o := &oracle{floors: [Ranks]int{30, 0, 20, 10, 0, 15, 0, 5}}
	for r := range o.waiting {
		o.waiting[r] = map[*Waiter]bool{}
	}
	c, now := NewCore(Limits{Slots: 12, Floors: o.floors}), time.Duration(0)
	for range rapidtest.Steps(300) {
		now += time.Duration(rapid.SampledFrom([]int{0, 0, 0, 1, 5}).Draw(t, "ms")) * time.Millisecond
		fault := ""
		switch rapid.SampledFrom([]string{"arrive", "arrive", "arrive", "arrive", "done", "expire"}).Draw(t, "step") {
		case "arrive":
			fault = o.arrive(t, c, v, now)
		case "done":
			if len(o.running) > 0 {
				w := o.running[0]
				o.running = o.running[1:]
				c.Done(now, w, rapid.SampledFrom([]Outcome{Completed, Completed, Completed, Shed, TimedOut, Other}).Draw(t, "end"))
			}
		case "expire":
			for w := c.Expire(now); w != nil; w = c.Expire(now) {
				delete(o.waiting[w.Rank], w)
			}
			for r := range o.waiting {
				for w := range o.waiting[r] {
					if w.Deadline <= now {
						return "a call waits past its deadline"
					}
				}
			}
		}
		if fault == "" {
			fault = o.dispatch(c, v, now)
		}
		if fault != "" {
			return fault
		}
	}
	return ""
}

func (o *oracle) arrive(t *rapid.T, c *Core, v variant, now time.Duration) string {
	w := &Waiter{Call: Call{
		Rank: rapid.SampledFrom([]model.Rank{0, 0, 0, 0, 0, 1, 2, 3, 5, 7}).Draw(t, "rank"), Rule: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "rule"),
		Weight: 1, Deadline: now + time.Duration(rapid.SampledFrom([]int{2, 20, 400, 400}).Draw(t, "deadline"))*time.Millisecond,
	}}
	decision, dropped := v.arrive(c, now, w)
	if dropped != nil {
		q := int(dropped.Rank)
		if len(o.waiting[q])*100 <= o.floors[q]*c.Limit() {
			return "a waiting call within its floor was dropped"
		}
		delete(o.waiting[q], dropped)
	}
	switch decision {
	case Admitted:
		if fault := o.checkStart(w, c.Limit(), now); fault != "" {
			return fault
		}
		o.running = append(o.running, w)
	case Queued:
		o.waiting[w.Rank][w] = true
	case Overloaded:
		for q := int(w.Rank) + 1; q < Ranks; q++ {
			if len(o.waiting[q])*100 >= o.floors[q]*c.Limit()+100 {
				return "a call was refused while a less urgent one waits"
			}
		}
	}
	return ""
}

func (o *oracle) dispatch(c *Core, v variant, now time.Duration) string {
	for {
		w, ok := v.next(c, now)
		if w == nil {
			break
		}
		if ok {
			if fault := o.checkStart(w, c.Limit(), now); fault != "" {
				return fault
			}
			o.running = append(o.running, w)
		}
		delete(o.waiting[w.Rank], w)
	}
	s := c.State(now)
	waiting := 0
	for r := range o.waiting {
		waiting += len(o.waiting[r])
	}
	switch {
	case s.Waiting != waiting || s.Running != len(o.running):
		return "State differs from the counts of the oracle"
	case waiting > 0 && len(o.running) < c.Limit():
		return "a slot stays free while a call waits"
	}
	return ""
}

// Checks floors, the order of ranks, the limit and the deadlines.
func TestCoreInvariants(t *testing.T) {
	rapidtest.RequireNoFault(t, correct, checkCore)
}

// Checks that checkCore detects each broken variant.
func TestCheckCoreDetectsBrokenVariants(t *testing.T) {
	next := func(change func(*Core)) variant {
		return variant{correct.arrive, func(c *Core, now time.Duration) (*Waiter, bool) {
			limits := c.limits
			change(c)
			defer func() { c.limits = limits }()
			return c.Next(now)
		}}
	}
	broken := map[string]variant{
		"a call ran above the limit":                                 next(func(c *Core) { c.limits.Slots++ }),
		"a rank below its floor was passed over for one that is not": next(func(c *Core) { c.limits.Floors = [Ranks]int{} }),
		"a less urgent call went first":                              next(func(c *Core) { c.limits.Floors[7] = 100 }),
		"a call was admitted past its deadline": {correct.arrive, func(c *Core, _ time.Duration) (*Waiter, bool) {
			return c.Next(0)
		}},
		"a waiting call within its floor was dropped": {func(c *Core, now time.Duration, w *Waiter) (Decision, *Waiter) {
			floors := c.limits.Floors
			c.limits.Floors = [Ranks]int{}
			defer func() { c.limits.Floors = floors }()
			return c.Arrive(now, w)
		}, correct.next},
		"a call was refused while a less urgent one waits": {func(c *Core, now time.Duration, w *Waiter) (Decision, *Waiter) {
			if c.waiting >= c.QueueLimit(0) {
				return Overloaded, nil
			}
			return c.Arrive(now, w)
		}, correct.next},
	}
	rapidtest.RequireFaultsFound(t, broken, checkCore)
}

// Guards against weights without effect: of two rules of one rank with weights 2
// and 1, the first gets two slots in three.
func TestRulesShareRankByWeight(t *testing.T) {
	c := NewCore(Limits{Slots: 2})
	var run []*Waiter
	for i := range c.QueueLimit(0) {
		rule, weight := "a", 2
		if i%2 == 1 {
			rule, weight = "b", 1
		}
		w := &Waiter{Call: Call{Rule: rule, Weight: weight, Deadline: time.Hour}}
		if v, _ := c.Arrive(0, w); v == Admitted {
			run = append(run, w)
		}
	}
	got := map[string]int{}
	for range 6 {
		c.Done(time.Millisecond, run[0], Other)
		w, _ := c.Next(time.Millisecond)
		run, got[w.Rule] = []*Waiter{w}, got[w.Rule]+1
	}
	if got["a"] != 4 || got["b"] != 2 {
		t.Fatalf("served %v, want 4 of a and 2 of b", got)
	}
}

// Guards against queueing a call that the upstream cannot finish before its
// deadline.
func TestRefusesCallThatCannotFinish(t *testing.T) {
	c := NewCore(Limits{Slots: 1})
	w := &Waiter{Call: Call{Deadline: time.Hour}}
	_, _ = c.Arrive(0, w)
	c.Done(100*time.Millisecond, w, Completed)
	_, _ = c.Arrive(100*time.Millisecond, w)
	late := &Waiter{Call: Call{Deadline: 140 * time.Millisecond}}
	if v, _ := c.Arrive(100*time.Millisecond, late); v != DeadlineUnreachable {
		t.Fatalf("decision %d for a call with 40 ms until its deadline and a service time of 100 ms, want %d", v, DeadlineUnreachable)
	}
}

// Guards against slots that stay idle while calls wait after a power loss or a
// planned stop. Callers then return all at once, every latency target is missed
// at first, and the upstream sheds some calls because it has just started. A
// limit that adapts to latency or to shed calls removed half of the slots and
// needed seconds to restore them.
func TestNoIdleSlotsAfterCallersReturn(t *testing.T) {
	const slots = 12
	c := NewCore(Limits{Slots: slots})
	now := time.Duration(0)
	var running []*Waiter
	arrive := func(n int) {
		for range n {
			w := &Waiter{Call: Call{Weight: 1, Deadline: now + time.Minute}}
			if v, _ := c.Arrive(now, w); v == Admitted {
				running = append(running, w)
			}
		}
	}
	arrive(40)
	for step := range 200 {
		if len(running) < slots {
			t.Fatalf("step %d: %d of %d slots are in use while %d calls wait", step, len(running), slots, c.waiting)
		}
		now += 20 * time.Millisecond
		end := Completed
		if step%5 == 0 {
			end = Shed
		}
		c.Done(now, running[0], end)
		running = running[1:]
		for w, ok := c.Next(now); w != nil; w, ok = c.Next(now) {
			if ok {
				running = append(running, w)
			}
		}
		arrive(1)
	}
}
