package play

import (
	"reflect"
	"testing"
	"time"
)

// minKindShare is the smallest share of the mean that each request kind must earn.
// It is a condition of the users' gate.
const minKindShare = 0.25

func namedScenario(t *testing.T, name string) Scenario {
	t.Helper()
	for _, s := range Scenarios() {
		if s.Name == name {
			return s
		}
	}
	t.Fatalf("no scenario %q", name)
	return Scenario{}
}

// Guards comparisons of policies: if a run depended on anything but its arguments,
// a difference between two results could have another cause than the policy.
func TestRunIsDeterministic(t *testing.T) {
	s := namedScenario(t, "all callers back after a loss of all processes")
	s.Length = 3 * time.Second
	a, b, c := Run(s, GatewayPolicy(), 1), Run(s, GatewayPolicy(), 1), Run(s, GatewayPolicy(), 2)
	if !reflect.DeepEqual(a, b) {
		t.Errorf("two runs with the same seed differ: %+v and %+v", a, b)
	}
	if reflect.DeepEqual(a, c) {
		t.Errorf("runs with different seeds are equal: %+v", a)
	}
}

// Guards against the starvation of a request kind in any scenario.
func TestNoKindIsStarved(t *testing.T) {
	for _, s := range Scenarios() {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			s.Length = 10 * time.Second
			r := Run(s, GatewayPolicy(), 1)
			for kind, share := range r.Kinds {
				if share < minKindShare*r.EarnedShare {
					t.Errorf("kind %s earned %.2f of its worth, all kinds together earned %.2f", kind, share, r.EarnedShare)
				}
			}
			if r.ServedShare <= 0 || r.ServedShare > 1 || r.WorstWindows > r.EarnedShare || r.WorstKind > r.EarnedShare {
				t.Errorf("impossible result %+v", r)
			}
		})
	}
}

// mechanismSeeds is the number of seeds over which two policies are compared. Results of
// one policy with different seeds differ by up to 0.02.
const mechanismSeeds = 8

// Guards the effect of the mechanisms: in the scenario that a mechanism is meant
// for, the worth is higher with it than without it.
func TestMechanismsImproveWorth(t *testing.T) {
	for scenario, variant := range map[string]string{
		"flood of one kind":                   "late calls in their turn",
		"a zone's callers moved":              "no other upstream before the queue",
		"a third of a service grey":           "no retries",
		"most upstreams of a service limited": "a rate limit holds off its region",
	} {
		t.Run(scenario, func(t *testing.T) {
			t.Parallel()
			s := namedScenario(t, scenario)
			s.Length = 14 * time.Second
			policy := GatewayPolicy()
			for _, v := range Variants() {
				if v.Name == variant {
					v.Change(&policy)
				}
			}
			if policy == GatewayPolicy() {
				t.Fatalf("no variant %q", variant)
			}
			with, without := 0.0, 0.0
			for seed := range uint64(mechanismSeeds) {
				a, b := Run(s, GatewayPolicy(), seed), Run(s, policy, seed)
				with, without = with+a.Worth()/mechanismSeeds, without+b.Worth()/mechanismSeeds
			}
			if with <= without {
				t.Errorf("worth %.3f, want more than the %.3f of the variant %q", with, without, variant)
			}
		})
	}
}

// Guards against faults that change the request rate at other times or in other
// zones than stated.
func TestRateFollowsFaults(t *testing.T) {
	s := bookingScenario("test", 1, Fault{From: time.Second, To: 2 * time.Second, RateKind: "lookup", RateZone: 1, RateFactor: 3})
	s.Amplitude = 0
	k := s.kind("lookup")
	for _, c := range []struct {
		zone int
		at   time.Duration
		want float64
	}{{1, 0, 75}, {1, time.Second, 225}, {0, time.Second, 75}, {1, 2 * time.Second, 75}} {
		if got := s.rate(k, c.zone, c.at); got != c.want {
			t.Errorf("zone %d at %s: %.0f requests per second, want %.0f", c.zone, c.at, got, c.want)
		}
	}
	if s.kind("none") != nil {
		t.Error("found a request kind that does not exist")
	}
}

// Guards the account of the heaviest day (docs/design/heavy-load.md) in simulation: with
// the present policy, callers of the same rank are served unevenly, and it takes long
// after the bursts until lookups are in target again.
func TestHeavyScenarioIsOverloaded(t *testing.T) {
	s := dispatchScenario()
	s.Length = 14 * time.Second
	r := Run(s, GatewayPolicy(), 1)
	for kind, a := range r.Accounts {
		if sum := a.InTarget + a.Late + a.RefusedAtOnce + a.RefusedLate + a.RefusedAgain + a.Failed; sum != a.Requests {
			t.Errorf("%s: the outcomes of %d requests add up to %d", kind, a.Requests, sum)
		}
	}
	if share := s.RefusedAgainShare(&r); share < 0.05 || share > 0.5 {
		t.Errorf("%.3f of the worth was refused again", share)
	}
	if got := s.ChargedShare(&r); got <= 0 || got > s.RefusedAgainShare(&r) {
		t.Errorf("%.3f of the worth was charged for calls that were held and refused", got)
	}
	if first := s.teamShare(1); first < 0.25 || first > 0.35 {
		t.Errorf("the largest of 75 teams sends %.2f of the requests", first)
	}
	for team := range r.Teams {
		if team < 1 || team > s.Teams {
			t.Errorf("a request of team %d", team)
		}
	}
}

