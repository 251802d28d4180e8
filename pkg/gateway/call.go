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
	"github.com/lentilflow/lentilflow/pkg/rollout"
)

const (
	// defaultTimeout applies to calls that state no deadline, on a route
	// without a timeout.
	defaultTimeout = 30 * time.Second
	// defaultRetryAfter is the Retry-After of refusals for which the node has
	// no estimate: the node still has no configuration after awaitReady, the
	// limit of the route is reached, or no upstream is left to try.
	defaultRetryAfter = 500 * time.Millisecond
	// maxStartupWait is how long after the start of the node its calls may wait
	// for the configuration and the fleet. A node has both after 0.2 s if the
	// store is available.
	maxStartupWait = 500 * time.Millisecond
	// startupWaitShare limits the same wait of one call to a share of the time
	// for which the caller waits. The rest is left for running the call, or for
	// another attempt of the caller if it is refused.
	startupWaitShare = 0.3
	// maxWaitShare is the share of the latency target that the expected wait
	// for a slot may take while another upstream may be free.
	maxWaitShare = 0.25
	// maxMovesWithWaitLimit is the number of attempts that reached no upstream
	// after which Attempt.MaxWait is relaxed, so that the next node queues the
	// call.
	maxMovesWithWaitLimit = 2
)

// Gateway handles the calls of one node. Its exported fields are set before the
// servers that it returns are started. Its methods are safe for concurrent use.
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
	Load    LoadPolicy
	// Rollouts decides which versions of upstreams get a call; nil: all of them.
	// OnRollouts is called with what a remote node has added to it.
	Rollouts   *rollout.Table
	OnRollouts func(fresh []rollout.State, from model.NodeID)
	// Quota limits the calls of teams that have a rate; nil means that nothing is
	// limited. It is asked after the key lookup and before the first attempt.
	Quota QuotaLimiter
	// OnNewerConfig is called when the remote node from has a newer configuration
	// than this node; v is its version. Several calls may run at the same time.
	OnNewerConfig func(v config.Version, from model.NodeID)

	callLog           *callLog
	candidateSets     sync.Map // of *candidateSets by service
	callerTimes       callerTimes
	startTime         time.Time
	refuseEndingAfter atomic.Pointer[time.Time] // nil unless this node is stopping
	// deadlineCap limits the deadlines of calls, and retriesDisabled prevents
	// retries, while this node is stopping.
	deadlineCap     atomic.Pointer[time.Time]
	retriesDisabled atomic.Bool
	// ready is closed once the configuration and the fleet are known.
	ready     chan struct{}
	readyOnce sync.Once
	// callsCtx ends when CancelCalls is called.
	callsCtx       context.Context
	cancelCallsCtx context.CancelFunc
}

// CapDeadlines limits the deadline of every further call to t, so that the
// response of a remote node, which states whether the call has run, arrives
// before this process ends.
func (g *Gateway) CapDeadlines(t time.Time) { g.deadlineCap.Store(&t) }

// RefuseCallsEndingAfter refuses every further call whose deadline is after t.
// It is called after the period in which callers are informed that this node is
// draining. Shorter calls are still accepted, because the upstream on this VM
// makes short calls for the requests that it is still running.
func (g *Gateway) RefuseCallsEndingAfter(t time.Time) { g.refuseEndingAfter.Store(&t) }

// New initializes the unexported fields of g and returns g. g.Log must be set.
func New(g *Gateway) *Gateway {
	g.startTime = time.Now()
	g.callLog = newCallLog(g.Log)
	g.ready = make(chan struct{})
	g.callsCtx, g.cancelCallsCtx = context.WithCancel(context.Background())
	return g
}

// hasConfigAndFleet reports whether this node has a configuration and has
// loaded the fleet.
func (g *Gateway) hasConfigAndFleet() bool { return g.Config.Current() != nil && g.View.Loaded() }

// ReleaseIfReady releases the calls that wait for the first configuration and
// fleet, once both are known.
func (g *Gateway) ReleaseIfReady() {
	if g.hasConfigAndFleet() {
		g.readyOnce.Do(func() { close(g.ready) })
	}
}

// awaitReady delays a call of a node that has just started until the node has
// the configuration and the fleet, within maxStartupWait and startupWaitShare.
// After the loss of all nodes, callers come back at once, and a caller that is
// refused for lack of a configuration may not try a third time.
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

// CallServer returns the server for the calls made on this VM.
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

// concurrent reports whether a pipelined request may run before the responses
// to those in front of it were sent.
func (g *Gateway) concurrent(x *h1.Exchange) bool {
	s := g.Config.Current()
	if s == nil {
		return false
	}
	t, ok := s.Match(x.Request.Method, x.Request.Host, x.Request.URL.Path)
	return ok && t.Idempotent
}

