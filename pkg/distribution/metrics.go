package distribution

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lentilflow/lentilflow/pkg/distribution/wire"
	"github.com/lentilflow/lentilflow/pkg/membership"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// endCause is why a stream from a parent ended; it is a metric label.
type endCause string

// Causes of a stream's end.
const (
	endClosed   endCause = "closed"   // the parent or the link closed it
	endCut      endCause = "cut"      // it ended in the middle of a frame
	endDamaged  endCause = "damaged"  // a frame could not be decoded
	endStale    endCause = "stale"    // no newer heartbeat
	endReturned endCause = "returned" // the node returned to its proper parent
	endTop      endCause = "top"      // the node became the top
	endRefused  endCause = "refused"  // the parent had no room
	endFailed   endCause = "failed"   // the parent could not be reached
)

// Reasons of the dropped-frames metric beside the verdicts.
const (
	dropDamaged  = "damaged"   // digest, delta or check failed
	dropBeat     = "old_beat"  // duplicated or late heartbeat
	dropBadEntry = "bad_entry" // implausible roster entry
)

// scope tells paid traffic apart.
type scope string

const (
	sameRegion  scope = "same_region"
	otherRegion scope = "other_region"
)

type metrics struct {
	reconnects    *prometheus.CounterVec
	dropped       *prometheus.CounterVec
	bytes         *prometheus.CounterVec
	renewals      prometheus.Counter
	losses        prometheus.Counter
	exemptions    prometheus.Counter
	parentChanges prometheus.Counter
	refusals      prometheus.Counter
	sync          prometheus.Counter
}

func newMetrics(r *Relay) *metrics {
	const ns = "lentilflow"
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: ns, Name: name, Help: help})
	}
	vec := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: ns, Name: name, Help: help}, labels)
	}
	m := &metrics{
		reconnects:    vec("stream_reconnects_total", "Ends of the stream from the parent, by cause.", "cause"),
		dropped:       vec("frames_dropped_total", "Frames and entries that were not applied, by reason.", "reason"),
		bytes:         vec("control_bytes_total", "Bytes of control messages including estimated HTTP headers.", "kind", "direction", "scope"),
		renewals:      counter("lease_renewals_total", "Granted renewals of the own lease."),
		losses:        counter("lease_losses_total", "Expiries of the own lease."),
		exemptions:    counter("lease_exemptions_total", "Extensions of the own lease because no granting node can be reached."),
		parentChanges: counter("parent_changes_total", "Changes of the parent."),
		refusals:      counter("stream_refusals_total", "Streams refused because this node has no room."),
		sync:          counter("roster_syncs_total", "Roster comparisons that found a difference."),
	}
	gauge := func(name, help string, f func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: ns, Name: name, Help: help}, f)
	}
	collectors := []prometheus.Collector{
		m.reconnects, m.dropped, m.bytes, m.renewals, m.losses, m.exemptions, m.parentChanges, m.refusals, m.sync,
		gauge("version_in_force", "Number of the version in force.", func() float64 { return float64(r.held().Number) }),
		gauge("as_of_age_seconds", "Age of the knowledge that the version in force is the newest.", func() float64 { return r.age(time.Now()).Seconds() }),
		gauge("stream_children", "Open streams to children.", func() float64 { return float64(r.hub.count()) }),
	}
	for s := model.Ready; s <= model.Gone; s++ {
		collectors = append(collectors, rosterGauge(r.cfg.Roster, s))
	}
	for _, c := range collectors {
		// A second relay on one registerer would share the first one's values;
		// the registration error is worth a log line, not a crash.
		if err := r.cfg.Registerer.Register(c); err != nil {
			r.log.Warn("metric not registered: " + err.Error())
		}
	}
	return m
}

func rosterGauge(roster *membership.Roster, s model.EntryState) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace:   "lentilflow",
		Name:        "roster_entries",
		Help:        "Roster entries by state.",
		ConstLabels: prometheus.Labels{"state": s.String()},
	}, func() float64 { return float64(roster.View().Counts()[s]) })
}

// count adds n bytes of a message kind exchanged with a node of region peer.
func (r *Relay) count(k wire.Kind, direction string, peer model.Region, n int) {
	s := sameRegion
	if peer != "" && peer != r.self.Location.Region {
		s = otherRegion
	}
	r.metrics.bytes.WithLabelValues(string(k), direction, string(s)).Add(float64(n))
}

const (
	sent     = "sent"
	received = "received"
)
