package play

import (
	"time"

	"github.com/lentilflow/lentilflow/pkg/admission"
	"github.com/lentilflow/lentilflow/pkg/balance"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/retry"
)

const (
	clientWay  = 8 * time.Millisecond
	inZoneWay  = 200 * time.Microsecond
	zoneWay    = 1400 * time.Microsecond
	regionWay  = 12 * time.Millisecond
	maxRetry   = 0.3 // part of its time left that a caller waits at most
	plainRetry = 50 * time.Millisecond
	// overloadedRetry and patientAfter are those of pkg/gateway.
	overloadedRetry = 400 * time.Millisecond
	patientAfter    = 2
)

// way is the time of a message to a zone at a distance.
func way(d model.Distance) time.Duration {
	switch d {
	case model.SameZone:
		return inZoneWay
	case model.SameRegion:
		return zoneWay
	}
	return regionWay
}

// refusal is why a call or job has no answer.
type refusal struct {
	reason     model.Reason
	run        model.RunState
	unreached  bool
	retryAfter time.Duration
	wait       time.Duration
}

func notRun(reason model.Reason) *refusal {
	return &refusal{reason: reason, run: model.NotRun, unreached: true}
}

// call is a request at the node that took it.
type call struct {
	node     *node
	kind     *Kind
	deadline time.Duration
	due      time.Duration
	patience time.Duration
	budget   *retry.Budget
	avoid    []model.NodeID
	made     int
	moves    int
	lost     int
	possible bool
	last     *refusal
	done     func(*refusal)
}

// take begins a call that a node has got. done is told nil for an answer.
func (n *node) take(k *Kind, deadline time.Duration, done func(*refusal)) {
	share := n.play.policy.Patience
	if k.Bytes > 0 {
		share = n.play.policy.LargePatience
	}
	c := &call{
		node: n, kind: k, deadline: deadline, due: n.play.clock.now + k.Target, done: done,
		patience: time.Duration(share * float64(k.Target)), budget: n.budget(k.Service),
	}
	c.budget.Earn()
	c.attempt()
}

func (c *call) waitAnywhere() {
	if c.patience > 0 {
		c.patience, c.avoid = 0, nil
	}
}

func (c *call) pick(entries []model.UpstreamNode) (balance.Choice, balance.Result) {
	p := c.node.play
	return c.node.picker.Pick(balance.Request{
		Candidates: entries, From: c.node.entry.Location, Prefer: model.PreferZone, Rank: c.kind.Rank, Service: c.kind.Service,
		Route: c.kind.Name, IgnoreBackoff: c.patience == 0, Download: c.kind.Bytes > 0 && p.policy.LargeInRegion, Exclude: c.avoid,
		Now: p.clock.now, Seed: p.clock.rnd.Uint64(),
	})
}

func (c *call) attempt() {
	p := c.node.play
	entries := p.entries[c.kind.Service]
	if c.moves >= patientAfter || len(entries) == 1 {
		c.waitAnywhere()
	}
	choice, found := c.pick(entries)
	if found == balance.NoUpstream && c.patience > 0 {
		c.waitAnywhere()
		choice, found = c.pick(entries)
	}
	switch found {
	case balance.NoUpstream:
		r := c.last
		if r == nil {
			r = notRun(model.NoUpstream)
		}
		c.done(r)
		return
	case balance.Busy:
		c.waitAnywhere()
	case balance.Overloaded:
		r := notRun(model.Overloaded)
		r.retryAfter = overloadedRetry/2 + p.clock.upTo(overloadedRetry)
		c.done(r)
		return
	}
	target := p.targets[c.kind.Service][choice.Index]
	c.avoid = append(c.avoid, target.entry.Node)
	choice.Stats.Begin(p.clock.now)
	began := p.clock.now
	d := way(choice.Distance)
	p.clock.after(d, func() {
		target.arrive(&job{kind: c.kind, deadline: c.deadline, due: c.due, patience: c.patience, end: func(r *refusal) {
			p.clock.after(d, func() {
				c.learn(&choice, began, r)
				c.ended(r)
			})
		}})
	})
}

