package play

import (
	"slices"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// simulation is the state of one run of a scenario.
type simulation struct {
	scenario       *Scenario
	policy         Policy
	clock          *clock
	nodes          []*node
	nodesByZone    [][]*node
	upstreams      map[string][]model.UpstreamNode
	nodesByService map[string][]*node // in the order of upstreams
	stats          statistics
}

// Run simulates a scenario under a policy. The seed determines all random draws. The
// scenario has to be longer than 2 s, because the result needs two windows, and has to
// contain the request kinds of all inner calls. Run is safe for concurrent use.
func Run(scenario Scenario, policy Policy, seed uint64) Result {
	sim := &simulation{
		scenario: &scenario, policy: policy, clock: newClock(seed), nodesByZone: make([][]*node, scenario.Zones),
		upstreams: make(map[string][]model.UpstreamNode), nodesByService: make(map[string][]*node), stats: newStatistics(&scenario),
	}
	for zone := range scenario.Zones {
		for i := range scenario.Services {
			service := &scenario.Services[i]
			for index := range service.upstreams(zone) {
				n := newNode(sim, service, zone, index)
				sim.nodes = append(sim.nodes, n)
				sim.nodesByZone[zone] = append(sim.nodesByZone[zone], n)
				sim.upstreams[service.Name] = append(sim.upstreams[service.Name], n.upstream)
				sim.nodesByService[service.Name] = append(sim.nodesByService[service.Name], n)
			}
		}
	}
	for i := range scenario.Kinds {
		for zone := range scenario.Zones {
			if k := &scenario.Kinds[i]; k.Rate > 0 {
				sim.scheduleArrival(k, zone)
			}
		}
	}
	for i := range scenario.Faults {
		if f := &scenario.Faults[i]; f.RateLimit > 0 {
			sim.clock.after(f.From, sim.updateRateLimits)
			sim.clock.after(f.To, sim.updateRateLimits)
		}
	}
	if scenario.Hiccups > 0 {
		sim.drawHiccups()
	}
	sim.clock.run()
	return sim.stats.result()
}

// drawHiccups draws the upstreams that are slow until the next call.
func (sim *simulation) drawHiccups() {
	for _, n := range sim.nodes {
		n.hiccup = sim.clock.rnd.Float64() < sim.scenario.Hiccups
	}
	if sim.clock.now < sim.scenario.Length {
		sim.clock.after(hiccupLength, sim.drawHiccups)
	}
}

func (sim *simulation) updateRateLimits() {
	for _, n := range sim.nodes {
		n.updateRateLimit()
	}
}

// scheduleArrival schedules the next request of the callers of a zone. The times
// between requests are exponentially distributed.
func (sim *simulation) scheduleArrival(k *RequestKind, zone int) {
	rate := sim.scenario.rate(k, zone, sim.clock.now)
	if rate < 0.1 { // at a rate of zero, no further arrival would be scheduled
		rate = 0.1
	}
	sim.clock.after(time.Duration(sim.clock.rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		if sim.clock.now >= sim.scenario.Length {
			return
		}
		r := &request{sim: sim, kind: k, zone: zone, start: sim.clock.now, team: sim.scenario.team(sim.clock.now, sim.clock.rnd.Float64())}
		r.send()
		sim.scheduleArrival(k, zone)
	})
}

// request is one request of a caller, including the caller's retries.
type request struct {
	sim     *simulation
	kind    *RequestKind
	zone    int
	team    int // from 1, 0 without teams
	start   time.Duration
	retries int
	held    time.Duration // sum of the times after which tries were refused
	offered bool          // an upstream saw a try
}

func (r *request) send() {
	sim, sent := r.sim, r.sim.clock.now
	sim.clock.after(callerLatency, func() {
		nodes := sim.nodesByZone[r.zone]
		n := nodes[sim.clock.rnd.IntN(len(nodes))]
		if n.activeFaults().down {
			sim.clock.after(callerLatency, func() { r.handleFailure(unreachedRefusal(model.UpstreamUnreachable)) })
			return
		}
		n.handleCall(r.kind, r.start+r.kind.Deadline-sent, r.team, func(f *refusal) {
			sim.clock.after(callerLatency, func() {
				if f == nil {
					sim.stats.add(r, sim.clock.now-r.start, nil)
					return
				}
				r.held += sim.clock.now - sent
				r.offered = r.offered || f.offered
				r.handleFailure(f)
			})
		})
	})
}

// handleFailure sends a request again after a wait if the caller may retry it.
// Otherwise it records the request as not served.
func (r *request) handleFailure(f *refusal) {
	sim := r.sim
	remaining := r.start + r.kind.Deadline - sim.clock.now
	if r.retries >= sim.scenario.CallerRetries || remaining <= 0 || !r.kind.Idempotent && f.runState != model.NotRun {
		sim.stats.add(r, 0, f)
		return
	}
	r.retries++
	wait := defaultRetryWait
	if f.retryAfter > 0 {
		wait = f.retryAfter
	}
	if sim.scenario.RetryImmediately {
		wait = 0
	}
	sim.clock.after(min(wait, time.Duration(maxRetryWaitShare*float64(remaining))), r.send)
}

// tally sums up a group of requests. offered is the worth if all responses met the
// latency target, and earned the worth of the responses received. served counts
// the responses within the deadline.
type tally struct{ offered, earned, requests, served float64 }

func (t *tally) earnedShare() float64 {
	if t.offered == 0 {
		return 1
	}
	return t.earned / t.offered
}

// windowLength is the length of the windows of time for which the worth is summed
// up. A request belongs to the window in which it starts. Result.WorstWindows is the
// mean of the two worst.
const windowLength = 2 * time.Second

// statistics sums up the outcomes of requests.
type statistics struct {
	kinds    map[string]*tally
	accounts map[string][]Account // by kind and window
	teams    map[int]*tally
	zones    []tally
	windows  []tally
	total    tally
	// attempts and refused are those of Result.
	attempts, refused [model.OtherRegion + 1]int
}

func newStatistics(scenario *Scenario) statistics {
	return statistics{
		kinds: make(map[string]*tally), accounts: make(map[string][]Account), teams: make(map[int]*tally), zones: make([]tally, scenario.Zones),
		windows: make([]tally, (scenario.Length+windowLength-1)/windowLength),
	}
}

// add records the outcome of a request. took is the time until the response, and f is
// nil. If there was no response, took is 0, and f is the refusal of the last try.
func (s *statistics) add(r *request, took time.Duration, f *refusal) {
	k, ok := s.kinds[r.kind.Name]
	if !ok {
		k = &tally{}
		s.kinds[r.kind.Name], s.accounts[r.kind.Name] = k, make([]Account, len(s.windows))
	}
	s.accounts[r.kind.Name][r.start/windowLength].add(r, took, f)
	earned, served := 0.0, 0.0
	switch {
	case took > 0 && took <= r.kind.LatencyTarget:
		earned, served = r.kind.Worth, 1
	case took > 0 && took <= r.kind.Deadline:
		earned, served = r.kind.LateWorth, 1
	}
	team, ok := s.teams[r.team]
	if !ok {
		team = &tally{}
		s.teams[r.team] = team
	}
	for _, t := range []*tally{k, team, &s.zones[r.zone], &s.windows[r.start/windowLength], &s.total} {
		t.offered += r.kind.Worth
		t.earned += earned
		t.requests++
		t.served += served
	}
}

// Result holds the users' measures of one run, as shares from 0 to 1. EarnedShare
// is the worth earned, relative to the worth if all responses met their latency
// targets. WorstWindows is the mean of this share in the two worst windows of 2 s,
// WorstKind its value for the worst request kind, and WorstZone for the worst zone.
// ServedShare is the share of the requests with a response within the deadline.
// Kinds holds the earned share by the name of the request kind.
type Result struct {
	EarnedShare, WorstWindows, WorstKind, WorstZone, ServedShare float64
	Kinds                                                        map[string]float64
	// Teams holds the earned share by the number of the team.
	Teams map[int]float64
	// Accounts holds the outcomes by the name of the request kind, and Windows those of
	// each window of 2 s.
	Accounts map[string]Account
	Windows  map[string][]Account
	// Attempts counts the attempts of all calls by the distance of the chosen upstream,
	// and Refused those of them that a node refused.
	Attempts, Refused [model.OtherRegion + 1]int
}

// Account counts the outcomes of the requests of one kind. Charged is the sum of
// Account.charge in requests.
type Account struct {
	Requests, InTarget, Late, RefusedAtOnce, RefusedLate, RefusedAgain, Failed int
	Charged                                                                    float64
}

const (
	// freeRefusalShare is the share of the latency target within which a refusal is
	// free of charge.
	freeRefusalShare = 0.125
	// chargedShare is the share of the time of a call from which the charge for
	// holding and refusing it is all of its worth.
	chargedShare = 0.75
)

func sum(accounts []Account) Account {
	var s Account
	for _, a := range accounts {
		s = s.Plus(a)
	}
	return s
}

// Plus returns the sum of two accounts.
func (a Account) Plus(b Account) Account {
	return Account{
		a.Requests + b.Requests, a.InTarget + b.InTarget, a.Late + b.Late, a.RefusedAtOnce + b.RefusedAtOnce,
		a.RefusedLate + b.RefusedLate, a.RefusedAgain + b.RefusedAgain, a.Failed + b.Failed, a.Charged + b.Charged,
	}
}

func (a *Account) add(r *request, took time.Duration, f *refusal) {
	a.Requests++
	free := time.Duration(freeRefusalShare * float64(r.kind.LatencyTarget))
	switch {
	case took > 0 && took <= r.kind.LatencyTarget:
		a.InTarget++
	case took > 0 && took <= r.kind.Deadline:
		a.Late++
	case f != nil && f.runState != model.NotRun || took > 0:
		a.Failed++
	case r.retries > 0:
		a.RefusedAgain++
	case r.held <= free:
		a.RefusedAtOnce++
	default:
		a.RefusedLate++
	}
	if f != nil && f.runState == model.NotRun && !r.offered {
		full := time.Duration(chargedShare * float64(r.kind.Deadline))
		a.Charged += min(max(float64(r.held-free)/float64(full-free), 0), 1)
	}
}

// Worth returns the weighted sum of the measures with the weights of the deployment
// rezidba-mreza. Its prices, which are subtracted from the worth, are left out.
func (r *Result) Worth() float64 {
	return 0.28*r.EarnedShare + 0.4*r.WorstWindows + 0.12*r.WorstKind + 0.2*r.ServedShare
}

func (s *statistics) result() Result {
	r := Result{
		EarnedShare: s.total.earnedShare(), WorstKind: 1, WorstZone: 1, Kinds: make(map[string]float64),
		Teams: make(map[int]float64), Accounts: make(map[string]Account), Windows: make(map[string][]Account),
		Attempts: s.attempts, Refused: s.refused,
	}
	if s.total.requests > 0 {
		r.ServedShare = s.total.served / s.total.requests
	}
	for name, t := range s.kinds {
		r.Kinds[name], r.Accounts[name], r.Windows[name] = t.earnedShare(), sum(s.accounts[name]), s.accounts[name]
		r.WorstKind = min(r.WorstKind, t.earnedShare())
	}
	for team, t := range s.teams {
		r.Teams[team] = t.earnedShare()
	}
	var windows []float64
	for i := range s.windows {
		windows = append(windows, s.windows[i].earnedShare())
	}
	slices.Sort(windows)
	r.WorstWindows = (windows[0] + windows[1]) / 2
	for i := range s.zones {
		r.WorstZone = min(r.WorstZone, s.zones[i].earnedShare())
	}
	return r
}

// ChargedShare returns the charge for requests that were held and refused, as a share
// of the worth of all requests.
func (s *Scenario) ChargedShare(r *Result) float64 {
	return s.worthShare(r, func(a Account) float64 { return a.Charged })
}

// RefusedAgainShare returns the worth of the requests whose second try was refused, as
// a share of the worth of all requests.
func (s *Scenario) RefusedAgainShare(r *Result) float64 {
	return s.worthShare(r, func(a Account) float64 { return float64(a.RefusedAgain) })
}

func (s *Scenario) worthShare(r *Result, requests func(Account) float64) float64 {
	part, all := 0.0, 0.0
	for name, a := range r.Accounts {
		worth := s.kind(name).Worth
		part += worth * requests(a)
		all += worth * float64(a.Requests)
	}
	return part / all
}
