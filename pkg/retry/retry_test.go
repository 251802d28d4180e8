package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lentilflow/lentilflow/pkg/internal/rapidtest"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// The share and the reserve of most tests.
const (
	testShare   = 0.1
	testReserve = 10
)

func init() { rapidtest.FixSeed(20) }

// decider is the function under test. Broken variants replace it.
type decider func(Failure, Call, *Budget, float64) (Verdict, time.Duration)

// checkHistory runs random calls and failures, and returns the first property
// that does not hold.
func checkHistory(t *rapid.T, decide decider) string {
	b := NewBudget(testShare, testReserve)
	calls, retries := 0, 0
	for range rapidtest.Steps(400) {
		calls++
		b.Earn()
		f := Failure{
			Reason: rapid.SampledFrom([]model.Reason{model.Overloaded, model.UpstreamLost, model.NodeDraining, model.CrashSuspected}).Draw(t, "reason"),
			Run:    rapid.SampledFrom([]model.RunState{model.NotRun, model.RunUnknown, model.Ran}).Draw(t, "run"),
		}
		c := Call{
			Idempotent:  rapid.Bool().Draw(t, "idempotent"),
			MaxRetries:  rapid.SampledFrom([]int{0, 5, 5, 5}).Draw(t, "retries"),
			RetriesMade: rapid.IntRange(0, 3).Draw(t, "made"),
			Remaining:   time.Duration(rapid.SampledFrom([]int{-1, 1, 3, 50, 1000}).Draw(t, "ms")) * time.Millisecond,
			Replayable:  rapid.SampledFrom([]bool{false, true, true, true}).Draw(t, "replayable"),
		}
		v, d := decide(f, c, b, rapid.Float64Range(0, 0.999).Draw(t, "random"))
		if v != Retry {
			continue
		}
		retries++
		switch {
		case f.Run != model.NotRun && !c.Idempotent:
			return "retried after a possible run"
		case d >= c.Remaining || d < 0:
			return "retried past the deadline"
		case float64(retries) > testReserve+float64(calls)*testShare+1e-9: // rounding of the sum
			return "retried above 10% of calls plus the reserve"
		}
	}
	return ""
}

// Checks the budget, the deadline and that only idempotent calls are retried
// after a possible run.
func TestDecide(t *testing.T) {
	rapidtest.RequireNoFault(t, decider(Decide), checkHistory)
}

// Checks that checkHistory detects each broken variant.
func TestCheckHistoryDetectsBrokenVariants(t *testing.T) {
	broken := map[string]decider{
		"retried after a possible run": func(f Failure, c Call, b *Budget, r float64) (Verdict, time.Duration) {
			f.Run = model.NotRun
			return Decide(f, c, b, r)
		},
		"retried past the deadline": func(f Failure, c Call, b *Budget, r float64) (Verdict, time.Duration) {
			c.Remaining = time.Second
			return Decide(f, c, b, r)
		},
		"retried above 10% of calls plus the reserve": func(f Failure, c Call, _ *Budget, r float64) (Verdict, time.Duration) {
			return Decide(f, c, NewBudget(testShare, testReserve), r)
		},
	}
	rapidtest.RequireFaultsFound(t, broken, checkHistory)
}

// Guards against refusals during a drain for calls whose rule states no retries.
func TestDrainingRefusalIsRetriedOnce(t *testing.T) {
	f := Failure{Reason: model.NodeDraining, Run: model.NotRun}
	c := Call{Remaining: time.Second, Replayable: true}
	if v, _ := Decide(f, c, NewBudget(testShare, testReserve), 0); v != Retry {
		t.Fatalf("first refusal: verdict %s, want %s", v, Retry)
	}
	c.RetriesMade = 1
	if v, _ := Decide(f, c, NewBudget(testShare, testReserve), 0); v != RetriesUsed {
		t.Fatalf("second refusal: verdict %s, want %s", v, RetriesUsed)
	}
}

// Guards against one call whose retries crash every upstream of a service before
// the first report of a crash arrives.
func TestCallStopsAfterTwoLostUpstreams(t *testing.T) {
	f := Failure{Reason: model.UpstreamLost, Run: model.RunUnknown}
	c := Call{Idempotent: true, MaxRetries: 5, Remaining: time.Second, Replayable: true}
	for lost, want := range map[int]Verdict{1: Retry, 2: UpstreamsLost, 3: UpstreamsLost} {
		c.LostUpstreams = lost
		if got, _ := Decide(f, c, NewBudget(1, 100), 0); got != want {
			t.Errorf("%d lost upstreams: %s, want %s", lost, got, want)
		}
	}
}
