package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/balance"
	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/h1"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/retry"
)

const (
	// defaultDeadline is the time for a call that states none, on a route
	// without a timeout.
	defaultDeadline = 30 * time.Second
	// startRetry is the Retry-After of a node that does not know the
	// configuration although startWait has passed.
	startRetry = 500 * time.Millisecond
	// startWait is how long after its start a node lets calls wait for the
	// configuration and the fleet. It has both after 0.2 s if the store answers.
	startWait = 500 * time.Millisecond
	// startWaitShare bounds that wait by the time that a call has.
	startWaitShare = 0.3
	// patienceShare is the part of the latency target that a call may be
	// expected to wait for a slot while another upstream may be free.
	patienceShare = 0.25
	// patientAfter is how many nodes may turn a call away before it queues
	// wherever it is taken.
	patientAfter = 2
)

// Gateway is the path of calls at one node.
type Gateway struct {
	Names   HeaderNames
	Self    fleet.Member
	Config  *config.Holder
	View    *fleet.View
	Local   *Local
	Remote  *Remote
	Picker  *balance.Picker
	Budgets *Budgets
	Metrics *Metrics
	Log     *zap.Logger
	// OnBehind is told when another node has a newer configuration.
	OnNewerConfig func(v config.Version)

	log   *callLog
	epoch time.Time
	end   atomic.Pointer[time.Time] // nil while this node stays
	// clip bounds the deadlines of calls, and ending says that none is tried
	// again, while this node stops.
	clip   atomic.Pointer[time.Time]
	ending atomic.Bool
	// open is closed when configuration and fleet are known.
	open     chan struct{}
	openOnce sync.Once
	// life ends when the calls that still wait are given up.
	life   context.Context
	giveUp context.CancelFunc
}

// Clip bounds the deadline of every further call, so that other nodes say
// whether it has run before this process ends.
func (g *Gateway) CapDeadlines(t time.Time) { g.clip.Store(&t) }

// EndBy turns away every further call that may last beyond a time. It follows
// the time in which callers are told that this node goes. Calls that the
// upstream of this VM makes for the requests that it still runs are short.
func (g *Gateway) RefuseCallsEndingAfter(t time.Time) { g.end.Store(&t) }

// New completes g.
func New(g *Gateway) *Gateway {
	g.epoch = time.Now()
	g.log = newCallLog(g.Log)
	g.open = make(chan struct{})
	g.life, g.giveUp = context.WithCancel(context.Background())
	return g
}

// informed reports whether this node knows where calls may go.
func (g *Gateway) informed() bool { return g.Config.Current() != nil && g.View.Loaded() }

// Open lets the calls pass that wait for the first configuration and fleet, once
// both are known.
func (g *Gateway) ReleaseIfReady() {
	if g.informed() {
		g.openOnce.Do(func() { close(g.open) })
	}
}

// awaitOpen lets a call wait while this node has just started: its callers come
// back at once after a loss of all nodes, and one that is refused for the lack
// of a configuration may not come a third time.
func (g *Gateway) awaitOpen(c *call) {
	if g.informed() {
		return
	}
	wait := startWait - time.Since(g.epoch)
	if d, ok := parseMillis(c.x.Request.Header.Get(g.Names.Deadline)); ok {
		wait = min(wait, time.Duration(startWaitShare*float64(d)))
	}
	if wait <= 0 {
		return
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-g.open:
	case <-t.C:
	case <-c.ctx.Done():
	}
}

// CallServer returns the server for calls of the VM.
func (g *Gateway) CallServer() *h1.Server {
	return &h1.Server{
		Handle:     g.handleCall,
		Concurrent: g.concurrent,
		Limits:     g.callerLimits,
		OnFault:    g.onFault("caller"),
		OnPanic:    g.onPanic("call"),
	}
}

func (g *Gateway) onPanic(place string) func(any, []byte) {
	return func(v any, stack []byte) { g.Local.Guard.RecordPanic(place, v, stack) }
}

func (g *Gateway) callerLimits() h1.Limits {
	s := g.Config.Current()
	if s == nil {
		return h1.Limits{}
	}
	c := s.Callers
	return h1.Limits{MaxHeaderBytes: c.MaxHeaderBytes, MaxBodyBytes: c.MaxBodyBytes, HeaderTimeout: c.HeaderTimeout, IdleTimeout: c.IdleTimeout}
}

// concurrent reports whether a pipelined request may run before its turn.
func (g *Gateway) concurrent(x *h1.Exchange) bool {
	s := g.Config.Current()
	if s == nil {
		return false
	}
	t, ok := s.Match(x.Request.Method, x.Request.Host, x.Request.URL.Path)
	return ok && t.Idempotent
}

// call is a request of a caller on its way.
type call struct {
	x       *h1.Exchange
	ctx     context.Context // ends when the caller leaves or the node gives the call up
	job     *Attempt
	version config.Version
	route   *config.RouteState
	budget  *retry.Budget

	asked    []model.NodeID // in this order
	avoid    []model.NodeID
	made     int           // attempts that reached an upstream, without the first
	moves    int           // attempts that reached none
	lost     int           // attempts that lost their upstream
	possible bool          // an earlier attempt may have run
	last     *Refusal      // of the attempt before
	failed   *failedAnswer // answer of an upstream that a retry may better
	waited   time.Duration
	ran      time.Duration
	verdict  retry.Verdict
}

