// Package retry decides whether a failed attempt may be repeated: it holds the
// retry budget, the full-jitter delay and the rule that a call that may have
// run is repeated only if it is idempotent. It is pure.
package retry
