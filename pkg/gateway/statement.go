package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/upstream"
)

// statement returns what a response says about the upstream that sent it. ok is
// false if the rate limit is not a valid number.
func (n *HeaderNames) statement(h http.Header) (s upstream.Statement, ok bool) {
	if leaving := strings.TrimSpace(h.Get(n.Leaving)); leaving != "" && leaving != "0" {
		s.Leaving = true
	}
	text := strings.TrimSpace(h.Get(n.RateLimit))
	if text == "" {
		return s, true
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || !upstream.ValidRateLimit(rate) || strings.Trim(text, "0123456789.") != "" {
		return s, false // also for the notations that only Go has, such as 1_0
	}
	s.Limited, s.RateLimit = true, rate
	return s, true
}

// statedLimit is the rate limit that a boot states in its responses. It is safe
// for concurrent use.
type statedLimit struct {
	// limited and seen are copies of the state for the path of a call. seen is
	// the boot of the last response.
	limited atomic.Bool
	seen    atomic.Pointer[upstream.Boot]
	probed  atomic.Bool // scheduleLimitProbe is active

	mu    sync.Mutex
	boot  upstream.Boot // the boot that limit belongs to
	limit upstream.RateLimit
	// sent and since are the number of requests that were sent to the upstream
	// when the limit last changed, and the time of that change.
	sent  int64
	since time.Time
}

// observeResponse applies what a response says about the upstream, and returns it.
// sentAt is when its request was sent to boot.
func (l *Local) observeResponse(requestID string, boot *upstream.Boot, h http.Header, sentAt time.Time) bootStatement {
	s, ok := l.Names.statement(h)
	if !ok {
		l.Metrics.countStatement(statementInvalid)
		if _, ok := l.statementLog.allow(); ok {
			l.Log.Warn("rate limit that the upstream states is not a number and is ignored",
				zap.String("request", requestID), zap.String("boot", boot.ID), zap.String("limit", h.Get(l.Names.RateLimit)))
		}
	}
	if s.Leaving {
		l.Metrics.countStatement(statementLeaving)
		l.markLeaving(requestID, boot, responseSource)
	}
	if l.stated.seen.Load() != boot {
		l.stated.seen.Store(boot)
	}
	if s.Limited {
		l.Metrics.countStatement(statementLimit)
	}
	if ok && (s.Limited || l.stated.limited.Load()) {
		l.applyRateLimit(requestID, boot, s, sentAt)
	}
	return bootStatement{boot: upstream.Boot{ID: boot.ID, Start: boot.Start}, Statement: s}
}

// observeMalformed counts and logs a malformed response of the upstream. The line about the
// call names the request.
func (l *Local) observeMalformed(err error) {
	l.Metrics.countMalformed()
	dropped, ok := l.statementLog.allow()
	if !ok {
		return
	}
	boot := ""
	if b := l.boot.Load(); b != nil {
		boot = b.ID
	}
	l.Log.Warn("response of the upstream is malformed", zap.String("upstream", l.pool.Address), zap.String("boot", boot),
		zap.Int64("lines_left_out", dropped), zap.Error(err))
}

// observeHealthCheck applies what the response to a health check says about the
// upstream, and returns it. id names the boot that responded. Before a boot is
// serving, its rate limit is only stored, so that it applies from the first call.
func (l *Local) observeHealthCheck(id string, h http.Header, sentAt time.Time) bootStatement {
	boot := &upstream.Boot{ID: id}
	serving := l.boot.Load()
	if serving != nil && serving.Same(boot) {
		return l.observeResponse("", serving, h, sentAt)
	}
	s, ok := l.Names.statement(h)
	if !ok || serving != nil {
		return bootStatement{boot: *boot, Statement: s}
	}
	l.stated.seen.Store(boot)
	if l.stated.observe(boot, s, sentAt.Sub(l.startTime), time.Since(l.startTime)) {
		l.logRateLimit("", boot)
	}
	return bootStatement{boot: *boot, Statement: s}
}

// adoptStatement applies what a remote node knows of the upstream here from an
// earlier response, in the form of Lentilflow-Upstream. A rate limit applies only
// until this process has seen a response of the boot itself.
func (l *Local) adoptStatement(requestID, text string) {
	s, ok := parseBootStatement(text)
	if !ok {
		if _, ok := l.statementLog.allow(); ok {
			l.Log.Warn("what a remote node says of the upstream is invalid", zap.String("request", requestID), zap.String("text", text))
		}
		return
	}
	if s.Leaving {
		l.markLeaving(requestID, &s.boot, remoteStatementSource)
		return
	}
	b := l.boot.Load()
	if !s.Limited || b == nil || !b.Same(&s.boot) {
		return
	}
	if seen := l.stated.seen.Load(); seen != nil && seen.Same(b) {
		return
	}
	l.applyRateLimit(requestID, b, s.Statement, time.Now())
}

// Sources of a statement that a boot leaves.
const (
	responseSource        = "response"
	remoteStatementSource = "remote node"
)

// markLeaving ends the use of a boot that has stated that it leaves.
func (l *Local) markLeaving(requestID string, boot *upstream.Boot, source string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.tracker.Departure(boot.ID, boot.Start)
	v := upstream.Stale
	if source == remoteStatementSource && !boot.Start.Known() {
		// The remote node repeats it until it gets another response, and the boot may have
		// been replaced by one with the same id.
		d = upstream.Departure{ID: boot.ID}
		v = l.tracker.Recover([]upstream.Departure{d})
	} else {
		v = l.tracker.MarkLeaving(boot.ID, boot.Start)
	}
	if v != upstream.Changed {
		return
	}
	l.OnDeparture(d)
	l.Log.Info("upstream states that it leaves; it gets no further requests", zap.String("request", requestID),
		zap.String("source", source), zap.String("boot", boot.ID), zap.Int64("born_ms", boot.Start.UnixMilli()))
	l.updateBoot("states that it leaves")
}

// applyRateLimit applies what a response to a request that was sent at sentAt
// states about the rate limit of a boot. Other boots than the serving one have no
// effect: a response of an earlier boot may arrive late.
func (l *Local) applyRateLimit(requestID string, boot *upstream.Boot, s upstream.Statement, sentAt time.Time) {
	if b := l.boot.Load(); b == nil || !b.Same(boot) {
		return
	}
	if !l.stated.observe(boot, s, sentAt.Sub(l.startTime), time.Since(l.startTime)) {
		return
	}
	l.logRateLimit(requestID, boot)
	l.updateLimits()
}

// limitProbeInterval is the longest time without a response from an upstream with
// a rate limit. After it a health check shows whether the limit still applies:
// under a very low limit no call may come for a long time.
const limitProbeInterval = 2 * time.Second

// scheduleLimitProbe probes the upstream every limitProbeInterval while it states
// a rate limit and does not respond to calls.
func (l *Local) scheduleLimitProbe() {
	time.AfterFunc(limitProbeInterval, func() { l.Guard.Do("probe rate limit", l.probeLimit) })
}

func (l *Local) probeLimit() {
	if !l.stated.limited.Load() || l.stopping.Load() {
		l.stated.probed.Store(false)
		return
	}
	defer l.scheduleLimitProbe()
	if l.Serving() && time.Since(l.startTime)-l.stated.statedAt() >= limitProbeInterval {
		_, _ = l.queryBoot() // the response is observed
	}
}

func (c *statedLimit) statedAt() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limit.StatedAt()
}

