package problem

import (
	"github.com/lentilflow/lentilflow/pkg/model"
)

// ContentType is the media type of problem details in JSON (RFC 9457).
const ContentType = "application/problem+json"

// TypePrefix precedes the reason in the type URI of a problem.
const TypePrefix = "urn:lentilflow:reason:"

// Details is the body of a refusal. Status is the HTTP status of the response.
// Run says whether an upstream may have run the call. Version and Rule are the
// configuration and the rule that applied to the call, if any.
type Details struct {
	Type    string         `json:"type"`
	Title   string         `json:"title"`
	Status  int            `json:"status"`
	Reason  model.Reason   `json:"reason"`
	Run     model.RunState `json:"run"`
	Version model.Version  `json:"version,omitempty"`
	Rule    string         `json:"rule,omitempty"`
}

var titles = map[model.Reason]string{
	model.NoConfiguration:     "The node has no configuration yet",
	model.NoRule:              "No rule matches the call",
	model.NoUpstream:          "No upstream of the service is available",
	model.Overloaded:          "The service is overloaded",
	model.RuleLimit:           "The rule allows no more calls in flight",
	model.DeadlineUnreachable: "The call cannot finish before its deadline",
	model.DeadlineExceeded:    "The deadline of the call has passed",
	model.UpstreamUnreachable: "The upstream cannot be reached",
	model.UpstreamLost:        "The connection to the upstream was lost",
	model.UpstreamShed:        "The upstream sheds load",
	model.VersionNotAllowed:   "No order allows the software version of the upstream to run the request",
	model.CrashSuspected:      "The request is suspected to crash upstreams",
	model.NodeDraining:        "The node is leaving",
	model.BadRequest:          "The request is not valid",
	model.BodyTooLarge:        "The request body is too large",
	model.HeadersTooLarge:     "The request headers are too large",
	model.BodyTooSlow:         "The request body came too slowly",
	model.CallerGone:          "The caller has left",
	model.UnknownKey:          "The request has no valid key",
	model.QuotaExceeded:       "The team has used its quota",
	model.QuotaUnavailable:    "The quota of the team cannot be checked",
}

// New returns the details of a refusal, with the title and the status of its
// reason.
func New(reason model.Reason, run model.RunState) Details {
	return Details{
		Type:   TypePrefix + string(reason),
		Title:  titles[reason],
		Status: reason.Status(),
		Reason: reason,
		Run:    run,
	}
}
