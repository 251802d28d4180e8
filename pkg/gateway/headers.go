package gateway

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// Header fields between nodes, and in responses to callers.
const (
	headerPrefix  = "Lentilflow-"
	headerCall    = "Lentilflow-Call"
	headerAnswer  = "Lentilflow-Answer"
	headerRefusal = "Lentilflow-Refusal"
	// headerAttempt is the ID of an attempt. The response repeats it, so that a
	// late duplicate of a response is not used for another attempt.
	headerAttempt = "Lentilflow-Attempt"
	// headerWithdraw is the ID of an attempt that is to be cancelled unless it
	// is running.
	headerWithdraw = "Lentilflow-Withdraw"
	// headerUpstream says what the upstream has stated about itself, in
	// responses and, as the sender knows it, in attempts.
	headerUpstream = "Lentilflow-Upstream"
	// headerInner is present in attempts of calls that an upstream makes while it runs
	// another one. Nodes of earlier releases ignore it.
	headerInner = "Lentilflow-Inner"
	// headerRollout is the key of the order that allows an attempt to run on an upstream
	// of a new software version. In a refusal it says what the node knows of the version
	// (versionHint).
	headerRollout = "Lentilflow-Rollout"
	// headerRoute and headerVersion inform a caller which route of which
	// version decided its call.
	headerRoute   = "Lentilflow-Route"
	headerVersion = "Lentilflow-Version"
)

// HeaderNames are the names of the platform's header fields, in canonical form.
type HeaderNames struct {
	// RequestID identifies one request of a caller; a caller that tries again
	// uses a new one. Upstreams return it in the response.
	RequestID string
	// Deadline is the time for which the sender waits, in milliseconds.
	Deadline string
	// Signature is present in every response that an upstream made.
	Signature string
	// ExpectedBoot is the boot of the upstream that may run a request.
	ExpectedBoot string
	// Boot is the boot of the upstream that responded.
	Boot string
	// NotRun is set if the upstream did not run the request.
	NotRun string
	// Caller is the service of the VM on which the call was made.
	Caller string
	// RateLimit is present in the responses of an upstream that takes only so
	// many requests per second from all nodes together, a decimal number.
	RateLimit string
	// Leaving is set in the responses of an upstream that is about to leave.
	Leaving string
	// Authorization holds the key of the caller's team. No upstream and no other
	// node receives it if the configuration has teams.
	Authorization string
	// Team is the name of the team in requests to upstreams. Nodes set it if the
	// configuration has teams, and remove what a caller states.
	Team string
}

// stripInternalFields removes the header fields of this package.
func stripInternalFields(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
}

// millis formats a duration in whole milliseconds. Negative durations become 0.
func millis(d time.Duration) string { return strconv.FormatInt(max(d.Milliseconds(), 0), 10) }

// parseMillis parses a number of milliseconds, which may have a fraction or be
// negative. It rejects NaN and durations longer than maxParsedDuration.
func parseMillis(s string) (time.Duration, bool) {
	f, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
	if err != nil || f != f || f > float64(maxParsedDuration/time.Millisecond) || f < -float64(maxParsedDuration/time.Millisecond) {
		return 0, false
	}
	return time.Duration(f * float64(time.Millisecond)), true
}

// callFields is the content of Lentilflow-Call.
type callFields struct {
	service    string
	route      string
	rank       model.Rank
	weight     int
	remaining  time.Duration
	maxWait    time.Duration
	idempotent bool
	version    config.Version
	// download, latencyTarget and dueIn come last because nodes of earlier
	// releases leave them out. dueIn is the time left until the latency target
	// is missed.
	download      bool
	latencyTarget time.Duration
	dueIn         time.Duration
	// team is the name of the team, "" if there is none. Nodes of earlier releases
	// answer a request with this word with status 400 and do not run it.
	team string
}

// Numbers of words of Lentilflow-Call, by the release that wrote it.
const (
	callWords         = 8
	callWordsDownload = 11 // with download, latency target and due time
	callWordsTeam     = 12 // with a team
)

