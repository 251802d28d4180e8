package play

import (
	"cmp"
	"strconv"
	"time"

	"github.com/lentilflow/lentilflow/pkg/admission"
	"github.com/lentilflow/lentilflow/pkg/balance"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/retry"
)

const (
	// One-way network latencies: between a caller and the node that it calls, and
	// between nodes by their distance.
	callerLatency      = 8 * time.Millisecond
	sameZoneLatency    = 200 * time.Microsecond
	sameRegionLatency  = 1400 * time.Microsecond
	otherRegionLatency = 12 * time.Millisecond
	// maxRetryWaitShare is the share of the remaining time that a caller waits at
	// most before a retry, so that time is left for the retry.
	maxRetryWaitShare = 0.3
	defaultRetryWait  = 50 * time.Millisecond // wait before a retry if the refusal does not state one
	// defaultRetryAfter, overloadedRetryAfter and maxMovesWithWaitLimit equal those of
	// pkg/gateway.
	defaultRetryAfter     = 500 * time.Millisecond
	overloadedRetryAfter  = 400 * time.Millisecond
	maxMovesWithWaitLimit = 2
)

// latency returns the one-way network latency between nodes at a distance.
func latency(d model.Distance) time.Duration {
	switch d {
	case model.SameZone:
		return sameZoneLatency
	case model.SameRegion:
		return sameRegionLatency
	}
	return otherRegionLatency
}

// refusal tells why a call or an attempt has no response of an upstream.
type refusal struct {
	reason       model.Reason
	runState     model.RunState
	unreached    bool          // no upstream saw the attempt
	retryAfter   time.Duration // after which the caller may retry, 0 if not stated
	expectedWait time.Duration // for a slot or the link, 0 if not stated
	offered      bool          // an upstream saw an attempt of the call
}

func unreachedRefusal(reason model.Reason) *refusal {
	return &refusal{reason: reason, runState: model.NotRun, unreached: true}
}

// call is the state of a call at the node that received it. deadline and due are
// points in virtual time.
type call struct {
	node              *node
	kind              *RequestKind
	team              int
	deadline          time.Duration
	due               time.Duration // after which the response misses the latency target
	maxWait           time.Duration // limit of the expected wait of an attempt, 0 if there is none
	budget            *retry.Budget
	relaxed           bool
	excluded          []model.NodeID // not picked again, unless relaxWaitLimit clears it
	retries           int
	unreachedAttempts int
	lostUpstreams     int
	mayHaveRun        bool
	offered           bool // an upstream saw an attempt
	lastRefusal       *refusal
	done              func(*refusal)
}

// handleCall starts a call at the node that received it. stated is the time for which
// the caller waits. done is called with nil for a response, or with the refusal.
func (n *node) handleCall(k *RequestKind, stated time.Duration, team int, done func(*refusal)) {
	share := n.sim.policy.MaxWaitShare
	if k.DownloadBytes > 0 {
		share = n.sim.policy.DownloadMaxWaitShare
	}
	c := &call{
		node: n, kind: k, team: team, deadline: n.sim.clock.now + min(stated, cmp.Or(k.Timeout, stated)), due: n.sim.clock.now + k.LatencyTarget, done: done,
		maxWait: time.Duration(share * float64(k.LatencyTarget)), budget: n.budget(k.Service),
	}
	if n.sim.policy.ReturningLate && !k.inner() {
		c.due -= n.callerTime(k.Name).Elapsed(stated)
	}
	c.budget.Earn()
	c.startAttempt()
}

// relaxWaitLimit replaces the limit of the expected wait by the one that applies at all
// upstreams. Every upstream may then be tried again.
func (c *call) relaxWaitLimit() {
	if c.relaxed {
		return
	}
	c.relaxed, c.maxWait, c.excluded = true, 0, nil
	if c.kind.DownloadBytes == 0 && !c.kind.inner() {
		c.maxWait = time.Duration(c.node.sim.policy.QueueShare * float64(c.kind.LatencyTarget))
	}
}

func (c *call) pick(candidates []model.UpstreamNode) (balance.Choice, balance.Result) {
	sim := c.node.sim
	return c.node.picker.Pick(balance.Request{
		Candidates: candidates, From: c.node.upstream.Location, Prefer: model.PreferZone, Class: c.class(), Service: c.kind.Service,
		Route: c.kind.Name, IgnoreBackoff: c.relaxed || c.maxWait == 0, Download: c.kind.DownloadBytes > 0 && sim.policy.DownloadsInRegion, Exclude: c.excluded,
		Now: sim.clock.now, Seed: sim.clock.rnd.Uint64(),
	})
}

