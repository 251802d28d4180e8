package gateway

import (
	"net"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/lentilflow/lentilflow/pkg/h1"
	"github.com/lentilflow/lentilflow/pkg/model"
)

const (
	// answerLines and decisionLines bound the lines a second about calls that
	// were answered and about decisions that took a call off its way (refusals,
	// retries, failed jobs). A line costs about as much processor time as a
	// tenth of a call.
	answerLines   = 5
	decisionLines = 100
)

// callLog writes the lines about calls. Lines above the bounds are counted and
// the number is part of the next line.
type callLog struct {
	*zap.Logger
	answers, decisions limited
}

type limited struct {
	limiter *rate.Limiter
	dropped atomic.Int64
}

func newCallLog(l *zap.Logger) *callLog {
	c := &callLog{Logger: l}
	c.answers.limiter = rate.NewLimiter(answerLines, answerLines)
	c.decisions.limiter = rate.NewLimiter(decisionLines, decisionLines)
	return c
}

// allow reports whether a line may be written, and how many were left out
// before it.
func (l *limited) allow() (dropped int64, ok bool) {
	if !l.limiter.Allow() {
		l.dropped.Add(1)
		return 0, false
	}
	return l.dropped.Swap(0), true
}

func zapError(err error) zap.Field { return zap.Error(err) }

// fields returns what identifies a call and decided on it.
func (g *Gateway) fields(c *call, dropped int64) []zap.Field {
	f := make([]zap.Field, 0, 20)
	f = append(f,
		zap.String("request", c.x.Request.Header.Get(g.Names.RequestID)),
		zap.Uint64("version", uint64(c.version)),
		zap.Duration("took", time.Since(c.x.Arrived)),
	)
	if c.job != nil {
		f = append(f, zap.String("route", c.route.Name), zap.String("service", c.job.Service),
			zap.Uint8("rank", uint8(c.job.Rank)), zap.Bool("idempotent", c.job.Idempotent),
			zap.Duration("remaining", time.Until(c.job.Deadline)))
	}
	if len(c.asked) > 0 {
		f = append(f, zap.Any("asked", c.asked), zap.Uint64("fleet_revision", uint64(g.View.Current().Revision)),
			zap.Int("retries", c.made), zap.Int("moves", c.moves))
	}
	if dropped > 0 {
		f = append(f, zap.Int64("lines_left_out", dropped))
	}
	return f
}

func (g *Gateway) logAnswer(c *call, status int, err error) {
	g.Metrics.answered(c.job.Rank, status, time.Since(c.x.Arrived))
	bound := &g.log.answers
	if err != nil || status >= 500 || c.made > 0 {
		bound = &g.log.decisions
	}
	dropped, ok := bound.allow()
	if !ok {
		return
	}
	f := append(g.fields(c, dropped), zap.Int("status", status), zap.Duration("waited", c.waited), zap.Duration("ran", c.ran))
	if err != nil {
		g.log.Warn("answer was not taken by the caller", append(f, zap.Error(err))...)
		return
	}
	g.log.Info("call answered", f...)
}

func (g *Gateway) logRefusal(c *call, r *Refusal, status int) {
	dropped, ok := g.log.decisions.allow()
	if !ok {
		return
	}
	f := append(g.fields(c, dropped), zap.Int("status", status), zap.String("reason", string(r.Reason)),
		zap.String("run", string(r.RunState)), zap.Duration("retry_after", r.RetryAfter))
	if c.verdict != "" {
		f = append(f, zap.String("verdict", string(c.verdict)))
	}
	if r.Cause != nil {
		f = append(f, zap.Error(r.Cause))
	}
	if c.route == nil {
		f = append(f, zap.String("host", c.x.Request.Host), zap.String("path", c.x.Request.URL.Path))
	}
	g.log.Info("call refused", f...)
}

func (g *Gateway) logRetry(c *call, r *Refusal) {
	dropped, ok := g.log.decisions.allow()
	if !ok {
		return
	}
	f := append(g.fields(c, dropped), zap.String("reason", string(r.Reason)), zap.String("run", string(r.RunState)),
		zap.Float64("budget_left", c.budget.Tokens()))
	if r.Cause != nil {
		f = append(f, zap.Error(r.Cause))
	}
	g.log.Info("call goes to another node", f...)
}

// logJob writes that a job of another node has ended without an answer.
func (g *Gateway) logJob(j *Attempt, r *Refusal) {
	dropped, ok := g.log.decisions.allow()
	if !ok {
		return
	}
	f := []zap.Field{
		zap.String("request", j.RequestID), zap.String("service", j.Service), zap.Uint8("rank", uint8(j.Rank)),
		zap.String("reason", string(r.Reason)), zap.String("run", string(r.RunState)),
		zap.Duration("remaining", time.Until(j.Deadline)), zap.Duration("patience", j.MaxWait),
	}
	s := g.Local.gate.State()
	f = append(f, zap.Int("running", s.Running), zap.Int("limit", s.Limit), zap.Int("waiting", s.Waiting))
	if b := g.Local.boot.Load(); b != nil {
		f = append(f, zap.String("boot", b.ID))
	}
	if dropped > 0 {
		f = append(f, zap.Int64("lines_left_out", dropped))
	}
	if r.Cause != nil {
		f = append(f, zap.Error(r.Cause))
	}
	g.log.Info("job of another node not run to its end", f...)
}

func (g *Gateway) onFault(side string) func(net.Addr, h1.Fault, error) {
	return func(remote net.Addr, f h1.Fault, err error) {
		g.Metrics.fault(string(f))
		if f != h1.NotAccepted {
			g.Metrics.refused(faultReason(f))
		}
		if dropped, ok := g.log.decisions.allow(); ok {
			g.log.Info("request could not be read", zap.String("from", side), zap.Stringer("remote", remote),
				zap.String("fault", string(f)), zap.Int64("lines_left_out", dropped), zap.Error(err))
		}
	}
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
