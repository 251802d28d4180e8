package upstream

import (
	"strings"
	"sync"
	"time"
)

// Behaviour can change while the upstream runs.
type Behaviour struct {
	// ServiceTime maps path prefixes to the duration of a run; the longest
	// prefix counts.
	ServiceTime map[string]time.Duration `json:"service_time_ns,omitempty"`
	ColdStart   time.Duration            `json:"cold_start_ns"` // runs take coldFactor times longer at first
	Shed        bool                     `json:"shed"`          // refuse every call
	Draining    bool                     `json:"draining"`      // refuse new calls, report it
	HealthLag   time.Duration            `json:"health_lag_ns"` // age of what /health reports
	HealthLie   bool                     `json:"health_lie"`    // /health reports an idle, ready upstream
	CrashPath   string                   `json:"crash_path"`    // prefix of paths that crash the upstream
}

// coldFactor is how much longer a run takes during a cold start.
const coldFactor = 5

func (b *Behaviour) serviceTime(path string, age time.Duration) time.Duration {
	longest, took := -1, time.Duration(0)
	for prefix, d := range b.ServiceTime {
		if len(prefix) > longest && strings.HasPrefix(path, prefix) {
			longest, took = len(prefix), d
		}
	}
	if age < b.ColdStart {
		took *= coldFactor
	}
	return took
}

func (b *Behaviour) crashes(path string) bool {
	return b.CrashPath != "" && strings.HasPrefix(path, b.CrashPath)
}

// Health is the answer of /health.
type Health struct {
	State    string `json:"state"` // ready, cold or draining
	InFlight int    `json:"in_flight"`
	Slots    int    `json:"slots"`
}

// healthHistory remembers past states, so that /health can lag.
type healthHistory struct {
	mu   sync.Mutex
	past []pastHealth
}

type pastHealth struct {
	at     time.Time
	health Health
}

const healthHistorySize = 4096

func (h *healthHistory) record(now time.Time, state Health) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.past) == healthHistorySize {
		h.past = append(h.past[:0], h.past[healthHistorySize/2:]...)
	}
	h.past = append(h.past, pastHealth{now, state})
}

// before returns the last state recorded at or before t, or the oldest one.
func (h *healthHistory) before(t time.Time) Health {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.past) - 1; i > 0; i-- {
		if !h.past[i].at.After(t) {
			return h.past[i].health
		}
	}
	return h.past[0].health
}
