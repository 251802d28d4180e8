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

// Reasons are a closed list. Each has a counter.
const (
	NoConfiguration     Reason = "no_configuration"
	NoRule              Reason = "no_rule"
	NoUpstream          Reason = "no_upstream"
	Overloaded          Reason = "overloaded"
	RuleLimit           Reason = "rule_limit"
	DeadlineUnreachable Reason = "deadline_unreachable"
	DeadlineExceeded    Reason = "deadline_exceeded"
	UpstreamUnreachable Reason = "upstream_unreachable"
	UpstreamLost        Reason = "upstream_lost"
	UpstreamShed        Reason = "upstream_shed"
	CrashSuspected      Reason = "crash_suspected"
	NodeDraining        Reason = "draining"
	BadRequest          Reason = "bad_request"
	BodyTooLarge        Reason = "body_too_large"
	HeadersTooLarge     Reason = "headers_too_large"
	BodyTooSlow         Reason = "body_too_slow"
	CallerGone          Reason = "caller_gone"
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
	CrashSuspected:      http.StatusServiceUnavailable,
	NodeDraining:        http.StatusServiceUnavailable,
	BadRequest:          http.StatusBadRequest,
	BodyTooLarge:        http.StatusRequestEntityTooLarge,
	HeadersTooLarge:     http.StatusRequestHeaderFieldsTooLarge,
	BodyTooSlow:         http.StatusRequestTimeout,
	CallerGone:          StatusCallerGone,
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
