package problem

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// ContentType is the media type of problem details in JSON (RFC 9457).
const ContentType = "application/problem+json"

// TypePrefix precedes the reason in the type URI of a problem.
const TypePrefix = "urn:lentilflow:reason:"

// maxSize bounds what Read accepts, in bytes.
const maxSize = 16 << 10

// Details is one refusal.
type Details struct {
	Type    string         `json:"type"`
	Title   string         `json:"title"`
	Status  int            `json:"status"`
	Detail  string         `json:"detail,omitempty"`
	Reason  model.Reason   `json:"reason"`
	Run     model.RunState `json:"run"`
	Version model.Version  `json:"version,omitempty"`
	Rule    string         `json:"rule,omitempty"`
	// RetryAfter is sent as a header in whole seconds, 0 for no header.
	RetryAfter time.Duration `json:"-"`
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
	model.CrashSuspected:      "The request is suspected to crash upstreams",
	model.NodeDraining:        "The node is leaving",
	model.BadRequest:          "The request is not valid",
	model.BodyTooLarge:        "The request body is too large",
	model.HeadersTooLarge:     "The request headers are too large",
	model.CallerGone:          "The caller has left",
}

// New returns the details of a refusal, with title and status of its reason.
func New(reason model.Reason, run model.RunState) Details {
	return Details{
		Type:   TypePrefix + string(reason),
		Title:  titles[reason],
		Status: reason.Status(),
		Reason: reason,
		Run:    run,
	}
}

// Write sends d as the whole answer.
func (d Details) Write(w http.ResponseWriter) error {
	body, err := json.Marshal(d)
	if err != nil {
		return fmt.Errorf("encode problem details: %w", err)
	}
	h := w.Header()
	h.Set("Content-Type", ContentType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if d.RetryAfter > 0 {
		h.Set("Retry-After", Seconds(d.RetryAfter))
	}
	w.WriteHeader(d.Status)
	_, err = w.Write(body)
	return err
}

// Seconds formats d for a Retry-After header: whole seconds, rounded up.
func Seconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

// Read decodes problem details of at most 16 KiB.
func Read(r io.Reader) (Details, error) {
	var d Details
	if err := json.NewDecoder(io.LimitReader(r, maxSize)).Decode(&d); err != nil {
		return Details{}, fmt.Errorf("decode problem details: %w", err)
	}
	return d, nil
}
