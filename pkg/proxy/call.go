package proxy

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/routing"
	"github.com/lentilflow/lentilflow/pkg/rules"
)

// staleConfig is the age from which answers name the age of the configuration.
const staleConfig = 15 * time.Second

// call is one call of a caller, from its arrival to the end of its answer.
type call struct {
	p        *Proxy
	w        http.ResponseWriter
	r        *http.Request
	start    time.Time
	snap     *routing.Snapshot
	route    *routing.Route
	rank     model.Rank
	depth    int
	deadline time.Time
	body     *body
	trace    string

	avoid    []model.NodeID
	attempts int
	upstream model.NodeID
	ran      bool          // some attempt may have run
	busy     time.Duration // spent outside of nodes in the last attempt
	waited   time.Duration // delays before retries
	reason   model.Reason
	run      model.RunState
	outcome  string
	status   int
}

// serveCall takes one call from a caller.
func (p *Proxy) serveCall(w http.ResponseWriter, r *http.Request) {
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	c := &call{p: p, w: w, r: r, start: time.Now(), outcome: outcomeRefused, run: model.NotRun}
	c.snap = p.snapshot()
	c.trace = traceID(r.Header)
	defer c.finish()
	c.body = newBody(r, p.cfg.Limits.Body, c.clearReadDeadline)
	if ref := c.accept(); ref != nil {
		c.refuse(ref)
		return
	}
	if limit := c.route.Rule.MaxInFlight; limit > 0 {
		n := p.ruleInFlight(c.route.Rule.Name)
		defer n.Add(-1)
		if n.Add(1) > int64(limit) {
			c.refuse(refuse(model.RuleLimit, model.NotRun, ""))
			return
		}
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	p.budget.Earn()
	if c.route.Rule.Idempotent {
		c.runIdempotent(ctx)
	} else {
		c.runClaimed(ctx)
	}
}

// accept checks the request, finds its rule and sets rank, depth and deadline.
func (c *call) accept() *refusal {
	if ref := c.check(); ref != nil {
		return ref
	}
	token := c.r.Header.Get(HeaderCall)
	stripHop(c.r.Header)
	forged := stripOwn(c.r.Header)
	if token != "" {
		forged--
	}
	if forged > 0 {
		c.p.metrics.events[eventForgedHeader].Add(float64(forged))
	}
	switch {
	case c.p.refusing.Load() && c.p.cfg.StopCallers == nil:
		return refuse(model.NodeDraining, model.NotRun, "")
	case c.p.inFlight.Load() > int64(c.p.cfg.Limits.InFlight):
		return refuse(model.Overloaded, model.NotRun, "the node has too many calls in flight")
	case c.snap == nil:
		return refuse(model.NoConfiguration, model.NotRun, "")
	}
	route, ok := c.snap.Match(c.r.Method, c.r.Host, c.r.URL.Path)
	if !ok {
		return refuse(model.NoRule, model.NotRun, "")
	}
	c.route, c.rank = route, route.Rule.Rank
	c.deadline = c.start.Add(route.Rule.Deadline)
	return c.join(token)
}

// join takes rank, deadline and depth from the chain of a known token.
func (c *call) join(token string) *refusal {
	if token == "" {
		return nil
	}
	l, ok := c.p.chains.find(token)
	if !ok {
		c.p.metrics.events[eventUnknownToken].Inc()
		return nil
	}
	c.rank, c.depth = l.rank, l.depth+1
	if l.deadline.Before(c.deadline) {
		c.deadline = l.deadline
	}
	switch {
	case c.depth > model.MaxDepth:
		return refuse(model.TooDeep, model.NotRun, "")
	case !c.start.Before(c.deadline):
		return refuse(model.DeadlineExceeded, model.NotRun, "")
	}
	return nil
}

// check refuses requests that exceed the limits or could mean something else
// to the upstream.
func (c *call) check() *refusal {
	l, r := &c.p.cfg.Limits, c.r
	if r.ContentLength != 0 {
		// A slow body holds up neither the node nor an answer for long.
		_ = http.NewResponseController(c.w).SetReadDeadline(c.start.Add(l.BodyTime))
	}
	size, fields := headerSize(r.Header)
	switch {
	case size+len(r.RequestURI) > l.HeaderBytes || fields > l.HeaderFields:
		return refuse(model.HeadersTooLarge, model.NotRun, "")
	case r.Method == http.MethodConnect:
		return refuse(model.BadRequest, model.NotRun, "CONNECT is not supported")
	case !rules.ValidPath(r.URL.Path):
		return refuse(model.BadRequest, model.NotRun, "the path is not absolute, is reserved, or has empty or dot segments")
	case r.ContentLength > l.Body:
		return refuse(model.BodyTooLarge, model.NotRun, "")
	case len(r.Header["Host"]) > 0 || len(r.TransferEncoding) > 1:
		return refuse(model.BadRequest, model.NotRun, "the framing of the request is ambiguous")
	}
	return nil
}

func (c *call) clearReadDeadline() {
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Time{})
}

