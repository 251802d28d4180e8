package proxy

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers that nodes set. Those of the first group appear on answers to
// callers, those of the second between nodes and towards upstreams only.
const (
	HeaderRule      = "Lentilflow-Rule"
	HeaderVersion   = "Lentilflow-Version"
	HeaderAskedBy   = "Lentilflow-Asked-By"
	HeaderRank      = "Lentilflow-Rank"
	HeaderUpstream  = "Lentilflow-Upstream"
	HeaderAttempts  = "Lentilflow-Attempts"
	HeaderConfigAge = "Lentilflow-Config-Age" // seconds

	HeaderDeadline = "Lentilflow-Deadline-Ms" // remaining milliseconds
	HeaderCall     = "Lentilflow-Call"        // chain token
	HeaderAttempt  = "Lentilflow-Attempt"
	HeaderDepth    = "Lentilflow-Depth"
	HeaderOrigin   = "Lentilflow-Origin" // node that took the call
	HeaderWorth    = "Lentilflow-Worth"
	HeaderTarget   = "Lentilflow-Target-Us" // latency target in microseconds
	HeaderRefusal  = "Lentilflow-Refusal"   // reason and run state: "overloaded not_run"
	HeaderBusy     = "Lentilflow-Busy-Us"   // time that was not spent in the node
	HeaderCrash    = "Lentilflow-Crash"     // identifier of the crash that ended the call

	headerPrefix = "Lentilflow-"

	// HeaderNotRun marks a 503 of an upstream that sheds load.
	HeaderNotRun = "Upstream-Not-Run"
	// HeaderKey names the idempotency key of a call
	// (draft-ietf-httpapi-idempotency-key-header).
	HeaderKey = "Idempotency-Key"
	// HeaderReplayed marks an answer that was stored by an earlier call.
	HeaderReplayed = "Idempotent-Replayed"
)

// hopByHop are the fields that end at each hop (RFC 9110, section 7.6.1).
// Expect ends here too, because the node answers it itself.
var hopByHop = [...]string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// setter sets single values whose slices share one allocation.
type setter struct {
	h      http.Header
	values []string
}

func newSetter(h http.Header, n int) setter { return setter{h: h, values: make([]string, 0, n)} }

func (s *setter) set(name, value string) {
	n := len(s.values)
	s.values = append(s.values, value)
	s.h[name] = s.values[n : n+1 : n+1]
}

// stripHop removes hop-by-hop fields, also those that Connection names.
func stripHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}

// stripOwn removes every field that only nodes may set, and returns how many
// there were. Names are compared without regard to case.
func stripOwn(h http.Header) int {
	n := 0
	for name := range h {
		if isOwn(name) {
			delete(h, name)
			n++
		}
	}
	return n
}

func isOwn(name string) bool {
	return len(name) >= len(headerPrefix) && strings.EqualFold(name[:len(headerPrefix)], headerPrefix)
}

// headerSize is the size of h as HTTP/1.1 would send it, and its field count.
func headerSize(h http.Header) (bytes, fields int) {
	const separators = len(": \r\n")
	for name, values := range h {
		for _, v := range values {
			bytes += len(name) + len(v) + separators
			fields++
		}
	}
	return bytes, fields
}
