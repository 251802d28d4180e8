package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// Headers between nodes, and on answers to callers.
const (
	headerPrefix  = "Lentilflow-"
	headerCall    = "Lentilflow-Call"
	headerAnswer  = "Lentilflow-Answer"
	headerRefusal = "Lentilflow-Refusal"
	// headerAttempt numbers the attempts of the asking node; the answer repeats
	// it, so that a late copy of one is not taken for another.
	headerAttempt = "Lentilflow-Attempt"
	// headerWithdraw names an attempt that is to be ended unless it runs.
	headerWithdraw = "Lentilflow-Withdraw"
	// headerRoute and headerVersion tell a caller what decided its call.
	headerRoute   = "Lentilflow-Route"
	headerVersion = "Lentilflow-Version"
)

// HeaderNames are the names that the platform gives to header fields, in
// canonical form.
type HeaderNames struct {
	// RequestID identifies one try of a caller. Upstreams echo it.
	RequestID string
	// Deadline is how many milliseconds the sender will wait.
	Deadline string
	// Signature is on every answer that an upstream made.
	Signature string
	// ExpectedBoot names the boot of the upstream that may run a request.
	ExpectedBoot string
	// Boot names the boot of the upstream that answered.
	Boot string
	// NotRun says that the upstream did not run the request.
	NotRun string
	// Caller is the service of the VM on which a request began.
	Caller string
}

// stripOwn removes the fields of this package.
func stripInternalFields(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
}

// millis formats a length of time in whole milliseconds, never negative.
func millis(d time.Duration) string { return strconv.FormatInt(max(d.Milliseconds(), 0), 10) }

// parseMillis reads a number of milliseconds, which may have a fraction.
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
	// bulk, target and due stand at the end: nodes of an earlier program leave
	// them out. due is the time left until the answer misses the target.
	download      bool
	latencyTarget time.Duration
	dueIn         time.Duration
}

func (f *callFields) String() string {
	return strings.Join([]string{
		f.service, f.route, strconv.Itoa(int(f.rank)), strconv.Itoa(f.weight), millis(f.remaining), millis(f.maxWait),
		flag(f.idempotent), strconv.FormatUint(uint64(f.version), 10), flag(f.download), millis(f.latencyTarget), millis(f.dueIn),
	}, " ")
}

func flag(b bool) string {
	if b {
		return "1"
	}
	return "0"
}

func parseCallFields(s string) (f callFields, ok bool) {
	parts := strings.Fields(s)
	if len(parts) != 8 && len(parts) != 11 {
		return f, false
	}
	rank, err := strconv.ParseUint(parts[2], 10, 8)
	worth, werr := strconv.ParseUint(parts[3], 10, 16)
	version, verr := strconv.ParseUint(parts[7], 10, 64)
	if err != nil || werr != nil || verr != nil || rank > uint64(model.MaxRank) || worth == 0 {
		return f, false
	}
	f = callFields{
		service: parts[0], route: parts[1], rank: model.Rank(rank), weight: int(worth), idempotent: parts[6] == "1", version: config.Version(version),
	}
	for i, d := range []*time.Duration{&f.remaining, &f.maxWait} {
		if *d, ok = parseMillis(parts[4+i]); !ok {
			return f, false
		}
	}
	if len(parts) == 11 {
		var dueOK bool
		f.download = parts[8] == "1"
		f.latencyTarget, ok = parseMillis(parts[9])
		f.dueIn, dueOK = parseMillis(parts[10])
		ok = ok && dueOK
	}
	return f, ok
}

// Refusal is an attempt, or a call, without an answer of an upstream.
type Refusal struct {
	Reason   model.Reason
	RunState model.RunState
	// RetryAfter is when a return is worthwhile, 0 if unknown.
	RetryAfter time.Duration
	// Wait is the expected wait for a slot or for the link, 0 if unknown.
	ExpectedWait time.Duration
	// Unreached says that no upstream saw the request.
	Unreached bool
	// Silent says that the node did not answer a connection.
	NodeUnresponsive bool
	Cause            error // for the log; may be nil
}

// refuse returns a refusal by a node, before an upstream saw the request.
func newRefusal(reason model.Reason) *Refusal {
	return &Refusal{Reason: reason, RunState: model.NotRun, Unreached: true}
}

// String returns the content of Lentilflow-Refusal.
func (r *Refusal) String() string {
	return strings.Join([]string{string(r.Reason), string(r.RunState), millis(r.RetryAfter), flag(r.Unreached), millis(r.ExpectedWait)}, " ")
}

func parseRefusal(s string) (*Refusal, bool) {
	parts := strings.Fields(s)
	if len(parts) != 4 && len(parts) != 5 { // an earlier program leaves the last one out
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