func (g *Gateway) handleCall(x *h1.Exchange) {
	ctx, end := g.callContext(x.Context())
	defer end()
	c := &call{x: x, ctx: ctx}
	g.awaitOpen(c)
	r := g.prepare(c)
	if r == nil {
		r = g.enter(c)
	}
	if r != nil {
		g.refuseCall(c, r)
	}
}

// enter serves a call if its route allows one more.
func (g *Gateway) enter(c *call) *Refusal {
	if !c.route.TryAcquire() {
		r := refuse(model.RuleLimit)
		r.RetryAfter = startRetry
		return r
	}
	defer c.route.Release()
	return g.serve(c)
}

// prepare decides by which route a call goes. It returns a refusal if none
// does.
func (g *Gateway) prepare(c *call) *Refusal {
	req := c.x.Request
	s := g.Config.Current()
	if s == nil {
		r := refuse(model.NoConfiguration)
		r.RetryAfter = startRetry
		return r
	}
	c.version = s.Version
	t, ok := s.Match(req.Method, req.Host, req.URL.Path)
	if !ok {
		return refuse(model.NoRule)
	}
	c.route = t
	h1.RemoveHopByHopFields(req.Header)
	stripOwn(req.Header)
	deadline := g.deadline(c)
	if end := g.end.Load(); end != nil && deadline.After(*end) {
		c.x.CloseAfter = true
		return refuse(model.NodeDraining)
	}
	if clip := g.clip.Load(); clip != nil && deadline.After(*clip) {
		deadline = *clip
	}
	if req.Header.Get(g.Names.RequestID) == "" {
		req.Header[g.Names.RequestID] = []string{newRequestID()}
	}
	req.Header[g.Names.Caller] = []string{g.Self.Service}
	delete(req.Header, g.Names.Deadline)
	delete(req.Header, g.Names.ExpectedBoot)
	c.job = &Attempt{
		RequestID: req.Header.Get(g.Names.RequestID), Method: req.Method, Target: req.RequestURI, Host: req.Host,
		Header: req.Header, Body: c.x.Body, Rest: c.x.Rest, Length: c.x.Length,
		Service: t.ChooseService(), Route: t.Name, Rank: min(t.Rank, model.MaxRank), Idempotent: t.Idempotent, Deadline: deadline,
		MaxWait: patience(t), Weight: max(t.Weight, 1),
		Download: t.Download, LatencyTarget: t.TargetLatency,
	}
	if t.TargetLatency > 0 {
		c.job.Due = c.x.Arrived.Add(t.TargetLatency)
	}
	c.budget = g.Budgets.Of(c.job.Service)
	c.budget.Earn()
	return nil
}

// patience returns how long a call may be expected to wait while another
// upstream may be free.
func patience(t *config.RouteState) time.Duration {
	share := patienceShare
	if t.Download {
		share = bulkPatienceShare
	}
	return time.Duration(share * float64(t.TargetLatency))
}

// newRequestID names a request whose caller did not.
func newRequestID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// deadline returns when the final answer of a call is due: when its caller
// leaves, or at the timeout of its route.
func (g *Gateway) deadline(c *call) time.Time {
	wait := defaultDeadline
	if c.route.Timeout > 0 {
		wait = c.route.Timeout
	}
	if d, ok := parseMillis(c.x.Request.Header.Get(g.Names.Deadline)); ok {
		wait = min(wait, d)
	}
	return c.x.Arrived.Add(wait)
}

// serve runs a call until it has an answer. It returns the refusal if there is
// none.
func (g *Gateway) serve(c *call) *Refusal {
	for {
		r := g.attempt(c)
		if r == nil {
			return nil
		}
		if r.RunState != model.NotRun {
			c.possible = true
			if r.Reason == model.UpstreamLost && !errors.Is(r.Cause, errFailedAnswer) {
				c.lost++
			}
		}
		f := retry.Failure{Reason: r.Reason, Run: r.RunState, Unreached: r.Unreached}
		if c.failed != nil {
			f.Run = model.RunUnknown // it ran and may run again
		}
		verdict, delay := retry.Decide(f, retry.Call{
			Idempotent: c.job.Idempotent, MaxRetries: c.route.MaxAttempts - 1, RetriesMade: c.made, UnreachedAttempts: c.moves, LostUpstreams: c.lost,
			Remaining: time.Until(c.job.Deadline), Replayable: c.job.Rest == nil,
		}, c.budget, rand.Float64())
		c.verdict = verdict
		g.Metrics.verdict(verdict)
		if verdict != retry.Retry || g.ending.Load() {
			return g.settle(c, r)
		}
		g.logRetry(c, r)
		if r.Unreached {
			c.moves++
		} else {
			c.made++
		}
		if !g.pause(c, delay) {
			return g.settle(c, refuse(endedReason(c.ctx)))
		}
	}
}

