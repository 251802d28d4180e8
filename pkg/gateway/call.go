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
	defaultTimeout = 30 * time.Second
	// startRetry is the Retry-After of a node that does not know the
	// configuration although startWait has passed.
	defaultRetryAfter = 500 * time.Millisecond
	// startWait is how long after its start a node lets calls wait for the
	// configuration and the fleet. It has both after 0.2 s if the store answers.
	maxStartupWait = 500 * time.Millisecond
	// startWaitShare bounds that wait by the time that a call has.
	startupWaitShare = 0.3
	// patienceShare is the part of the latency target that a call may be
	// expected to wait for a slot while another upstream may be free.
	maxWaitShare = 0.25
	// patientAfter is how many nodes may turn a call away before it queues
	// wherever it is taken.
	maxMovesWithWaitLimit = 2
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

	callLog           *callLog
	startTime         time.Time
	refuseEndingAfter atomic.Pointer[time.Time] // nil while this node stays
	// clip bounds the deadlines of calls, and ending says that none is tried
	// again, while this node stops.
	deadlineCap     atomic.Pointer[time.Time]
	retriesDisabled atomic.Bool
	// open is closed when configuration and fleet are known.
	ready     chan struct{}
	readyOnce sync.Once
	// life ends when the calls that still wait are given up.
	callsCtx       context.Context
	cancelCallsCtx context.CancelFunc
}

// Clip bounds the deadline of every further call, so that other nodes say
// whether it has run before this process ends.
func (g *Gateway) CapDeadlines(t time.Time) { g.deadlineCap.Store(&t) }

// EndBy turns away every further call that may last beyond a time. It follows
// the time in which callers are told that this node goes. Calls that the
// upstream of this VM makes for the requests that it still runs are short.
func (g *Gateway) RefuseCallsEndingAfter(t time.Time) { g.refuseEndingAfter.Store(&t) }

// New completes g.
func New(g *Gateway) *Gateway {
	g.startTime = time.Now()
	g.callLog = newCallLog(g.Log)
	g.ready = make(chan struct{})
	g.callsCtx, g.cancelCallsCtx = context.WithCancel(context.Background())
	return g
}

// informed reports whether this node knows where calls may go.
func (g *Gateway) hasConfigAndFleet() bool { return g.Config.Current() != nil && g.View.Loaded() }

// Open lets the calls pass that wait for the first configuration and fleet, once
// both are known.
func (g *Gateway) ReleaseIfReady() {
	if g.hasConfigAndFleet() {
		g.readyOnce.Do(func() { close(g.ready) })
	}
}

