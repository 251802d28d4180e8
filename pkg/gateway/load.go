package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lentilflow/lentilflow/pkg/balance"
	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/retry"
)

// LoadPolicy switches the decisions under heavy load (docs/design/heavy-load.md). The
// zero value makes none of them.
type LoadPolicy struct {
	// ReturningLate counts the time since the first try of a caller that comes back.
	ReturningLate bool
	// InnerFirst gives the calls that upstreams make the most urgent rank.
	InnerFirst bool
	// QueueLimit limits the expected wait of a call at all upstreams.
	QueueLimit bool
	// RefuseLate refuses calls that have become late in a queue (admission.Limits).
	RefuseLate bool
	// TeamShares divides the starts of a route's calls among teams by weight.
	TeamShares bool
}

// class returns the class of a call in the statistics of upstreams. With shares, teams
// are refused for different reasons, so the refusals of one do not limit the others.
func (g *Gateway) class(c *call) balance.Class {
	team := c.attempt.Team
	if !g.Load.TeamShares {
		team = ""
	}
	return balance.ClassOf(c.attempt.Rank, team)
}

// teamOf returns the team of an attempt and its weight for admission.
func (l *Local) teamOf(att *Attempt) (name string, weight float64) {
	s := l.Config.Current()
	if !l.Load.TeamShares || att.Team == "" || s == nil {
		return "", 1
	}
	return att.Team, s.TeamWeight(att.Team)
}

// queueShare is the share of the latency target that the expected wait of a call may
// take if every upstream is busy. The callers of calls that are refused at once come
// back in time. With longer queues, simulations serve no more calls in target, and hold
// many calls that are then refused.
const queueShare = 0.25

// queueLimit returns the limit of the expected wait of a call at all upstreams, 0 if only
// the deadline limits it: the call of an upstream goes first, and the one that waits for
// it would fail with it. Downloads have a limit of their own.
func (g *Gateway) queueLimit(t *config.RouteState) time.Duration {
	if !g.Load.QueueLimit || t.Inner || t.Download {
		return 0
	}
	return time.Duration(queueShare * float64(t.TargetLatency))
}

// innerWeight is the factor of the weight of calls that upstreams make, among the calls
// of the most urgent rank. Simulations with 1, 8 and 32 differ by less than 0.01.
const innerWeight = 8

// urgency returns the rank of a call and its weight within the rank. A call that an
// upstream makes holds up the call that the upstream is running, with its slot, and takes
// little time itself. Waiting behind new calls, it would fail with all that has been
// done for it.
func (g *Gateway) urgency(t *config.RouteState, rank model.Rank) (model.Rank, int) {
	rank, weight := min(rank, model.MaxRank), max(t.Weight, 1)
	if !g.Load.InnerFirst || !t.Inner {
		return rank, weight
	}
	g.Metrics.countLoadDecision(decisionInner)
	return 0, weight * innerWeight
}

// maxCallerTimes bounds the routes whose callers' times are kept. Routes come and go
// with versions. One more route drops what was learned of all others.
const maxCallerTimes = 4096

// callerTimes holds what is known about the callers of each route, by the name of the
// route. It is safe for concurrent use.
type callerTimes struct {
	byRoute sync.Map // string to *retry.CallerTime
	count   atomic.Int64
}

func (t *callerTimes) of(route string) *retry.CallerTime {
	if c, ok := t.byRoute.Load(route); ok {
		return c.(*retry.CallerTime)
	}
	if t.count.Add(1) > maxCallerTimes {
		t.byRoute.Clear()
		t.count.Store(1)
	}
	c, _ := t.byRoute.LoadOrStore(route, &retry.CallerTime{})
	return c.(*retry.CallerTime)
}

// elapsed returns how long ago the caller of a call began its first try, by the time
// that it states; 0 if this is the first one or the time is not known. The calls of
// public routes are made by upstreams, which state what is left of other calls.
func (g *Gateway) elapsed(route *config.RouteState, stated string) time.Duration {
	if !g.Load.ReturningLate || route.Public || route.TargetLatency <= 0 {
		return 0
	}
	d, ok := parseMillis(stated)
	if !ok {
		return 0
	}
	elapsed := g.callerTimes.of(route.Name).Elapsed(d)
	if elapsed > 0 {
		g.Metrics.countLoadDecision(decisionReturning)
	}
	return elapsed
}