// learn records what an attempt shows about the node that was asked.
func (c *call) learn(choice *balance.Choice, began time.Duration, r *refusal) {
	p, outcome := c.node.play, balance.Accepted
	if r != nil {
		switch r.reason {
		case model.Overloaded, model.DeadlineUnreachable, model.UpstreamShed:
			outcome = balance.Refused
			if excess := r.wait - c.patience; p.policy.Hold && r.wait > 0 && excess > 0 {
				c.node.picker.BackOff(choice, c.kind.Service, c.kind.Name, excess, p.clock.now, p.clock.rnd.Float64())
			}
		case model.UpstreamUnreachable, model.UpstreamLost:
			outcome = balance.Failed
		default:
			outcome = balance.Neutral
		}
	}
	choice.Stats.End(p.clock.now, c.kind.Rank, outcome, p.clock.now-began)
}

// ended delivers the outcome of an attempt, or makes another one.
func (c *call) ended(r *refusal) {
	if r == nil {
		c.done(nil)
		return
	}
	p := c.node.play
	c.last = r
	if r.run != model.NotRun {
		c.possible = true
		if r.reason == model.UpstreamLost {
			c.lost++
		}
	}
	verdict, delay := retry.Decide(retry.Failure{Reason: r.reason, Run: r.run, Unreached: r.unreached}, retry.Call{
		Idempotent: c.kind.Idempotent, MaxRetries: attempts - 1, RetriesMade: c.made, UnreachedAttempts: c.moves, LostUpstreams: c.lost,
		Remaining: c.deadline - p.clock.now, Replayable: true,
	}, c.budget, p.clock.rnd.Float64())
	if verdict != retry.Retry || !p.policy.Retries {
		if c.possible {
			r.run = model.RunUnknown
		}
		c.done(r)
		return
	}
	if r.unreached {
		c.moves++
	} else {
		c.made++
	}
	p.clock.after(delay, c.attempt)
}

// attempts is the most upstreams to which one call is sent.
const attempts = 3

// job is a call at the node beside an upstream.
type job struct {
	kind     *Kind
	deadline time.Duration
	due      time.Duration
	patience time.Duration
	waiter   *admission.Waiter
	ended    bool
	end      func(*refusal)
}

func (j *job) finish(r *refusal) {
	if !j.ended {
		j.ended = true
		j.end(r)
	}
}

// arrive decides on a job as the node beside the upstream does.
func (n *node) arrive(j *job) {
	now := n.play.clock.now
	if down, _, _ := n.fault(); down {
		j.finish(notRun(model.UpstreamUnreachable))
		return
	}
	if r := n.linkRefusal(j); r != nil {
		j.finish(r)
		return
	}
	rule, due := j.kind.Name, j.due
	if !n.play.policy.Shares {
		rule = ""
	}
	if !n.play.policy.InTimeFirst {
		due = 0
	}
	w := &admission.Waiter{Call: admission.Call{
		Rank: j.kind.Rank, Rule: rule, Weight: 1, Deadline: j.deadline, Due: due, MaxQueueTime: j.patience,
	}}
	j.waiter = w
	verdict, dropped := n.core.Arrive(now, w)
	if dropped != nil {
		n.refuse(dropped, model.Overloaded)
	}
	switch verdict {
	case admission.Admitted:
		n.start(j)
	case admission.Queued:
		n.jobs[w] = j
		n.play.clock.after(j.deadline-now, func() { n.expire(j) })
		n.next()
	default:
		reason := model.Overloaded
		if verdict == admission.DeadlineUnreachable {
			reason = model.DeadlineUnreachable
		}
		n.jobs[w] = j
		n.refuse(w, reason)
	}
}

// refuse ends a job that got no slot.
func (n *node) refuse(w *admission.Waiter, reason model.Reason) {
	j := n.jobs[w]
	delete(n.jobs, w)
	drain := n.core.ExpectedQueueTime(n.play.clock.now, &w.Call)
	r := notRun(reason)
	r.wait = drain
	r.retryAfter = time.Duration((0.5+n.play.clock.rnd.Float64())*float64(drain)) + n.play.clock.upTo(time.Second)
	j.finish(r)
}