// observe applies a statement and reports whether the rate limit of the boot has
// changed.
func (c *statedLimit) observe(boot *upstream.Boot, s upstream.Statement, sentAt, now time.Duration) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.boot.Same(boot) {
		c.limit = upstream.RateLimit{}
	}
	if !c.boot.Same(boot) || !c.boot.Start.Known() {
		c.boot = *boot
	}
	changed = c.limit.Observe(s, sentAt, now)
	_, limited := c.limit.Current()
	c.limited.Store(limited)
	return changed
}

// of returns the requests per second that a boot takes. limited is false if it
// takes any number.
func (c *statedLimit) of(boot *upstream.Boot) (rate float64, limited bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.boot.Same(boot) {
		return 0, false
	}
	return c.limit.Current()
}

func (l *Local) logRateLimit(requestID string, boot *upstream.Boot) {
	rate, limited := l.stated.of(boot)
	c := &l.stated
	c.mu.Lock()
	sent, now := l.requestsSent.Load(), time.Now()
	sentSince, after := sent-c.sent, now.Sub(c.since)
	first := c.since.IsZero()
	c.sent, c.since = sent, now
	c.mu.Unlock()
	dropped, ok := l.statementLog.allow()
	if !ok {
		return
	}
	f := []zap.Field{
		zap.String("request", requestID), zap.String("boot", boot.ID), zap.Int64("born_ms", boot.Start.UnixMilli()),
		zap.Bool("limited", limited), zap.Float64("requests_per_second", rate), zap.Int64("lines_left_out", dropped),
	}
	if !first {
		f = append(f, zap.Int64("sent_since_last_change", sentSince), zap.Duration("after", after))
	}
	l.Log.Info("rate limit of the upstream has changed", f...)
}

// updateLimits applies the current limits of the serving boot.
func (l *Local) updateLimits() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.boot.Load(); b != nil {
		l.applyLimits(b)
	}
}

// applyLimits applies the limits of the serving boot. The caller must hold l.mu.
func (l *Local) applyLimits(b *upstream.Boot) {
	limits := l.limits(b)
	l.gate.SetLimits(limits)
	if limits.RateLimited && !l.stated.probed.Swap(true) {
		l.scheduleLimitProbe()
	}
}

// RateLimit returns the requests per second that the upstream states as its
// limit, -1 if it states none.
func (l *Local) RateLimit() float64 { return l.gate.State().RateLimit }