// awaitOpen lets a call wait while this node has just started: its callers come
// back at once after a loss of all nodes, and one that is refused for the lack
// of a configuration may not come a third time.
func (g *Gateway) awaitReady(c *call) {
	if g.hasConfigAndFleet() {
		return
	}
	wait := maxStartupWait - time.Since(g.startTime)
	if d, ok := parseMillis(c.x.Request.Header.Get(g.Names.Deadline)); ok {
		wait = min(wait, time.Duration(startupWaitShare*float64(d)))
	}
	if wait <= 0 {
		return
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-g.ready:
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
	attempt *Attempt
	version config.Version
	route   *config.RouteState
	budget  *retry.Budget

	triedNodes        []model.NodeID // in this order
	excludedNodes     []model.NodeID
	retries           int             // attempts that reached an upstream, without the first
	unreachedAttempts int             // attempts that reached none
	lostUpstreams     int             // attempts that lost their upstream
	mayHaveRun        bool            // an earlier attempt may have run
	lastRefusal       *Refusal        // of the attempt before
	failedResponse    *failedResponse // answer of an upstream that a retry may better
	queueTime         time.Duration
	serviceTime       time.Duration
	verdict           retry.Verdict
}

func (g *Gateway) handleCall(x *h1.Exchange) {
	ctx, end := g.callContext(x.Context())
	defer end()
	c := &call{x: x, ctx: ctx}
	g.awaitReady(c)
	r := g.prepare(c)
	if r == nil {
		r = g.serveWithinRouteLimit(c)
	}
	if r != nil {
		g.sendFinalRefusal(c, r)
	}
}

// enter serves a call if its route allows one more.
func (g *Gateway) serveWithinRouteLimit(c *call) *Refusal {
	if !c.route.TryAcquire() {
		r := newRefusal(model.RuleLimit)
		r.RetryAfter = defaultRetryAfter
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
		r := newRefusal(model.NoConfiguration)
		r.RetryAfter = defaultRetryAfter
		return r
	}
	c.version = s.Version
	t, ok := s.Match(req.Method, req.Host, req.URL.Path)
	if !ok {
		return newRefusal(model.NoRule)
	}
	c.route = t
	h1.RemoveHopByHopFields(req.Header)
	stripInternalFields(req.Header)
	deadline := g.deadline(c)
	if limit := g.refuseEndingAfter.Load(); limit != nil && deadline.After(*limit) {
		c.x.CloseAfter = true
		return newRefusal(model.NodeDraining)
	}
	if clip := g.deadlineCap.Load(); clip != nil && deadline.After(*clip) {
		deadline = *clip
	}
	if req.Header.Get(g.Names.RequestID) == "" {
		req.Header[g.Names.RequestID] = []string{newRequestID()}
	}
	req.Header[g.Names.Caller] = []string{g.Self.Service}
	delete(req.Header, g.Names.Deadline)
	delete(req.Header, g.Names.ExpectedBoot)
	c.attempt = &Attempt{
		RequestID: req.Header.Get(g.Names.RequestID), Method: req.Method, Target: req.RequestURI, Host: req.Host,
		Header: req.Header, Body: c.x.Body, Rest: c.x.Rest, Length: c.x.Length,
		Service: t.ChooseService(), Route: t.Name, Rank: min(t.Rank, model.MaxRank), Idempotent: t.Idempotent, Deadline: deadline,
		MaxWait: maxWait(t), Weight: max(t.Weight, 1),
		Download: t.Download, LatencyTarget: t.TargetLatency,
	}
	if t.TargetLatency > 0 {
		c.attempt.Due = c.x.Arrived.Add(t.TargetLatency)
	}
	c.budget = g.Budgets.Of(c.attempt.Service)
	c.budget.Earn()
	return nil
}

// patience returns how long a call may be expected to wait while another
// upstream may be free.
func maxWait(t *config.RouteState) time.Duration {
	share := maxWaitShare
	if t.Download {
		share = downloadMaxWaitShare
	}
	return time.Duration(share * float64(t.TargetLatency))
}

// newRequestID names a request whose caller did not.
func newRequestID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// deadline returns when the final answer of a call is due: when its caller
// leaves, or at the timeout of its route.
func (g *Gateway) deadline(c *call) time.Time {
	wait := defaultTimeout
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
		r := g.runAttempt(c)
		if r == nil {
			return nil
		}
		if r.RunState != model.NotRun {
			c.mayHaveRun = true
			if r.Reason == model.UpstreamLost && !errors.Is(r.Cause, errFailedResponse) {
				c.lostUpstreams++
			}
		}
		f := retry.Failure{Reason: r.Reason, Run: r.RunState, Unreached: r.Unreached}
		if c.failedResponse != nil {
			f.Run = model.RunUnknown // it ran and may run again
		}
		verdict, delay := retry.Decide(f, retry.Call{
			Idempotent: c.attempt.Idempotent, MaxRetries: c.route.MaxAttempts - 1, RetriesMade: c.retries, UnreachedAttempts: c.unreachedAttempts, LostUpstreams: c.lostUpstreams,
			Remaining: time.Until(c.attempt.Deadline), Replayable: c.attempt.Rest == nil,
		}, c.budget, rand.Float64())
		c.verdict = verdict
		g.Metrics.countVerdict(verdict)
		if verdict != retry.Retry || g.retriesDisabled.Load() {
			return g.deliverFailedResponse(c, r)
		}
		g.logRetry(c, r)
		if r.Unreached {
			c.unreachedAttempts++
		} else {
			c.retries++
		}
		if !g.pause(c, delay) {
			return g.deliverFailedResponse(c, newRefusal(endedReason(c.ctx)))
		}
	}
}

