package quota

import "time"

// Verdict says whether a request is within the quota of its team.
type Verdict uint8

// Verdicts.
const (
	// Granted means that a token was taken from the quota.
	Granted Verdict = iota
	// Exceeded means that the team has used its quota.
	Exceeded
	// Unavailable means that no node that may hold a share of the quota answered in
	// time, so that it is not known whether the quota is used.
	Unavailable
)

// Decision is the decision on one request.
type Decision struct {
	Verdict Verdict
	// RetryAfter is the time after which a retry is worthwhile, 0 if it is not known
	// or if the request is granted.
	RetryAfter time.Duration
}
