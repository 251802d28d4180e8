package gateway

import (
	"net"
	"regexp"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/lentilflow/lentilflow/pkg/h1"
	"github.com/lentilflow/lentilflow/pkg/model"
)

const (
	// answeredLinesPerSecond limits the log lines about answered calls,
	// decisionLinesPerSecond those about refusals, retries and failed attempts,
	// and about answered calls that failed or were retried. A line costs about
	// as much processor time as a tenth of a call.
	answeredLinesPerSecond = 5
	decisionLinesPerSecond = 100
	// statementLinesPerSecond limits the log lines about what the upstream states
	// in its responses, and about malformed responses.
	statementLinesPerSecond = 5
)

// callLog writes the log lines about calls. Lines above the limits are counted,
// and their number is part of the next line.
type callLog struct {
	*zap.Logger
	answered, decisions lineLimiter
}

type lineLimiter struct {
	limiter *rate.Limiter
	dropped atomic.Int64
}

func newCallLog(l *zap.Logger) *callLog {
	c := &callLog{Logger: l}
	c.answered.limiter = rate.NewLimiter(answeredLinesPerSecond, answeredLinesPerSecond)
	c.decisions.limiter = rate.NewLimiter(decisionLinesPerSecond, decisionLinesPerSecond)
	return c
}

// allow reports whether a line may be written, and how many lines were dropped
// since the last one.
func (l *lineLimiter) allow() (dropped int64, ok bool) {
	if !l.limiter.Allow() {
		l.dropped.Add(1)
		return 0, false
	}
	return l.dropped.Swap(0), true
}

func zapError(err error) zap.Field { return zap.Error(err) }

// logFields returns what identifies a call and what decided it.
func (g *Gateway) logFields(c *call, dropped int64) []zap.Field {
	f := make([]zap.Field, 0, 22)
	f = append(f,
		zap.String("request", c.x.Request.Header.Get(g.Names.RequestID)),
		zap.Uint64("version", uint64(c.version)),
		zap.Duration("took", time.Since(c.x.Arrived)),
	)
	if c.attempt != nil {
		f = append(f, zap.String("route", c.route.Name), zap.String("service", c.attempt.Service),
			zap.Uint8("rank", uint8(c.attempt.Rank)), zap.Bool("idempotent", c.attempt.Idempotent),
			zap.Duration("remaining", time.Until(c.attempt.Deadline)))
	}
	if team := c.teamName(); team != "" {
		f = append(f, zap.String("team", team))
	}
	if c.elapsed > 0 {
		f = append(f, zap.Duration("since_first_try", c.elapsed))
	}
	if len(c.triedNodes) > 0 {
		at := g.View.Current().Position
		f = append(f, zap.Any("asked", c.triedNodes), zap.Uint64("fleet_revision", uint64(at.Revision)), zap.Uint64("fleet_era", uint64(at.Era)),
			zap.Int("retries", c.retries), zap.Int("moves", c.unreachedAttempts))
	}
	if dropped > 0 {
		f = append(f, zap.Int64("lines_left_out", dropped))
	}
	return f
}

func (g *Gateway) logAnswered(c *call, status int, err error) {
	g.Metrics.observeCall(c.attempt.Rank, status, time.Since(c.x.Arrived))
	limiter := &g.callLog.answered
	if err != nil || status >= 500 || c.retries > 0 {
		limiter = &g.callLog.decisions
	}
	dropped, ok := limiter.allow()
	if !ok {
		return
	}
	f := append(g.logFields(c, dropped), zap.Int("status", status), zap.Duration("waited", c.queueTime), zap.Duration("ran", c.serviceTime))
	if err != nil {
		g.callLog.Warn("response could not be sent to the caller", append(f, zap.Error(err))...)
		return
	}
	g.callLog.Info("call answered", f...)
}

