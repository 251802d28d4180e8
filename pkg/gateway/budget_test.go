package gateway

import (
	"math/rand/v2"
	"testing"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/play"
)

// The load of haneul-hq: 190 requests per second for a service, half of which
// are calls made by requests that run at another service. A ratio of 0.2 and 60
// extra arrivals in a window of 10 s are permitted. There are 18 nodes.
const (
	budgetNodes   = 18
	budgetRate    = 190
	budgetRatio   = 0.2
	budgetExtra   = 60
	budgetWindow  = 10 // seconds
	budgetSeconds = 40
)

// newFullBudgets returns the budgets of the only node of a fleet.
func newFullBudgets(ratio, extra float64) *Budgets {
	b := NewBudgets(ratio, extra, false)
	b.SetNodeCount(1)
	return b
}

// Guards against more retries in a window than are permitted, because every node that
// is restarted spends its share of the reserve again, or spends that of a whole fleet
// before it knows the other nodes.
func TestRestartsDoNotRefillBudgets(t *testing.T) {
	const restarts, callsPerStart = 10, 3
	spent, calls := 0, 0
	for range budgetNodes {
		for range restarts {
			b := NewBudgets(budgetRatio, budgetExtra, true)
			_ = b.Of("ordering") // a call before the fleet is known
			b.SetNodeCount(budgetNodes)
			for range callsPerStart {
				calls++
				b.Of("ordering").Earn()
				for b.Of("ordering").Spend(false) {
					spent++
				}
			}
		}
	}
	if permitted := int(budgetRatio*float64(calls)) + budgetExtra; spent > permitted {
		t.Errorf("%d retries of %d calls, want at most %d", spent, calls, permitted)
	}
	b := NewBudgets(budgetRatio, budgetExtra, false)
	of := b.Of("ordering")
	for range 1000 {
		of.Earn()
	}
	if b.SetNodeCount(budgetNodes); of.Tokens() > budgetExtra*reserveShare/budgetNodes {
		t.Errorf("%.1f tokens of a node that did not know the fleet", of.Tokens())
	}
}

// simulateBudgets simulates upstreams that shed the given share of their
// requests and lose the responses of another share. It returns the largest
// number of extra arrivals in a window, and the number of requests in a window.
func simulateBudgets(shed, lost float64) (extra, requests int) {
	rnd := rand.New(rand.NewPCG(1, 2))
	budgets := make([]*Budgets, budgetNodes)
	for i := range budgets {
		budgets[i] = NewBudgets(budgetRatio, budgetExtra, false)
		budgets[i].SetNodeCount(budgetNodes)
	}
	extraAt := make([]int, budgetSeconds)
	for second := range budgetSeconds {
		for range budgetRate {
			b := budgets[rnd.IntN(budgetNodes)].Of("ordering")
			b.Earn()
			switch x := rnd.Float64(); {
			case x < shed:
				if b.Spend(false) {
					extraAt[second]++
				}
			case x < shed+lost:
				if b.Spend(true) {
					extraAt[second] += 2 // the rerun, and its call to another service
				}
			}
		}
	}
	for first := 0; first+budgetWindow <= budgetSeconds; first++ {
		sum := 0
		for _, n := range extraAt[first : first+budgetWindow] {
			sum += n
		}
		extra = max(extra, sum)
	}
	return extra, budgetRate * budgetWindow
}

// Guards the shared retry budget when upstreams fail partially: all upstreams
// of a service shed 45% of their requests although they have capacity, or lose
// responses. All nodes together have to stay within the permitted retries, and
// use at least half of them if no request has run before.
func TestBudgetUnderPartialFailures(t *testing.T) {
	for name, c := range map[string]struct{ shed, lost float64 }{
		"shed": {0.45, 0}, "lost": {0, 0.45}, "both": {0.3, 0.3},
	} {
		extra, requests := simulateBudgets(c.shed, c.lost)
		permitted := int(budgetRatio*float64(requests)) + budgetExtra
		if extra > permitted {
			t.Errorf("%s: %d extra arrivals in a window, want at most %d", name, extra, permitted)
		}
		if c.lost == 0 && extra < permitted/2 {
			t.Errorf("%s: %d extra arrivals in a window, want at least half of the permitted %d", name, extra, permitted)
		}
	}
}

// Guards against a status that states that a request has not run although that
// is not known.
func TestStatusMatchesRunState(t *testing.T) {
	for _, reason := range model.Reasons() {
		for _, run := range []model.RunState{model.NotRun, model.Ran, model.RunUnknown} {
			s := refusalStatus(reason, run)
			statesNotRun := s == 503 || s == 429 || s == 408 || s == 421
			if statesNotRun && run != model.NotRun {
				t.Errorf("%s %s: status %d states that the request has not run", reason, run, s)
			}
		}
	}
}

// Guards the header fields between nodes: a node has to parse what another one
// formats, and reject everything else.
func TestInternalFieldsRoundTrip(t *testing.T) {
	f := callFields{service: "s", route: "r", rank: 3, weight: 2, remaining: 1500e6, maxWait: 62e6, idempotent: true, version: 12, download: true, latencyTarget: 600e6, dueIn: 412e6}
	got, ok := parseCallFields(f.String())
	if !ok || got != f {
		t.Errorf("got %+v, want %+v", got, f)
	}
	r := Refusal{Reason: model.Overloaded, RunState: model.NotRun, RetryAfter: 640e6, Unreached: true, ExpectedWait: 412e6}
	back, ok := parseRefusal(r.String())
	if !ok || *back != r {
		t.Errorf("got %+v, want %+v", back, r)
	}
	for _, text := range []string{"", "s", "s r 9 1 1 1 1 1", "s r 1 0 1 1 1 1", "s r 1 1 x 1 1 1", "s r 1 1 NaN 1 1 1", "s r 1 1 1e99 1 1 1", "s r 1 1 1 1 1 1 1", "s r 1 1 1 1 1 1 1 x x", "s r 1 1 1 1 1 1 1 1 x"} {
		if _, ok := parseCallFields(text); ok {
			t.Errorf("parseCallFields accepted %q", text)
		}
	}
	for _, text := range []string{"", "overloaded", "overloaded maybe 1 1", "overloaded not_run x 1", "overloaded not_run 1 1 x"} {
		if _, ok := parseRefusal(text); ok {
			t.Errorf("parseRefusal accepted %q", text)
		}
	}
}

// Guards the comparisons of pkg/play: its product policy has to equal the
// parameters of this package.
func TestPlayPolicyMatchesGateway(t *testing.T) {
	want := play.GatewayPolicy()
	if got := (play.Policy{
		MaxWaitShare: maxWaitShare, DownloadMaxWaitShare: downloadMaxWaitShare, LinkWaitShare: linkWaitShare, LinkRetryAfterShare: linkRetryAfterShare, BackOff: true, BackOffLimitedAlone: true,
		DownloadsInRegion: true, ShortestFirst: true, InTimeFirst: true, ShareWithinRank: true, Retries: true, ReturningLate: true, InnerWeight: innerWeight, QueueShare: queueShare, RefuseLate: true, TeamShares: true,
		BudgetShare: budgetShare * budgetRatio, ReserveShare: reserveShare,
	}); got != want {
		t.Errorf("gateway parameters are %+v, the policy of pkg/play is %+v", got, want)
	}
}
