package retry

import (
	"time"

	"github.com/lentilflow/lentilflow/pkg/crashguard"
	"github.com/lentilflow/lentilflow/pkg/model"
)

const (
	// baseDelay bounds the delay before the first retry. The bound doubles with
	// each further retry, up to maxDelay.
	baseDelay = 2 * time.Millisecond
	maxDelay  = 100 * time.Millisecond
	// minAttemptTime is the least time that an attempt needs. A retry that would
	// have less time before the deadline is not made.
	minAttemptTime = time.Millisecond
	// drainingRetries is how often a call is retried after a refusal "draining"
	// even if its rule states fewer retries: a planned stop is not a failure of
	// the call.
	drainingRetries = 1
	// maxUnreachedAttempts bounds the attempts of one call that no upstream saw.
	// Each costs a round trip, 24 ms between regions.
	maxUnreachedAttempts = 4
	// maxLostUpstreams bounds the upstreams that are lost during one call, to the
	// number of crashes after which a request is refused. Reports of crashes take
	// some 20 ms to reach the other nodes; without the bound, the retries of one
	// call crashed every upstream of a service in that time.
	maxLostUpstreams = crashguard.MaxCrashes
)

// Failure is an attempt that returned no response of an upstream.
type Failure struct {
	Reason model.Reason
	Run    model.RunState
	// Unreached says that no upstream saw the attempt; at most the node of one
	// did. Another node may then be tried without a token of the budget.
	Unreached bool
}

// Call holds the properties of a call on which the decision depends.
type Call struct {
	Idempotent        bool
	MaxRetries        int           // that the rule allows
	RetriesMade       int           // retries made so far
	UnreachedAttempts int           // attempts so far that no upstream saw
	LostUpstreams     int           // attempts so far, this one included, whose upstream stopped responding or closed the connection
	Remaining         time.Duration // time until the deadline
	Replayable        bool          // the request body can be sent again from its start
}

// Verdict says whether to retry a call, and if not, why.
type Verdict string

// Verdicts. Each has a counter.
const (
	Retry        Verdict = "retry"
	NotRetryable Verdict = "not_retryable" // the reason also applies at other upstreams, or the call has run
	PossibleRun  Verdict = "possible_run"  // the call may have run and is not idempotent
	RetriesUsed  Verdict = "retries_used"  // the call has made all attempts that it may
	NoTime       Verdict = "no_time"       // too little time is left before the deadline
	NoBudget     Verdict = "no_budget"     // the Budget has no token for this retry
	BodyConsumed Verdict = "body_consumed" // the request body cannot be sent again
	// UpstreamsLost means that the call may have crashed upstreams.
	UpstreamsLost Verdict = "upstreams_lost"
)

// Verdicts returns every verdict.
func Verdicts() []Verdict {
	return []Verdict{Retry, NotRetryable, PossibleRun, RetriesUsed, NoTime, NoBudget, BodyConsumed, UpstreamsLost}
}

// retryableElsewhere reports whether another upstream may run a call that failed
// for this reason.
func retryableElsewhere(r model.Reason) bool {
	switch r {
	case model.Overloaded, model.DeadlineUnreachable, model.UpstreamUnreachable, model.UpstreamLost,
		model.UpstreamShed, model.NodeDraining, model.NoConfiguration, model.NoUpstream, model.VersionNotAllowed:
		return true
	}
	return false
}

// Decide returns the verdict on one failure and the delay before the next
// attempt, which is 0 if no upstream saw the failed one. random is in [0, 1). A
// token is taken from the budget only for the verdict Retry, and only if an
// upstream may have seen the attempt. Decide is safe for concurrent use.
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

// Delay returns the full-jitter delay before retry number retriesMade+1: uniform
// between 0 and an exponentially growing bound (AWS Architecture Blog,
// "Exponential Backoff And Jitter", 2015). random is in [0, 1).
func Delay(retriesMade int, random float64) time.Duration {
	bound := maxDelay
	if retriesMade < 6 { // 2 ms doubled 6 times exceeds maxDelay
		bound = min(baseDelay<<retriesMade, maxDelay)
	}
	return time.Duration(random * float64(bound))
}