// class returns the class of calls whose refusals limit further calls of this one's.
func (c *call) class() balance.Class {
	rank, team := c.node.sim.rank(c.kind, c.team), ""
	if c.node.sim.policy.TeamShares && c.team > 0 {
		team = strconv.Itoa(c.team)
	}
	return balance.ClassOf(rank, team)
}

func (c *call) startAttempt() {
	sim := c.node.sim
	candidates := c.node.candidates(c.kind.Service)
	if c.unreachedAttempts >= maxMovesWithWaitLimit || len(candidates) == 1 {
		c.relaxWaitLimit()
	}
	choice, result := c.pick(candidates)
	if result == balance.NoUpstream && !c.relaxed {
		c.relaxWaitLimit()
		choice, result = c.pick(candidates)
	}
	switch result {
	case balance.NoUpstream:
		r := c.lastRefusal
		if r == nil {
			r = unreachedRefusal(model.NoUpstream)
		}
		if r.retryAfter == 0 {
			r.retryAfter = defaultRetryAfter
		}
		c.refuse(r)
		return
	case balance.Busy:
		c.relaxWaitLimit()
	case balance.Overloaded:
		r := unreachedRefusal(model.Overloaded)
		r.retryAfter = overloadedRetryAfter/2 + sim.clock.uniform(overloadedRetryAfter)
		c.refuse(r)
		return
	}
	target := sim.nodesByService[c.kind.Service][choice.Index]
	c.excluded = append(c.excluded, target.upstream.Node)
	choice.Stats.Begin(sim.clock.now)
	start := sim.clock.now
	delay := latency(choice.Distance)
	sim.stats.attempts[choice.Distance]++
	sim.clock.after(delay, func() {
		target.arrive(&attempt{kind: c.kind, team: c.team, deadline: c.deadline, due: c.due, maxWait: c.maxWait, done: func(r *refusal) {
			sim.clock.after(delay, func() {
				if r != nil && r.unreached {
					sim.stats.refused[choice.Distance]++
				}
				c.recordOutcome(&choice, target, start, r)
				c.finishAttempt(r)
			})
		}})
	})
}

// refuse ends the call without a response.
func (c *call) refuse(r *refusal) {
	r.offered = c.offered
	c.done(r)
}

// recordOutcome records the outcome of an attempt in the statistics of the chosen
// upstream, which is that of target.
func (c *call) recordOutcome(choice *balance.Choice, target *node, start time.Duration, r *refusal) {
	sim, outcome := c.node.sim, balance.Accepted
	if r != nil {
		switch r.reason {
		case model.Overloaded, model.DeadlineUnreachable, model.UpstreamShed:
			outcome = balance.Refused
			excess := r.expectedWait - c.maxWait
			switch {
			case !sim.policy.BackOff || r.expectedWait == 0 || excess <= 0:
			case sim.policy.BackOffLimitedAlone && target.limits.RateLimited:
				choice.Stats.BackOff(c.kind.Name, excess, sim.clock.now, sim.clock.rnd.Float64())
			default:
				c.node.picker.BackOff(choice, c.kind.Service, c.kind.Name, excess, sim.clock.now, sim.clock.rnd.Float64())
			}
		case model.UpstreamUnreachable, model.UpstreamLost:
			outcome = balance.Failed
		default:
			outcome = balance.Neutral
		}
	}
	choice.Stats.End(sim.clock.now, c.class(), outcome, sim.clock.now-start)
}

// finishAttempt ends the call with the outcome of an attempt, or schedules a further
// attempt.
func (c *call) finishAttempt(r *refusal) {
	if r == nil {
		c.done(nil)
		return
	}
	sim := c.node.sim
	c.lastRefusal = r
	c.offered = c.offered || !r.unreached
	if r.runState != model.NotRun {
		c.mayHaveRun = true
		if r.reason == model.UpstreamLost {
			c.lostUpstreams++
		}
	}
	verdict, delay := retry.Decide(retry.Failure{Reason: r.reason, Run: r.runState, Unreached: r.unreached}, retry.Call{
		Idempotent: c.kind.Idempotent, MaxRetries: maxAttempts - 1, RetriesMade: c.retries, UnreachedAttempts: c.unreachedAttempts, LostUpstreams: c.lostUpstreams,
		Remaining: c.deadline - sim.clock.now, Replayable: true,
	}, c.budget, sim.clock.rnd.Float64())
	if verdict != retry.Retry || !sim.policy.Retries {
		if c.mayHaveRun {
			r.runState = model.RunUnknown
		}
		c.refuse(r)
		return
	}
	if r.unreached {
		c.unreachedAttempts++
	} else {
		c.retries++
	}
	sim.clock.after(delay, c.startAttempt)
}