// call is the state of one call.
type call struct {
	x       *h1.Exchange
	ctx     context.Context // ends when the caller disconnects or CancelCalls is called
	attempt *Attempt
	version config.Version
	route   *config.RouteState
	budget  *retry.Budget
	// identity is that of the team, nil if the configuration has no teams.
	identity *identity

	triedNodes        []model.NodeID // in the order of the attempts
	excludedNodes     []model.NodeID
	retries           int             // retries after an attempt that an upstream saw
	unreachedAttempts int             // attempts that no upstream saw
	lostUpstreams     int             // attempts whose upstream was lost
	mayHaveRun        bool            // an earlier attempt may have run
	lastRefusal       *Refusal        // of the previous attempt
	failedResponse    *failedResponse // response with a server error; a retry may replace it
	newVersion        bool            // the attempt goes to the version that is rolled out
	elapsed           time.Duration   // since the caller's first try
	relaxed           bool            // relaxWaitLimit was called
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

// serveWithinRouteLimit serves a call, or refuses it if its route has as many
// calls in progress as it permits.
func (g *Gateway) serveWithinRouteLimit(c *call) *Refusal {
	if !c.route.TryAcquire() {
		r := newRefusal(model.RuleLimit)
		r.RetryAfter = defaultRetryAfter
		return r
	}
	defer c.route.Release()
	if r := g.takeQuota(c); r != nil {
		return r
	}
	return g.serve(c)
}

// prepare matches a call to a route, looks up its team and fills in its attempt. It
// returns a refusal if there is no configuration or no matching route, if the route
// needs a key and the call has none that belongs to a team, or if the call may
// outlast this node.
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
	if r := g.checkKey(c, s); r != nil {
		return r
	}
	h1.RemoveHopByHopFields(req.Header)
	stripInternalFields(req.Header)
	deadline := g.deadline(c)
	if limit := g.refuseEndingAfter.Load(); limit != nil && deadline.After(*limit) {
		c.x.CloseAfter = true
		return newRefusal(model.NodeDraining)
	}
	if latest := g.deadlineCap.Load(); latest != nil && deadline.After(*latest) {
		deadline = *latest
	}
	if req.Header.Get(g.Names.RequestID) == "" {
		req.Header[g.Names.RequestID] = []string{newRequestID()}
	}
	req.Header[g.Names.Caller] = []string{g.Self.Service}
	if c.identity != nil { // after RemoveHopByHopFields, which removes what the caller lists
		g.Names.setTeam(req.Header, c.teamName())
	}
	c.elapsed = g.elapsed(t, req.Header.Get(g.Names.Deadline))
	delete(req.Header, g.Names.Deadline)
	delete(req.Header, g.Names.ExpectedBoot)
	rank, weight := g.urgency(t, c.team().RankOf(t.Route))
	c.attempt = &Attempt{
		RequestID: req.Header.Get(g.Names.RequestID), Method: req.Method, Target: req.RequestURI, Host: req.Host,
		Header: req.Header, Body: c.x.Body, Rest: c.x.Rest, Length: c.x.Length,
		Service: t.ChooseService(), Route: t.Name, Team: c.teamName(), Rank: rank, Idempotent: t.Idempotent, Deadline: deadline,
		MaxWait: maxWait(t), Weight: weight, Inner: t.Inner && g.Load.InnerFirst,
		Download: t.Download, LatencyTarget: t.TargetLatency,
	}
	if t.TargetLatency > 0 {
		c.attempt.Due = c.x.Arrived.Add(t.TargetLatency - c.elapsed)
	}
	c.budget = g.Budgets.Of(c.attempt.Service)
	c.budget.Earn()
	return nil
}

// maxWait returns Attempt.MaxWait for a call of a route, which applies while
// another upstream may be free.
func maxWait(t *config.RouteState) time.Duration {
	share := maxWaitShare
	if t.Download {
		share = downloadMaxWaitShare
	}
	return time.Duration(share * float64(t.TargetLatency))
}

// newRequestID returns an ID for a request whose caller set none.
func newRequestID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// deadline returns when the final response of a call is due: when its caller
// stops waiting or when the timeout of its route expires, whichever is earlier.
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

// serve makes attempts until a call has a response. It returns the refusal if
// there is none.
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
			f.Run = model.RunUnknown // it has run once, and a retry runs it again
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
		if r := g.recheckKey(c); r != nil {
			return g.deliverFailedResponse(c, r)
		}
	}
}

// deliverFailedResponse delivers the server error of an earlier attempt if no
// retry has replaced it. Otherwise it returns r.
func (g *Gateway) deliverFailedResponse(c *call, r *Refusal) *Refusal {
	if c.failedResponse == nil || r.Reason == model.CallerGone {
		return r
	}
	f := c.failedResponse
	_ = g.sendResponse(c, &h1.Reply{Status: f.status, Header: f.header, Body: f.body}) // an error is in the log line of the call
	return nil
}

// pause waits for d, also if the call ends meanwhile, and reports whether the
// call is still active.
func (g *Gateway) pause(c *call, d time.Duration) bool {
	if d > 0 {
		time.Sleep(d)
	}
	return c.ctx.Err() == nil
}