// heavyRun simulates the first part of the dispatch mesh's heaviest day with all
// decisions except those that the variants in off switch off, and with another variant in
// addition.
func heavyRun(t *testing.T, length time.Duration, variant string, off ...string) (with, without Result) {
	t.Helper()
	change := func(p Policy, name string) Policy {
		before := p
		for _, v := range HeavyVariants() {
			if v.Name == name {
				v.Change(&p)
			}
		}
		if p == before {
			t.Fatalf("no variant %q", name)
		}
		return p
	}
	s, policy := dispatchScenario(), GatewayPolicy()
	s.Length = length
	for _, name := range off {
		policy = change(policy, name)
	}
	return Run(s, policy, 1), Run(s, change(policy, variant), 1)
}

// Load: callers that were refused during bursts come back when they can only be served
// late. Guards against late answers to them that make the answers to new callers late.
func TestReturningCallersDoNotDelayNewOnes(t *testing.T) {
	with, without := heavyRun(t, 18*time.Second, "returning callers as new ones")
	a, b := with.Accounts["lookup"], without.Accounts["lookup"]
	t.Logf("lookups: %+v, without the decision %+v", a, b)
	if inTarget := float64(a.InTarget) / float64(a.Requests); inTarget < float64(b.InTarget)/float64(b.Requests)+0.05 {
		t.Errorf("%.3f of the lookups in target", inTarget)
	}
	if with.EarnedShare <= without.EarnedShare {
		t.Errorf("earned %.3f, want more than %.3f", with.EarnedShare, without.EarnedShare)
	}
}

// Load: a burst of audits at a service that running bookings call. Guards against
// bookings that fail after half of their work because that call waited behind audits.
func TestCallsOfUpstreamsDoNotWaitBehindNewCalls(t *testing.T) {
	with, without := heavyRun(t, 12*time.Second, "calls of upstreams in their own rank")
	a, b := with.Accounts["booking"], without.Accounts["booking"]
	t.Logf("bookings: %+v, without the decision %+v", a, b)
	if failed := float64(a.Failed) / float64(a.Requests); failed > 0.02 || failed > 0.2*float64(b.Failed)/float64(b.Requests) {
		t.Errorf("%.3f of the bookings failed", failed)
	}
	if audits := with.Kinds["audit"]; audits < minKindShare*with.EarnedShare {
		t.Errorf("audits earned %.3f of their worth, all kinds %.3f", audits, with.EarnedShare)
	}
}

// Load: all upstreams of a service are busy for seconds. Guards against calls that wait
// in a queue and are then refused, when their callers have no time left to come back.
func TestCallsAreRefusedAtOnceOrServed(t *testing.T) {
	for variant, off := range map[string][]string{"calls wait up to their deadline": {"late calls wait", "no shares of teams"}, "late calls wait": nil} {
		with, without := heavyRun(t, 18*time.Second, variant, off...)
		s := dispatchScenario()
		a, b := s.ChargedShare(&with), s.ChargedShare(&without)
		t.Logf("charged for holding refused calls: %.3f of the worth, with %q %.3f", a, variant, b)
		if a > 0.5*b {
			t.Errorf("%.3f of the worth was charged, want at most half of %.3f", a, b)
		}
		for kind, k := range with.Kinds {
			if k < without.Kinds[kind]-0.02 {
				t.Errorf("%s earned %.3f, want at least the %.3f of %q", kind, k, without.Kinds[kind], variant)
			}
		}
	}
}

// Load: the largest team sends 4.6 times its usual traffic. Guards against a burst of one
// team that others pay for.
func TestOtherTeamsDoNotPayForABurst(t *testing.T) {
	with, without := heavyRun(t, 14*time.Second, "no shares of teams")
	others := func(r *Result) (mean float64) {
		for team, share := range r.Teams {
			if team != 1 {
				mean += share / float64(len(r.Teams)-1)
			}
		}
		return mean
	}
	t.Logf("the team with the burst earned %.3f of its worth, others %.3f; without the decision %.3f and %.3f",
		with.Teams[1], others(&with), without.Teams[1], others(&without))
	if others(&with) < others(&without)+0.02 {
		t.Errorf("others earned %.3f of their worth, want more than %.3f", others(&with), others(&without))
	}
	if with.Teams[1] < minKindShare*with.EarnedShare {
		t.Errorf("the team with the burst earned %.3f of its worth", with.Teams[1])
	}
}