// maxAttempts is the largest number of upstreams that may receive one call.
const maxAttempts = 3

// attempt is one try to run a call, at the node of the chosen upstream. deadline, due
// and maxWait are those of the call.
type attempt struct {
	kind     *RequestKind
	team     int
	deadline time.Duration
	due      time.Duration
	maxWait  time.Duration
	waiter   *admission.Waiter
	finished bool
	done     func(*refusal)
}

func (a *attempt) finish(r *refusal) {
	if !a.finished {
		a.finished = true
		a.done(r)
	}
}

// arrive starts, queues or refuses an attempt at the node of the upstream.
func (n *node) arrive(a *attempt) {
	now := n.sim.clock.now
	if n.activeFaults().down {
		a.finish(unreachedRefusal(model.UpstreamUnreachable))
		return
	}
	if r := n.linkRefusal(a); r != nil {
		a.finish(r)
		return
	}
	rule, due := a.kind.Name, a.due
	if !n.sim.policy.ShareWithinRank {
		rule = ""
	}
	if !n.sim.policy.InTimeFirst {
		due = 0
	}
	w := &admission.Waiter{Call: admission.Call{
		Rank: n.sim.rank(a.kind, a.team), Rule: rule, Weight: n.sim.weight(a.kind), Deadline: a.deadline, Due: due, MaxQueueTime: a.maxWait,
	}}
	if n.sim.policy.TeamShares && a.team > 0 {
		w.Team, w.TeamWeight = strconv.Itoa(a.team), float64(n.sim.scenario.Teams)*n.sim.scenario.teamShare(a.team)
	}
	a.waiter = w
	verdict, dropped := n.admission.Arrive(now, w)
	if dropped != nil {
		n.refuse(dropped, model.Overloaded)
	}
	switch verdict {
	case admission.Admitted:
		n.start(a)
	case admission.Queued:
		n.queued[w] = a
		n.sim.clock.after(a.deadline-now, func() { n.expire(a) })
		for late := n.admission.RemoveLate(now); late != nil; late = n.admission.RemoveLate(now) {
			n.refuse(late, model.Overloaded)
		}
		n.startQueued()
	default:
		reason := model.Overloaded
		if verdict == admission.DeadlineUnreachable {
			reason = model.DeadlineUnreachable
		}
		n.queued[w] = a
		n.refuse(w, reason)
	}
}

// refuse ends an attempt that got no slot, with a refusal that states the expected
// queue time.
func (n *node) refuse(w *admission.Waiter, reason model.Reason) {
	a := n.queued[w]
	delete(n.queued, w)
	queueTime := n.admission.ExpectedQueueTime(n.sim.clock.now, &w.Call)
	r := unreachedRefusal(reason)
	r.expectedWait = queueTime
	r.retryAfter = time.Duration((0.5+n.sim.clock.rnd.Float64())*float64(queueTime)) + n.sim.clock.uniform(time.Second)
	a.finish(r)
}

func (n *node) expire(a *attempt) {
	if _, waits := n.queued[a.waiter]; !waits {
		return
	}
	delete(n.queued, a.waiter)
	n.admission.Remove(a.waiter)
	a.finish(unreachedRefusal(model.DeadlineExceeded))
}

// startQueued starts queued attempts while slots are free. It refuses those whose
// deadline has become unreachable in the queue.
func (n *node) startQueued() {
	for {
		w, admitted := n.admission.Next(n.sim.clock.now)
		if w == nil {
			n.scheduleNextStart()
			return
		}
		if !admitted {
			n.refuse(w, model.DeadlineExceeded)
			continue
		}
		a := n.queued[w]
		delete(n.queued, w)
		n.start(a)
	}
}

// scheduleNextStart schedules startQueued for the time when the rate limit permits
// the next start.
func (n *node) scheduleNextStart() {
	wait, ok := n.admission.NextStart(n.sim.clock.now)
	if !ok || n.startScheduled {
		return
	}
	n.startScheduled = true
	n.sim.clock.after(wait, func() {
		n.startScheduled = false
		n.startQueued()
	})
}

