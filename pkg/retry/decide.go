package retry

import (
	"time"

	"github.com/lentilflow/lentilflow/pkg/crashguard"
	"github.com/lentilflow/lentilflow/pkg/model"
)

const (
	baseDelay = 2 * time.Millisecond
	maxDelay  = 100 * time.Millisecond
	// minAttemptTime is the time that an attempt needs at least; a retry that
	// would leave less is not made.
	minAttemptTime = time.Millisecond
	// leavingResends is how often a call is sent elsewhere after a refusal
	// "draining" even when its rule states fewer retries: a planned stop is no
	// failure of the call.
	drainingRetries = 1
	// maxMoves bounds the nodes that are asked for one call without an upstream
	// seeing it. Each costs a round trip, 24 ms between regions.
	maxUnreachedAttempts = 4
	// maxLost bounds the upstreams that one call may lose: as many as make a
	// request suspect. Notices of crashes take some 20 ms, in which the retries
	// of one call felled every upstream of a service.
	maxLostUpstreams = crashguard.MaxCrashes
)

// Failure is an attempt that brought no answer of an upstream.
type Failure struct {
	Reason model.Reason
	Run    model.RunState
	// Unreached says that no upstream saw the attempt, only the node beside
	// one. Another node may then be asked without use of the budget.
	Unreached bool
}

// Call is what the decision needs to know about a call.
type Call struct {
	Idempotent        bool
	MaxRetries        int           // of the rule
	RetriesMade       int           // retries made so far
	UnreachedAttempts int           // attempts so far that no upstream saw
	LostUpstreams     int           // attempts so far, this one included, whose upstream went silent or closed the connection
	Remaining         time.Duration // until the deadline
	Replayable        bool          // the request body can be sent again from its start
}

// Verdict says whether to retry, and if not, why.
type Verdict string

// Verdicts. Every one has a counter.
const (
	Retry        Verdict = "retry"
	NotRetryable Verdict = "not_retryable" // the reason will not go away elsewhere
	PossibleRun  Verdict = "possible_run"
	RetriesUsed  Verdict = "retries_used"
	NoTime       Verdict = "no_time"
	NoBudget     Verdict = "no_budget"
	BodyConsumed Verdict = "body_consumed"
	// UpstreamsLost is a call that may crash upstreams.
	UpstreamsLost Verdict = "upstreams_lost"
)

// Verdicts returns every verdict.
func Verdicts() []Verdict {
	return []Verdict{Retry, NotRetryable, PossibleRun, RetriesUsed, NoTime, NoBudget, BodyConsumed, UpstreamsLost}
}

// elsewhere reports whether another upstream may take a call that failed for
// this reason.
func retryableElsewhere(r model.Reason) bool {
	switch r {
	case model.Overloaded, model.DeadlineUnreachable, model.UpstreamUnreachable, model.UpstreamLost,
		model.UpstreamShed, model.NodeDraining, model.NoConfiguration, model.NoUpstream:
		return true
	}
	return false
}

// Decide returns the verdict on one failure and the delay before the next
// attempt. The random number is in [0, 1). It takes a token from the budget
// only for the verdict Retry.
func Decide(f Failure, c Call, b *Budget, random float64) (Verdict, time.Duration) {
	allowed := c.MaxRetries
	if f.Reason == model.NodeDraining && allowed < drainingRetries {
		allowed = drainingRetries
	}
	delay := Delay(c.RetriesMade, random)
	switch {
	case f.Run != model.NotRun && !c.Idempotent:
		return PossibleRun, 0
	case f.Run == model.Ran || !retryableElsewhere(f.Reason):
		return NotRetryable, 0
	case c.LostUpstreams >= maxLostUpstreams:
		return UpstreamsLost, 0
	case f.Unreached && c.UnreachedAttempts >= maxUnreachedAttempts, !f.Unreached && c.RetriesMade >= allowed:
		return RetriesUsed, 0
	case !c.Replayable:
		return BodyConsumed, 0
	case c.Remaining < delay+minAttemptTime:
		return NoTime, 0
	case f.Unreached:
		return Retry, 0
	case !b.Spend(f.Run != model.NotRun):
		return NoBudget, 0
	}
	return Retry, delay
}

// Delay returns the full-jitter delay before retry number made+1: uniform
// between 0 and an exponentially growing bound (AWS Architecture Blog,
// "Exponential Backoff And Jitter", 2015).
func Delay(retriesMade int, random float64) time.Duration {
	bound := maxDelay
	if retriesMade < 6 { // 2 ms doubled 6 times exceeds the cap
		bound = min(baseDelay<<retriesMade, maxDelay)
	}
	return time.Duration(random * float64(bound))
}