func (g *Gateway) logRefusal(c *call, r *Refusal, status int) {
	dropped, ok := g.callLog.decisions.allow()
	if !ok {
		return
	}
	f := append(g.logFields(c, dropped), zap.Int("status", status), zap.String("reason", string(r.Reason)),
		zap.String("run", string(r.RunState)), zap.Duration("retry_after", r.RetryAfter))
	if c.verdict != "" {
		f = append(f, zap.String("verdict", string(c.verdict)))
	}
	if r.Decision != "" {
		f = append(f, zap.String("decision", string(r.Decision)))
	}
	if c.relaxed && c.attempt.MaxWait > 0 {
		f = append(f, zap.Duration("queue_limit", c.attempt.MaxWait), zap.Duration("expected_wait", r.ExpectedWait))
	}
	if r.Cause != nil {
		f = append(f, zap.Error(r.Cause))
	}
	if id := c.identity; id != nil && r.Reason == model.UnknownKey {
		f = append(f, zap.String("route", c.route.Name), zap.String("why", string(id.fault)))
		if id.hasDigest {
			f = append(f, zap.Stringer("key_digest", id.digest))
		}
	}
	if c.route == nil {
		f = append(f, zap.String("host", loggedHost(c.x.Request.Host)), zap.String("path", c.x.Request.URL.Path))
	}
	g.callLog.Info("call refused", f...)
}

// loggedHost returns the host of a request for the log. A Host field that is no host
// name or address may contain another line of the request, and so a key.
func loggedHost(host string) string {
	if strings.ContainsFunc(host, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && !strings.ContainsRune("-._:[]", r)
	}) {
		return "(not a host name)"
	}
	return host
}

func (g *Gateway) logRetry(c *call, r *Refusal) {
	dropped, ok := g.callLog.decisions.allow()
	if !ok {
		return
	}
	f := append(g.logFields(c, dropped), zap.String("reason", string(r.Reason)), zap.String("run", string(r.RunState)),
		zap.Float64("budget_left", c.budget.Tokens()))
	if r.Cause != nil {
		f = append(f, zap.Error(r.Cause))
	}
	g.callLog.Info("call goes to another node", f...)
}

// logRemoteAttempt logs that an attempt of a remote node has ended without a
// response.
func (g *Gateway) logRemoteAttempt(att *Attempt, r *Refusal) {
	dropped, ok := g.callLog.decisions.allow()
	if !ok {
		return
	}
	f := []zap.Field{
		zap.String("request", att.RequestID), zap.String("service", att.Service), zap.Uint8("rank", uint8(att.Rank)),
		zap.String("reason", string(r.Reason)), zap.String("run", string(r.RunState)),
		zap.Duration("remaining", time.Until(att.Deadline)), zap.Duration("patience", att.MaxWait),
	}
	if att.Team != "" {
		f = append(f, zap.String("team", att.Team))
	}
	if r.Decision != "" {
		f = append(f, zap.String("decision", string(r.Decision)))
	}
	s := g.Local.gate.State()
	f = append(f, zap.Int("running", s.Running), zap.Int("limit", s.Limit), zap.Int("waiting", s.Waiting))
	if s.RateLimit >= 0 {
		f = append(f, zap.Float64("rate_limit", s.RateLimit))
	}
	if b := g.Local.boot.Load(); b != nil {
		f = append(f, zap.String("boot", b.ID))
	}
	if dropped > 0 {
		f = append(f, zap.Int64("lines_left_out", dropped))
	}
	if r.Cause != nil {
		f = append(f, zap.Error(r.Cause))
	}
	g.callLog.Info("job of another node not run to its end", f...)
}

func (g *Gateway) onFault(side string) func(net.Addr, h1.Fault, error) {
	return func(remote net.Addr, f h1.Fault, err error) {
		g.Metrics.countFault(string(f))
		if f != h1.NotAccepted {
			g.Metrics.countRefusal(faultReason(f))
		}
		if dropped, ok := g.callLog.decisions.allow(); ok {
			fields := []zap.Field{zap.String("from", side), zap.Stringer("remote", remote), zap.String("fault", string(f)), zap.Int64("lines_left_out", dropped)}
			if err != nil {
				fields = append(fields, zap.String("error", withoutQuotes(err)))
			}
			g.callLog.Info("request could not be read", fields...)
		}
	}
}

var quoted = regexp.MustCompile(`"(?:[^"\\]|\\.)*"?`)

// withoutQuotes returns the text of an error without what it quotes. The error of a
// malformed request quotes the line, which may contain a key.
func withoutQuotes(err error) string {
	return quoted.ReplaceAllString(err.Error(), `"..."`)
}

func faultReason(f h1.Fault) model.Reason {
	switch f {
	case h1.HeadTooLarge:
		return model.HeadersTooLarge
	case h1.BodyTooLarge:
		return model.BodyTooLarge
	case h1.BodyTooSlow:
		return model.BodyTooSlow
	}
	return model.BadRequest
}
