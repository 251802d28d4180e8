package distribution

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/membership"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/platform"
)

// Config is what a Relay needs. Roster and Holder are required.
type Config struct {
	Roster  *membership.Roster
	Holder  *Holder
	Table   platform.Table   // may be nil or down
	Objects platform.Objects // may be nil or down
	Seeds   []string         // peer addresses (host:port) to join through

	Log        *zap.Logger           // nil discards
	Registerer prometheus.Registerer // nil keeps the metrics private
	Transport  http.RoundTripper     // nil means a transport of its own

	// IsPublisher reports whether this process holds the publisher lease at
	// the moment. Nil means never.
	IsPublisher func() bool
	// AsOf returns when the publisher last knew its version to be the newest.
	// Nil means the moment of each heartbeat.
	AsOf func() time.Time
	// RecentCallers returns the nodes that recently sent calls here; a drain
	// is announced to them directly. Nil means none.
	RecentCallers func() []model.NodeID

	Timing Timing
}

// Timing holds the periods of the relay. Zero fields take the defaults of the
// design page; tests shorten them.
type Timing struct {
	Beat         time.Duration // between heartbeats of the source, 2 s
	Stale        time.Duration // without a newer heartbeat before the parent is changed, 6 s
	Renew        time.Duration // between lease renewals, 3 s
	Sync         time.Duration // between anti-entropy rounds, 10 s
	Watch        time.Duration // between looks at the watched nodes, 500 ms
	Batch        time.Duration // collection of roster changes before they are sent, 20 ms
	Request      time.Duration // limit of a request between nodes, 1 s
	Store        time.Duration // limit of the start-up read of the store, 2 s
	Return       time.Duration // before a node returns to its proper parent, 30-90 s
	ReturnRoot   time.Duration // the same for roots and over inter-region links, 2-6 s
	WriteTimeout time.Duration // limit of one write to a child, 5 s
}

func (t Timing) withDefaults() Timing {
	set := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	set(&t.Beat, 2*time.Second)
	set(&t.Stale, 6*time.Second)
	set(&t.Renew, membership.RenewInterval)
	set(&t.Sync, 10*time.Second)
	set(&t.Watch, 500*time.Millisecond)
	set(&t.Batch, 20*time.Millisecond)
	set(&t.Request, time.Second)
	set(&t.Store, 2*time.Second)
	set(&t.Return, 30*time.Second)
	set(&t.ReturnRoot, 2*time.Second)
	set(&t.WriteTimeout, 5*time.Second)
	return t
}

// Limits of a relay.
const (
	maxChildren      = 64 // streams; further nodes are sent to others
	maxAlternatives  = 8  // candidates named in a refusal
	maxDrainNotices  = 32 // recent callers that are told of a drain directly
	maxParallelCalls = 32 // probes or notices in flight
)

func (c Config) withDefaults() Config {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Registerer == nil {
		c.Registerer = prometheus.NewRegistry()
	}
	if c.IsPublisher == nil {
		c.IsPublisher = func() bool { return false }
	}
	if c.AsOf == nil {
		c.AsOf = time.Now
	}
	if c.RecentCallers == nil {
		c.RecentCallers = func() []model.NodeID { return nil }
	}
	c.Timing = c.Timing.withDefaults()
	if c.Transport == nil {
		c.Transport = newTransport(c.Timing.Request)
	}
	return c
}