// prepare holds a short body, so that a retry can send it again.
func (c *call) prepare(limit int64) *refusal {
	n, chunked := c.body.length()
	if chunked && limit <= holdLimit || n > limit {
		_ = http.NewResponseController(c.w).EnableFullDuplex()
		_ = http.NewResponseController(c.w).SetReadDeadline(c.deadline)
		return nil
	}
	if err := c.body.hold(limit); err != nil && !c.body.held {
		ref := bodyFailure(c.body, model.NotRun)
		if errors.Is(err, errBodySlow) && !time.Now().Before(c.deadline) {
			ref = refuse(model.DeadlineExceeded, model.NotRun, "the request body did not arrive in time")
		}
		return ref
	}
	return nil
}

func (c *call) runIdempotent(ctx context.Context) {
	if ref := c.prepare(holdLimit); ref != nil {
		c.refuse(ref)
		return
	}
	a, ref := c.dispatch(ctx)
	if ref != nil {
		c.refuse(ref)
		return
	}
	c.answer(a, nil)
}

// answer streams the answer of an upstream to the caller. It does not return
// when the answer was cut off.
func (c *call) answer(a *answer, keep *capture) {
	complete := false
	defer func() { a.end(complete) }()
	c.run, c.status, c.busy = model.Ran, a.resp.StatusCode, a.busy
	observe(c.p.metrics.added[c.rank], time.Since(c.start)-c.busy-c.waited)
	stripHop(a.resp.Header)
	stripOwn(a.resp.Header)
	c.decorate(c.w.Header())
	if err := stream(c.w, a.resp, c.deadline, keep); err != nil {
		c.outcome = outcomeBroken
		if errors.Is(err, errCallerBroke) || c.r.Context().Err() != nil {
			c.reason = model.CallerGone
			c.p.metrics.refusals[model.CallerGone].Inc()
		} else {
			c.reason = model.UpstreamLost
		}
		panic(http.ErrAbortHandler)
	}
	complete = true
	c.outcome = outcomeAnswered
}

// decorate sets the headers by which a caller can trace a decision.
func (c *call) decorate(h http.Header) {
	if c.p.leaving.Load() && c.r.ProtoMajor == 1 {
		h["Connection"] = []string{"close"}
	}
	s := newSetter(h, 7)
	s.set(HeaderVersion, formatVersion(c.snap))
	if c.route != nil {
		s.set(HeaderRule, c.route.Rule.Name)
		s.set(HeaderAskedBy, c.route.Rule.AskedBy)
		s.set(HeaderRank, strconv.Itoa(int(c.rank)))
		if c.upstream != "" {
			s.set(HeaderUpstream, string(c.upstream))
		}
		s.set(HeaderAttempts, strconv.Itoa(c.attempts))
	}
	if c.p.cfg.ConfigAge != nil {
		if age := c.p.cfg.ConfigAge(); age > staleConfig {
			s.set(HeaderConfigAge, strconv.Itoa(int(age.Seconds())))
		}
	}
}

// refuse answers a call that no upstream has answered. A caller that has left
// gets nothing.
func (c *call) refuse(ref *refusal) {
	if c.ran && ref.run == model.NotRun {
		ref.run = model.Unknown // an earlier attempt may have run
	}
	c.reason, c.run, c.status = ref.reason, ref.run, ref.reason.Status()
	c.p.metrics.refusals[ref.reason].Inc()
	if ref.reason == model.CallerGone {
		panic(http.ErrAbortHandler)
	}
	c.decorate(c.w.Header())
	answerEarly(c.w, c.r, c.body)
	rule := ""
	if c.route != nil {
		rule = c.route.Rule.Name
	}
	_ = ref.details(versionOf(c.snap), rule).Write(c.w)
}

// traceID returns the trace id of a W3C traceparent header, or "".
func traceID(h http.Header) string {
	const version, id = 3, 32
	if v := h.Get("Traceparent"); len(v) > version+id && strings.IndexByte(v[version:version+id], '-') < 0 {
		return v[version : version+id]
	}
	return ""
}
