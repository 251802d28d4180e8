package proxy

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lentilflow/lentilflow/pkg/balance"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/problem"
)

// Callers that are refused without a better estimate are asked to come back
// after a time in this range, spread so that they do not come back together.
const (
	minPause    = time.Second
	pauseSpread = 2 * time.Second
)

// refusal is an attempt or a call that brought no answer of an upstream.
type refusal struct {
	reason     model.Reason
	run        model.RunState
	retryAfter time.Duration
	detail     string
	final      bool   // no retry would help, whatever the reason
	crash      string // identifier of the crash that ended the call, if any
}

func refuse(reason model.Reason, run model.RunState, detail string) *refusal {
	return &refusal{reason: reason, run: run, detail: detail}
}

// known holds every reason, to check what peers send.
var known = func() map[model.Reason]bool {
	m := make(map[model.Reason]bool)
	for _, r := range model.Reasons() {
		m[r] = true
	}
	return m
}()

// details returns the problem document of r.
func (r *refusal) details(version model.Version, rule string) problem.Details {
	d := problem.New(r.reason, r.run)
	d.Detail, d.Version, d.Rule, d.RetryAfter = r.detail, version, rule, r.retryAfter
	if d.RetryAfter == 0 && (d.Status == http.StatusServiceUnavailable || d.Status == http.StatusTooManyRequests) {
		d.RetryAfter = minPause + rand.N(pauseSpread)
	}
	return d
}

// mark sets the headers by which the first node recognises a refusal of a peer.
func (r *refusal) mark(h http.Header) {
	h[HeaderRefusal] = []string{string(r.reason) + " " + string(r.run)}
	if r.crash != "" {
		h[HeaderCrash] = []string{r.crash}
	}
}

// peerRefusal reads the refusal of a peer from its answer, or returns nil when
// the answer is that of an upstream. A mark that cannot be read counts as a
// lost upstream.
func peerRefusal(h http.Header) *refusal {
	mark := h.Get(HeaderRefusal)
	if mark == "" {
		return nil
	}
	reason, run, _ := strings.Cut(mark, " ")
	r := &refusal{reason: model.Reason(reason), run: model.RunState(run), crash: h.Get(HeaderCrash)}
	if !known[r.reason] || r.run != model.NotRun && r.run != model.Unknown {
		return refuse(model.UpstreamLost, model.Unknown, "the peer sent a refusal that cannot be read")
	}
	if s, err := strconv.Atoi(h.Get("Retry-After")); err == nil && s > 0 {
		r.retryAfter = time.Duration(s) * time.Second
	}
	return r
}

// evidence translates a refusal for the choice of upstreams.
func (r *refusal) evidence() balance.Outcome {
	switch r.reason {
	case model.Overloaded, model.DeadlineUnreachable, model.UpstreamShed:
		return balance.Refused
	case model.UpstreamUnreachable, model.UpstreamLost, model.NodeDraining, model.NoConfiguration, model.NoUpstream:
		return balance.Failed
	case model.DeadlineExceeded:
		if r.run == model.Unknown {
			return balance.Accepted // it took at least as long as the deadline
		}
		return balance.Refused
	}
	return balance.Neutral
}