func (f *callFields) String() string {
	s := strings.Join([]string{
		f.service, f.route, strconv.Itoa(int(f.rank)), strconv.Itoa(f.weight), millis(f.remaining), millis(f.maxWait),
		flag(f.idempotent), strconv.FormatUint(uint64(f.version), 10), flag(f.download), millis(f.latencyTarget), millis(f.dueIn),
	}, " ")
	if f.team != "" {
		s += " " + url.QueryEscape(f.team)
	}
	return s
}

func flag(b bool) string {
	if b {
		return "1"
	}
	return "0"
}

func parseCallFields(s string) (f callFields, ok bool) {
	parts := strings.Fields(s)
	if len(parts) != callWords && len(parts) != callWordsDownload && len(parts) != callWordsTeam {
		return f, false
	}
	rank, err := strconv.ParseUint(parts[2], 10, 8)
	weight, werr := strconv.ParseUint(parts[3], 10, 16)
	version, verr := strconv.ParseUint(parts[7], 10, 64)
	if err != nil || werr != nil || verr != nil || rank > uint64(model.MaxRank) || weight == 0 {
		return f, false
	}
	f = callFields{
		service: parts[0], route: parts[1], rank: model.Rank(rank), weight: int(weight), idempotent: parts[6] == "1", version: config.Version(version),
	}
	for i, d := range []*time.Duration{&f.remaining, &f.maxWait} {
		if *d, ok = parseMillis(parts[4+i]); !ok {
			return f, false
		}
	}
	if len(parts) >= callWordsDownload {
		var dueOK bool
		f.download = parts[8] == "1"
		f.latencyTarget, ok = parseMillis(parts[9])
		f.dueIn, dueOK = parseMillis(parts[10])
		ok = ok && dueOK
	}
	if len(parts) == callWordsTeam {
		f.team, err = url.QueryUnescape(parts[11])
		ok = ok && err == nil && f.team != ""
	}
	return f, ok
}

// Refusal says why an attempt or a call has no response of an upstream.
type Refusal struct {
	Reason   model.Reason
	RunState model.RunState
	// RetryAfter is the time after which a retry is worthwhile, 0 if unknown.
	RetryAfter time.Duration
	// ExpectedWait is the expected queue time, or the expected time until the
	// link has sent the response; 0 if unknown.
	ExpectedWait time.Duration
	// Unreached says that no upstream saw the request.
	Unreached bool
	// NodeUnresponsive says that the node did not respond to a connection
	// attempt.
	NodeUnresponsive bool
	// versions is the content of Lentilflow-Rollout of a refusal by a remote node.
	versions string
	// Decision is the decision under heavy load that led to the refusal, "" if there was
	// none or it was made by another node.
	Decision loadDecision
	Cause    error // for the log; may be nil
}

// newRefusal returns a refusal by a node before an upstream saw the request.
func newRefusal(reason model.Reason) *Refusal {
	return &Refusal{Reason: reason, RunState: model.NotRun, Unreached: true}
}

// String returns the content of Lentilflow-Refusal, with durations in
// milliseconds.
func (r *Refusal) String() string {
	return strings.Join([]string{string(r.Reason), string(r.RunState), millis(r.RetryAfter), flag(r.Unreached), millis(r.ExpectedWait)}, " ")
}

func parseRefusal(s string) (*Refusal, bool) {
	parts := strings.Fields(s)
	if len(parts) != 4 && len(parts) != 5 { // earlier releases leave the last one out
		return nil, false
	}
	retry, ok := parseMillis(parts[2])
	r := &Refusal{Reason: model.Reason(parts[0]), RunState: model.RunState(parts[1]), RetryAfter: retry, Unreached: parts[3] == "1"}
	if ok && len(parts) == 5 {
		r.ExpectedWait, ok = parseMillis(parts[4])
	}
	switch r.RunState {
	case model.NotRun, model.Ran, model.RunUnknown:
		return r, ok
	}
	return nil, false
}