// linkRefusal returns a refusal if the link is not expected to send the response of
// a download within the remaining time, Policy.LinkWaitShare of the latency target
// and the maximum wait of the attempt. It returns nil otherwise.
func (n *node) linkRefusal(a *attempt) *refusal {
	if a.kind.DownloadBytes == 0 || n.link == nil {
		return nil
	}
	sim := n.sim
	wait := n.link.TimeToSend(sim.clock.now, int64(n.meanSize))
	limit := min(a.deadline-sim.clock.now, time.Duration(sim.policy.LinkWaitShare*float64(a.kind.LatencyTarget)))
	if a.maxWait > 0 {
		limit = min(limit, a.maxWait)
	}
	if wait <= limit {
		return nil
	}
	r := unreachedRefusal(model.Overloaded)
	r.expectedWait = wait
	r.retryAfter = wait - limit + sim.clock.uniform(time.Duration(sim.policy.LinkRetryAfterShare*float64(a.kind.LatencyTarget)))
	return r
}

// start runs an attempt at the upstream: first its inner calls, then its own work.
func (n *node) start(a *attempt) {
	sim := n.sim
	faults := n.activeFaults()
	if faults.shedShare > 0 && sim.clock.rnd.Float64() < faults.shedShare {
		sim.clock.after(rejectTime, func() {
			n.release(a, admission.Shed)
			a.finish(&refusal{reason: model.UpstreamShed, runState: model.NotRun})
		})
		return
	}
	work := time.Duration(sim.clock.logNormal(float64(a.kind.Work), a.kind.WorkSpread) * faults.slowdown / n.speed())
	if a.kind.TailShare > 0 && sim.clock.rnd.Float64() < a.kind.TailShare {
		work = time.Duration(float64(work) * a.kind.TailFactor)
	}
	n.makeInnerCalls(a, a.kind.InnerCalls, func(failed bool) {
		if failed {
			n.release(a, admission.Completed)
			a.finish(&refusal{reason: model.UpstreamLost, runState: model.RunUnknown})
			return
		}
		sim.clock.after(work, func() { n.finishRun(a) })
	})
}

func (n *node) release(a *attempt, end admission.Outcome) {
	n.admission.Done(n.sim.clock.now, a.waiter, end)
	n.startQueued()
}

// finishRun ends the run of an attempt at the upstream. The response of a download
// is then sent over the link.
func (n *node) finishRun(a *attempt) {
	sim := n.sim
	if n.activeFaults().down {
		n.release(a, admission.Other)
		a.finish(&refusal{reason: model.UpstreamLost, runState: model.RunUnknown})
		return
	}
	if sim.clock.now > a.deadline {
		n.release(a, admission.TimedOut)
		a.finish(&refusal{reason: model.DeadlineExceeded, runState: model.RunUnknown})
		return
	}
	n.release(a, admission.Completed)
	if a.kind.DownloadBytes == 0 || n.link == nil {
		a.finish(nil)
		return
	}
	n.sendDownload(int64(sim.clock.logNormal(a.kind.DownloadBytes, 0.6)), a.due, func() { a.finish(nil) })
}

// makeInnerCalls makes the inner calls of an attempt, one element of calls after
// another, and then calls then. failed tells whether an inner call failed. The
// elements after that one are skipped.
func (n *node) makeInnerCalls(a *attempt, calls []InnerCalls, then func(failed bool)) {
	if len(calls) == 0 {
		then(false)
		return
	}
	c, sim := calls[0], n.sim
	if sim.clock.rnd.Float64() >= c.Share {
		n.makeInnerCalls(a, calls[1:], then)
		return
	}
	k := sim.scenario.kind(c.Kind)
	remaining, anyFailed := c.Times, false
	var callOnce func()
	callOnce = func() {
		n.handleCall(k, min(k.Deadline, a.deadline-sim.clock.now), 0, func(r *refusal) {
			remaining--
			anyFailed = anyFailed || r != nil
			switch {
			case c.Concurrent && remaining > 0:
			case anyFailed:
				then(true)
			case remaining > 0:
				callOnce()
			default:
				n.makeInnerCalls(a, calls[1:], then)
			}
		})
	}
	if !c.Concurrent {
		callOnce()
		return
	}
	for range c.Times {
		callOnce()
	}
}