// runAttempt sends a call to one node and delivers the response. It returns the
// refusal if there is no response to deliver.
func (g *Gateway) runAttempt(c *call) *Refusal {
	if g.Local.crashSuspected(c.attempt) {
		return newRefusal(model.CrashSuspected) // the node of the upstream may have restarted and not know it yet
	}
	now := time.Since(g.startTime)
	entries, view := g.candidates(c)
	if c.unreachedAttempts >= maxMovesWithWaitLimit || len(entries) == 1 {
		g.relaxWaitLimit(c)
	}
	choice, found := g.pick(c, entries, now)
	if found != balance.Picked && c.newVersion && view.Phase != rollout.Cutover {
		entries = g.stayWithOld(c, view)
		choice, found = g.pick(c, entries, now)
	}
	if found == balance.NoUpstream && g.relaxWaitLimit(c) {
		choice, found = g.pick(c, entries, now)
	}
	switch found {
	case balance.NoUpstream:
		return g.exhausted(c)
	case balance.Busy:
		g.relaxWaitLimit(c)
	case balance.Overloaded:
		r := newRefusal(model.Overloaded)
		r.RetryAfter = overloadedRetryAfter/2 + rand.N(overloadedRetryAfter)
		c.unreachedAttempts = noFurtherAttempt // every node would refuse it
		return r
	}
	if choice.Further {
		g.Metrics.countLoadDecision(decisionFurther)
	}
	entry := &entries[choice.Index]
	c.triedNodes = append(c.triedNodes, entry.Node)
	c.excludedNodes = append(c.excludedNodes, entry.Node)
	choice.Stats.Begin(now)
	r := newRefusal(model.CallerGone) // recorded if the attempt panics
	defer func() { g.recordOutcome(c, entry, &choice, now, r) }()
	var res *Response
	if res, r = g.dispatch(c, entry); r == nil {
		if res.statement.Leaving {
			g.View.SetServing(entry.Node, false, time.Now())
		}
		r = g.receive(c, res)
	}
	if r != nil && r.Reason == model.VersionNotAllowed {
		g.learnVersions(entry.Node, r.versions)
	}
	c.lastRefusal = r
	return r
}

func (g *Gateway) pick(c *call, entries []model.UpstreamNode, now time.Duration) (balance.Choice, balance.Result) {
	return g.Picker.Pick(balance.Request{
		Candidates: entries, From: g.Self.Location, Prefer: c.route.Prefer, Class: g.class(c),
		Service: c.attempt.Service, Route: c.attempt.Route, IgnoreBackoff: c.attempt.MaxWait == 0 || c.relaxed, Download: c.attempt.Download,
		Choices: g.choices(entries), Exclude: c.excludedNodes, Now: now, Seed: rand.Uint64(),
	})
}

// backOff starts a backoff after a call would have waited too long. An upstream
// with a rate limit makes calls wait while others at the same distance have
// capacity.
func (g *Gateway) backOff(c *call, entry *model.UpstreamNode, choice *balance.Choice, excess, now time.Duration) {
	if s, ok := g.Remote.statements.get(entry.Address); ok && s.Limited {
		choice.Stats.BackOff(c.attempt.Route, excess, now, rand.Float64())
		return
	}
	g.Picker.BackOff(choice, c.attempt.Service, c.attempt.Route, excess, now, rand.Float64())
}

// relaxWaitLimit replaces the limit of the expected wait, which applies while another
// upstream may be free, by the one that applies at all of them. Every node may then
// queue the call, including nodes that refused it because another upstream might run it
// sooner. It reports whether the limit was not relaxed before.
func (g *Gateway) relaxWaitLimit(c *call) bool {
	if c.relaxed || c.attempt.MaxWait == 0 {
		return false
	}
	c.relaxed, c.attempt.MaxWait, c.excludedNodes = true, g.queueLimit(c.route), nil
	return true
}

const (
	// overloadedRetryAfter is the mean of Retry-After when this node expects
	// all upstreams to refuse calls of the rank. The weight of recorded
	// refusals halves every 250 ms, so a caller that tries again sooner is
	// refused again.
	overloadedRetryAfter = 400 * time.Millisecond
	// noFurtherAttempt is a number of unreached attempts that is above every
	// limit, so that no retry follows.
	noFurtherAttempt = 1 << 10
)

// exhausted returns the refusal when no further node can be tried: that of the
// last attempt if there was one.
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

// recordOutcome records the outcome of an attempt in the statistics of the node
// that it was sent to. If the refusal r shows that the node is unreachable or
// does not serve, it updates the view of the fleet as well.
func (g *Gateway) recordOutcome(c *call, entry *model.UpstreamNode, choice *balance.Choice, began time.Duration, r *Refusal) {
	now := time.Since(g.startTime)
	outcome := balance.Accepted
	if r != nil {
		switch r.Reason {
		case model.Overloaded, model.DeadlineUnreachable, model.UpstreamShed:
			outcome = balance.Refused
			if excess := r.ExpectedWait - c.attempt.MaxWait; r.ExpectedWait > 0 && excess > 0 {
				g.backOff(c, entry, choice, excess, now)
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
	choice.Stats.End(now, g.class(c), outcome, now-began)
}