func (n *node) expire(j *job) {
	if _, waits := n.jobs[j.waiter]; !waits {
		return
	}
	delete(n.jobs, j.waiter)
	n.core.Remove(j.waiter)
	j.finish(notRun(model.DeadlineExceeded))
}

// next gives free slots to waiting jobs.
func (n *node) next() {
	for {
		w, admitted := n.core.Next(n.play.clock.now)
		if w == nil {
			return
		}
		if !admitted {
			n.refuse(w, model.DeadlineExceeded)
			continue
		}
		j := n.jobs[w]
		delete(n.jobs, w)
		n.start(j)
	}
}

// linkRefusal refuses a job whose answer the link could not send in time.
func (n *node) linkRefusal(j *job) *refusal {
	if j.kind.Bytes == 0 || n.link == nil {
		return nil
	}
	p := n.play
	wait := n.link.TimeToSend(p.clock.now, int64(n.sizeMean))
	limit := min(j.deadline-p.clock.now, time.Duration(p.policy.LinkShare*float64(j.kind.Target)))
	if j.patience > 0 {
		limit = min(limit, j.patience)
	}
	if wait <= limit {
		return nil
	}
	r := notRun(model.Overloaded)
	r.wait = wait
	r.retryAfter = wait - limit + p.clock.upTo(time.Duration(p.policy.LinkRetryShare*float64(j.kind.Target)))
	return r
}

// start runs a job: its calls first, then its own work.
func (n *node) start(j *job) {
	p := n.play
	_, shed, slow := n.fault()
	if shed > 0 && p.clock.rnd.Float64() < shed {
		p.clock.after(rejectTime, func() {
			n.release(j, admission.Shed)
			j.finish(&refusal{reason: model.UpstreamShed, run: model.NotRun})
		})
		return
	}
	work := time.Duration(p.clock.logNormal(float64(j.kind.Work), j.kind.Spread) * slow / n.speed())
	n.calls(j, j.kind.Calls, func(failed bool) {
		if failed {
			n.release(j, admission.Completed)
			j.finish(&refusal{reason: model.UpstreamLost, run: model.RunUnknown})
			return
		}
		p.clock.after(work, func() { n.ran(j) })
	})
}

func (n *node) release(j *job, end admission.Outcome) {
	n.core.Done(n.play.clock.now, j.waiter, end)
	n.next()
}

// ran ends the run of a job.
func (n *node) ran(j *job) {
	p := n.play
	if down, _, _ := n.fault(); down {
		n.release(j, admission.Other)
		j.finish(&refusal{reason: model.UpstreamLost, run: model.RunUnknown})
		return
	}
	if p.clock.now > j.deadline {
		n.release(j, admission.TimedOut)
		j.finish(&refusal{reason: model.DeadlineExceeded, run: model.RunUnknown})
		return
	}
	n.release(j, admission.Completed)
	if j.kind.Bytes == 0 || n.link == nil {
		j.finish(nil)
		return
	}
	n.send(int64(p.clock.logNormal(j.kind.Bytes, 0.6)), j.due, func() { j.finish(nil) })
}

// calls makes the calls of a run and says whether one failed.
func (n *node) calls(j *job, calls []Calls, then func(failed bool)) {
	if len(calls) == 0 {
		then(false)
		return
	}
	c, p := calls[0], n.play
	if p.clock.rnd.Float64() >= c.Share {
		n.calls(j, calls[1:], then)
		return
	}
	k := p.pattern.kind(c.Kind)
	left, broken := c.Times, false
	var one func()
	one = func() {
		n.take(k, min(p.clock.now+k.Deadline, j.deadline), func(r *refusal) {
			left--
			broken = broken || r != nil
			switch {
			case c.Together && left > 0:
			case broken:
				then(true)
			case left > 0:
				one()
			default:
				n.calls(j, calls[1:], then)
			}
		})
	}
	if !c.Together {
		one()
		return
	}
	for range c.Times {
		one()
	}
}
