package model

import "net/http"

// RunState says whether a call has run at an upstream.
type RunState string

// Run states. RunUnknown is used if it is not certain whether the call has run.
const (
	NotRun     RunState = "not_run"
	Ran        RunState = "ran"
	RunUnknown RunState = "unknown"
)

// Reason says why a node refused a call or ended it without a response.
type Reason string

// Reasons are a closed list. Each has a counter. Whether the call has run is stated
// by the RunState beside the reason.
const (
	NoConfiguration     Reason = "no_configuration"     // the node has no configuration yet
	NoRule              Reason = "no_rule"              // no rule matches the call
	NoUpstream          Reason = "no_upstream"          // no upstream of the service is available
	Overloaded          Reason = "overloaded"           // the queue is full, or the call would wait too long
	RuleLimit           Reason = "rule_limit"           // the rule allows no more calls in flight at the node
	DeadlineUnreachable Reason = "deadline_unreachable" // the call is not expected to finish before its deadline
	DeadlineExceeded    Reason = "deadline_exceeded"    // the deadline has passed
	UpstreamUnreachable Reason = "upstream_unreachable" // no connection to the upstream or its node
	UpstreamLost        Reason = "upstream_lost"        // the call was sent, but no valid response arrived
	UpstreamShed        Reason = "upstream_shed"        // the upstream responded that it did not run the call
	VersionNotAllowed   Reason = "version_not_allowed"  // no order allows the software version of the upstream to run the call
	CrashSuspected      Reason = "crash_suspected"      // the request may crash upstreams (package crashguard)
	NodeDraining        Reason = "draining"             // the node is draining
	BadRequest          Reason = "bad_request"          // the request is not valid
	BodyTooLarge        Reason = "body_too_large"       // the request body exceeds the limit
	HeadersTooLarge     Reason = "headers_too_large"    // the request headers exceed the limit
	BodyTooSlow         Reason = "body_too_slow"        // the request body arrived too slowly
	CallerGone          Reason = "caller_gone"          // the caller disconnected before the response
	UnknownKey          Reason = "unknown_key"          // the request has no key of a team, on a route that is not public
	QuotaExceeded       Reason = "quota_exceeded"       // the team has used its quota
	QuotaUnavailable    Reason = "quota_unavailable"    // no node that may hold a share of the team's quota answered in time
)

// StatusCallerGone is the status in the log of calls whose caller disconnected
// before the response. It is never sent.
const StatusCallerGone = 499

var reasonStatus = map[Reason]int{
	NoConfiguration:     http.StatusServiceUnavailable,
	NoRule:              http.StatusNotFound,
	NoUpstream:          http.StatusServiceUnavailable,
	Overloaded:          http.StatusServiceUnavailable,
	RuleLimit:           http.StatusTooManyRequests,
	DeadlineUnreachable: http.StatusGatewayTimeout,
	DeadlineExceeded:    http.StatusGatewayTimeout,
	UpstreamUnreachable: http.StatusBadGateway,
	UpstreamLost:        http.StatusBadGateway,
	UpstreamShed:        http.StatusServiceUnavailable,
	VersionNotAllowed:   http.StatusServiceUnavailable,
	CrashSuspected:      http.StatusServiceUnavailable,
	NodeDraining:        http.StatusServiceUnavailable,
	BadRequest:          http.StatusBadRequest,
	BodyTooLarge:        http.StatusRequestEntityTooLarge,
	HeadersTooLarge:     http.StatusRequestHeaderFieldsTooLarge,
	BodyTooSlow:         http.StatusRequestTimeout,
	CallerGone:          StatusCallerGone,
	UnknownKey:          http.StatusUnauthorized,
	QuotaExceeded:       http.StatusTooManyRequests,
	QuotaUnavailable:    http.StatusServiceUnavailable,
}

// Reasons returns every reason, in no particular order.
func Reasons() []Reason {
	all := make([]Reason, 0, len(reasonStatus))
	for r := range reasonStatus {
		all = append(all, r)
	}
	return all
}

// Status returns the HTTP status code of r, or 500 for a value outside the
// list.
func (r Reason) Status() int {
	if s, ok := reasonStatus[r]; ok {
		return s
	}
	return http.StatusInternalServerError
}
