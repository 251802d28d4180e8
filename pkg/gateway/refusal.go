package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/h1"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/problem"
)

// refusalStatus returns a status that agrees with the run state: 503, 429, 408 and
// 401 state that the request has not run and will not run, 502 and 504 state neither.
func refusalStatus(reason model.Reason, run model.RunState) int {
	s := reason.Status()
	switch {
	case run == model.NotRun && (s == http.StatusBadGateway || s == http.StatusGatewayTimeout):
		return http.StatusServiceUnavailable
	case run != model.NotRun && (s == http.StatusServiceUnavailable || s == http.StatusTooManyRequests ||
		s == http.StatusRequestTimeout || s == http.StatusUnauthorized):
		return http.StatusBadGateway
	}
	return s
}

// sendFinalRefusal sends the refusal that ends a call.
func (g *Gateway) sendFinalRefusal(c *call, r *Refusal) {
	if c.mayHaveRun && r.RunState == model.NotRun {
		r.RunState = model.RunUnknown // an earlier attempt may have run
	}
	if h1.ClientGone(c.x.Context()) {
		r.Reason = model.CallerGone
	}
	g.Metrics.countRefusal(r.Reason)
	if c.relaxed && c.attempt.MaxWait > 0 && r.Reason == model.Overloaded {
		g.Metrics.countLoadDecision(decisionQueueLimit)
	}
	if r.Reason == model.CallerGone {
		g.logRefusal(c, r, model.StatusCallerGone)
		return
	}
	d := problem.New(r.Reason, r.RunState)
	d.Status = refusalStatus(r.Reason, r.RunState)
	d.Version = model.Version(c.version)
	if c.route != nil {
		d.Rule = c.route.Name
	}
	h := http.Header{"Content-Type": {problem.ContentType}}
	if r.RetryAfter > 0 && r.RunState == model.NotRun {
		h["Retry-After"] = []string{formatSeconds(r.RetryAfter)}
	}
	if d.Status == http.StatusUnauthorized {
		h["Www-Authenticate"] = []string{authenticate}
	}
	body, err := json.Marshal(d)
	if err != nil {
		g.Log.Error("refusal cannot be encoded", zap.Error(err))
	}
	g.logRefusal(c, r, d.Status)
	if err := c.x.Reply(&h1.Reply{Status: d.Status, Header: h, Body: body}); err != nil {
		g.Log.Debug("refusal could not be sent", zap.Error(err))
	}
}

// formatSeconds formats a duration for Retry-After, with a fraction: the
// callers on this platform have time limits of a few seconds and accept
// fractions.
func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 2, 64) }
