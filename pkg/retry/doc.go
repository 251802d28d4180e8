// Package retry decides whether a failed attempt is retried. It holds the retry
// budget, the full-jitter delay and the rule that a call that may have run is
// retried only if it is idempotent. It reads no clock and does no I/O; time and
// randomness are arguments.
package retry