// settle delivers a failed answer that no retry has bettered.
func (g *Gateway) settle(c *call, r *Refusal) *Refusal {
	if c.failed == nil || r.Reason == model.CallerGone {
		return r
	}
	f := c.failed
	_ = g.send(c, &h1.Reply{Status: f.status, Header: f.header, Body: f.body}) // its log line tells an error
	return nil
}

func (g *Gateway) pause(c *call, d time.Duration) bool {
	if d > 0 {
		time.Sleep(d)
	}
	return c.ctx.Err() == nil
}

// attempt sends a call to one node and delivers the answer. It returns the
// refusal if there is none to deliver.
func (g *Gateway) attempt(c *call) *Refusal {
	now := time.Since(g.epoch)
	entries := g.View.Current().Entries(c.job.Service)
	if c.moves >= patientAfter || len(entries) == 1 {
		c.waitAnywhere()
	}
	choice, found := g.pick(c, entries, now)
	if found == balance.NoUpstream && c.job.MaxWait > 0 {
		c.waitAnywhere()
		choice, found = g.pick(c, entries, now)
	}
	switch found {
	case balance.NoUpstream:
		return g.exhausted(c)
	case balance.Busy:
		c.waitAnywhere()
	case balance.Overloaded:
		r := refuse(model.Overloaded)
		r.RetryAfter = overloadedRetry/2 + rand.N(overloadedRetry)
		c.moves = maxAsked // no node would take it
		return r
	}
	entry := &entries[choice.Index]
	c.asked = append(c.asked, entry.Node)
	c.avoid = append(c.avoid, entry.Node)
	choice.Stats.Begin(now)
	r := refuse(model.CallerGone) // what a panic leaves
	defer func() { g.learn(c, entry, &choice, now, r) }()
	var res *Response
	if res, r = g.dispatch(c, entry); r == nil {
		r = g.receive(c, res)
	}
	c.last = r
	return r
}

func (g *Gateway) pick(c *call, entries []model.UpstreamNode, now time.Duration) (balance.Choice, balance.Result) {
	return g.Picker.Pick(balance.Request{
		Candidates: entries, From: g.Self.Location, Prefer: c.route.Prefer, Rank: c.job.Rank,
		Service: c.job.Service, Route: c.job.Route, IgnoreBackoff: c.job.MaxWait == 0, Download: c.job.Download,
		Exclude: c.avoid, Now: now, Seed: rand.Uint64(),
	})
}

// waitAnywhere lets every node queue the call, those included that turned it
// away because another upstream might take it sooner.
func (c *call) waitAnywhere() {
	if c.job.MaxWait > 0 {
		c.job.MaxWait = 0
		c.avoid = nil
	}
}

const (
	// overloadedRetry is the mean of Retry-After when this node knows that all
	// upstreams refuse calls of the rank. Refusals are forgotten by half every
	// 250 ms, so a return before that meets the same verdict.
	overloadedRetry = 400 * time.Millisecond
	// maxAsked ends the search for a node.
	maxAsked = 1 << 10
)

// exhausted returns the refusal when no further node can be asked.
func (g *Gateway) exhausted(c *call) *Refusal {
	c.moves = maxAsked
	r := c.last
	if r == nil {
		r = refuse(model.NoUpstream)
	}
	if r.RetryAfter == 0 {
		r.RetryAfter = startRetry
	}
	return r
}

func (g *Gateway) dispatch(c *call, entry *model.UpstreamNode) (*Response, *Refusal) {
	if entry.Node == g.Self.Node {
		attempt, end := g.Remote.begin("")
		defer end()
		c.job.ID = attempt
		return g.Local.Run(c.ctx, c.job)
	}
	return g.Remote.Run(c.ctx, entry.Address, c.job)
}

// learn records what an attempt shows about the node that was asked.
func (g *Gateway) learn(c *call, entry *model.UpstreamNode, choice *balance.Choice, began time.Duration, r *Refusal) {
	now := time.Since(g.epoch)
	outcome := balance.Accepted
	if r != nil {
		switch r.Reason {
		case model.Overloaded, model.DeadlineUnreachable, model.UpstreamShed:
			outcome = balance.Refused
			if excess := r.ExpectedWait - c.job.MaxWait; r.ExpectedWait > 0 && excess > 0 {
				g.Picker.BackOff(choice, c.job.Service, c.job.Route, excess, now, rand.Float64())
			}
		case model.UpstreamUnreachable, model.UpstreamLost:
			outcome = balance.Failed
		default:
			outcome = balance.Neutral
		}
		if r.NodeUnresponsive {
			outcome = balance.Failed
			if g.View.SetUnreachable(entry.Node, time.Now()) {
				g.Log.Warn("node is unreachable", zap.String("other", string(entry.Node)),
					zap.String("request", c.job.RequestID), zap.Error(r.Cause))
			}
		}
		if r.Reason == model.NoUpstream || r.Reason == model.NodeDraining {
			g.View.SetServing(entry.Node, false, time.Now())
		}
	}
	choice.Stats.End(now, c.job.Rank, outcome, now-began)
}
