package model

import "net/http"

// RunState says whether a call has run at an upstream.
type RunState string

// Run states. Unknown is used whenever a run cannot be excluded or proved.
const (
	NotRun     RunState = "not_run"
	Ran        RunState = "ran"
	RunUnknown RunState = "unknown"
)

// Reason is why the system refused a call or gave it up.
type Reason string

// Reasons form a closed list; every one has a counter.
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

// StatusCallerGone is logged for calls whose caller left before the answer;
// it is never sent.
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