// settle delivers a failed answer that no retry has bettered.
func (g *Gateway) deliverFailedResponse(c *call, r *Refusal) *Refusal {
	if c.failedResponse == nil || r.Reason == model.CallerGone {
		return r
	}
	f := c.failedResponse
	_ = g.sendResponse(c, &h1.Reply{Status: f.status, Header: f.header, Body: f.body}) // its log line tells an error
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
func (g *Gateway) runAttempt(c *call) *Refusal {
	now := time.Since(g.startTime)
	entries := g.View.Current().Entries(c.attempt.Service)
	if c.unreachedAttempts >= maxMovesWithWaitLimit || len(entries) == 1 {
		c.removeWaitLimit()
	}
	choice, found := g.pick(c, entries, now)
	if found == balance.NoUpstream && c.attempt.MaxWait > 0 {
		c.removeWaitLimit()
		choice, found = g.pick(c, entries, now)
	}
	switch found {
	case balance.NoUpstream:
		return g.exhausted(c)
	case balance.Busy:
		c.removeWaitLimit()
	case balance.Overloaded:
		r := newRefusal(model.Overloaded)
		r.RetryAfter = overloadedRetryAfter/2 + rand.N(overloadedRetryAfter)
		c.unreachedAttempts = noFurtherAttempt // no node would take it
		return r
	}
	entry := &entries[choice.Index]
	c.triedNodes = append(c.triedNodes, entry.Node)
	c.excludedNodes = append(c.excludedNodes, entry.Node)
	choice.Stats.Begin(now)
	r := newRefusal(model.CallerGone) // what a panic leaves
	defer func() { g.recordOutcome(c, entry, &choice, now, r) }()
	var res *Response
	if res, r = g.dispatch(c, entry); r == nil {
		r = g.receive(c, res)
	}
	c.lastRefusal = r
	return r
}

func (g *Gateway) pick(c *call, entries []model.UpstreamNode, now time.Duration) (balance.Choice, balance.Result) {
	return g.Picker.Pick(balance.Request{
		Candidates: entries, From: g.Self.Location, Prefer: c.route.Prefer, Rank: c.attempt.Rank,
		Service: c.attempt.Service, Route: c.attempt.Route, IgnoreBackoff: c.attempt.MaxWait == 0, Download: c.attempt.Download,
		Exclude: c.excludedNodes, Now: now, Seed: rand.Uint64(),
	})
}

// waitAnywhere lets every node queue the call, those included that turned it
// away because another upstream might take it sooner.
func (c *call) removeWaitLimit() {
	if c.attempt.MaxWait > 0 {
		c.attempt.MaxWait = 0
		c.excludedNodes = nil
	}
}

const (
	// overloadedRetry is the mean of Retry-After when this node knows that all
	// upstreams refuse calls of the rank. Refusals are forgotten by half every
	// 250 ms, so a return before that meets the same verdict.
	overloadedRetryAfter = 400 * time.Millisecond
	// maxAsked ends the search for a node.
	noFurtherAttempt = 1 << 10
)

// exhausted returns the refusal when no further node can be asked.
func (g *Gateway) exhausted(c *call) *Refusal {
	c.unreachedAttempts = noFurtherAttempt
	r := c.lastRefusal
	if r == nil {
		r = newRefusal(model.NoUpstream)
	}
	if r.RetryAfter == 0 {
		r.RetryAfter = defaultRetryAfter
	}
	return r
}

func (g *Gateway) dispatch(c *call, entry *model.UpstreamNode) (*Response, *Refusal) {
	if entry.Node == g.Self.Node {
		attemptID, end := g.Remote.beginAttempt("")
		defer end()
		c.attempt.ID = attemptID
		return g.Local.Run(c.ctx, c.attempt)
	}
	return g.Remote.Run(c.ctx, entry.Address, c.attempt)
}

// learn records what an attempt shows about the node that was asked.
func (g *Gateway) recordOutcome(c *call, entry *model.UpstreamNode, choice *balance.Choice, began time.Duration, r *Refusal) {
	now := time.Since(g.startTime)
	outcome := balance.Accepted
	if r != nil {
		switch r.Reason {
		case model.Overloaded, model.DeadlineUnreachable, model.UpstreamShed:
			outcome = balance.Refused
			if excess := r.ExpectedWait - c.attempt.MaxWait; r.ExpectedWait > 0 && excess > 0 {
				g.Picker.BackOff(choice, c.attempt.Service, c.attempt.Route, excess, now, rand.Float64())
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
					zap.String("request", c.attempt.RequestID), zap.Error(r.Cause))
			}
		}
		if r.Reason == model.NoUpstream || r.Reason == model.NodeDraining {
			g.View.SetServing(entry.Node, false, time.Now())
		}
	}
	choice.Stats.End(now, c.attempt.Rank, outcome, now-began)
}
