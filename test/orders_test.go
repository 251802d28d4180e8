package test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
	standin "github.com/lentilflow/lentilflow/pkg/standin/platform"
	"github.com/lentilflow/lentilflow/pkg/standin/upstream"
)

const (
	orderKeys     = 300
	orderCallers  = 6
	orderAttempts = 8 // of one caller for one key
	orderPause    = 150 * time.Millisecond
	orderSeed     = 7
	killPeriod    = 300 * time.Millisecond
	lostAnswers   = 0.1 // share of writes of the store
)

// attempt is one call with a key.
type attempt struct {
	key        string
	via        string
	start, end time.Time
	answer
}

// book records the attempts of all callers.
type book struct {
	mu       sync.Mutex
	attempts map[string][]attempt
}

func (b *book) add(a attempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempts[a.key] = append(b.attempts[a.key], a)
}

// TestOrdersRunAtMostOnce guards against a non-idempotent call that runs
// twice, and against answers that say something else than the upstreams'
// ledgers (invariants I5 and I6). Every second key is used by callers of three
// regions at once, the others by one caller after the other.
func TestOrdersRunAtMostOnce(t *testing.T) {
	parallel(t)
	c := start(t, bertolucci())
	c.store.SetFaults(standin.Faults{LoseShare: lostAnswers})
	b := &book{attempts: make(map[string][]attempt)}
	keys := make(chan int)
	var callers sync.WaitGroup
	for i := range orderCallers {
		random := rand.New(rand.NewPCG(orderSeed, uint64(i)))
		callers.Go(func() {
			for k := range keys {
				c.placeOrder(b, k, random)
			}
		})
	}
	var disturbed sync.WaitGroup
	disturb := make(chan struct{})
	disturbed.Go(func() { c.killAndRestart(disturb) })
	for k := range orderKeys {
		keys <- k
	}
	close(keys)
	callers.Wait()
	close(disturb)
	disturbed.Wait()
	c.store.SetFaults(standin.Faults{})
	if c.store.Counters().Lost == 0 {
		t.Error("no answer of the store was lost")
	}
	compare(t, b, c.ledgers())
}

// placeOrder uses one key until it is answered or its outcome is settled.
func (c *cluster) placeOrder(b *book, k int, random *rand.Rand) {
	key := fmt.Sprintf("order-%d", k)
	together := 1
	if k%2 == 0 {
		together = len(c.d.regions)
	}
	var all sync.WaitGroup
	for i := range together {
		first := random.IntN(len(c.nodes))
		all.Go(func() {
			for try := range orderAttempts {
				// A step of one region each, so that callers and attempts use
				// nodes of several regions.
				n := c.nodes[(first+(i+try)*len(c.nodes)/len(c.d.regions))%len(c.nodes)]
				a := attempt{key: key, via: n.id, start: time.Now()}
				a.answer = c.call(n, order(key))
				a.end = time.Now()
				b.add(a)
				if a.ok() {
					return
				}
				time.Sleep(orderPause)
			}
		})
	}
	all.Wait()
}

// killAndRestart ends one node after another with SIGKILL and starts it again.
func (c *cluster) killAndRestart(done <-chan struct{}) {
	random := rand.New(rand.NewPCG(orderSeed, orderSeed))
	for {
		select {
		case <-done:
			return
		case <-time.After(killPeriod):
		}
		n := c.nodes[random.IntN(len(c.nodes))]
		n.process.kill(c.t)
		time.Sleep(killPeriod)
		c.startNode(n)
	}
}

// notRun reports whether the answer, or its absence, proves that the attempt
// has not run.
func (a *attempt) notRun() bool { return a.elsewhere() || a.runState == model.NotRun }

// compare checks each run against the attempts and each answer against the
// runs.
func compare(t *testing.T, b *book, ledger map[string][]upstream.Run) {
	t.Helper()
	answered, refused := 0, make(map[model.Reason]int)
	for key, attempts := range b.attempts {
		runs := ledger[key]
		if len(runs) > 1 {
			t.Errorf("%s ran %d times: %v", key, len(runs), runs)
		}
		for _, r := range runs {
			if !owned(r, attempts) {
				t.Errorf("%s ran at %s at %s, but no answer says so: %s", key, r.Upstream, r.Start.Format(time.StampMilli), describe(attempts))
			}
		}
		for _, a := range attempts {
			switch {
			case a.ok():
				answered++
				if !recorded(a, runs) {
					t.Errorf("%s: answer %s of %s has no run in the ledger: %v", key, a.body, a.via, runs)
				}
			case a.err == nil && (a.reason == "" || a.runState == ""):
				t.Errorf("%s: refusal without reason or run state: %s", key, a.answer)
			default:
				refused[a.reason]++
			}
		}
	}
	t.Logf("%d answers, refusals by reason (empty: no answer): %v", answered, refused)
	if answered < orderKeys/2 {
		t.Errorf("only %d answers for %d keys", answered, orderKeys)
	}
}

// owned reports whether an attempt that may have run had begun when the run
// began, and had not been answered by then.
func owned(r upstream.Run, attempts []attempt) bool {
	for _, a := range attempts {
		if !a.notRun() && !a.start.After(r.Start) && (!a.ok() || !a.end.Before(r.Start)) {
			return true
		}
	}
	return false
}

// recorded reports whether the answer names one of the runs.
func recorded(a attempt, runs []upstream.Run) bool {
	var body upstream.Answer
	if json.Unmarshal([]byte(a.body), &body) != nil {
		return false
	}
	for _, r := range runs {
		if r.Upstream == body.Upstream && r.Number == body.Run && r.Key == body.Key && r.Outcome == upstream.Answered {
			return true
		}
	}
	return false
}

func describe(attempts []attempt) string {
	text := ""
	for _, a := range attempts {
		text += fmt.Sprintf("\n  %s to %s via %s: %s", a.start.Format(time.StampMilli), a.end.Format(time.StampMilli), a.via, a.answer)
	}
	return text
}
