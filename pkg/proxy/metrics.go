package proxy

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lentilflow/lentilflow/pkg/admission"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/retry"
)

// Outcomes of calls in metrics and the access log.
const (
	outcomeAnswered = "answered"
	outcomeRefused  = "refused"
	outcomeBroken   = "broken" // the answer was cut off
)

// Events that have a counter of their own.
const (
	eventForgedHeader  = "forged_header"
	eventUnknownToken  = "unknown_chain_token"
	eventConnLimit     = "connection_limit"
	eventCrash         = "upstream_crash"
	eventNotShared     = "crash_notice_not_shared"
	eventClaimUnstored = "claim_not_finished"
	eventClaimHeld     = "claim_not_released"
	eventReplayed      = "answer_replayed"
)

// metrics are the counters of one Proxy. Those of closed lists are resolved
// once, so that they exist from the start and cost no lookup.
type metrics struct {
	calls     *prometheus.CounterVec
	refusals  map[model.Reason]prometheus.Counter
	peer      map[model.Reason]prometheus.Counter
	retries   *prometheus.CounterVec
	verdicts  map[retry.Verdict]prometheus.Counter
	events    map[string]prometheus.Counter
	distances [model.OtherRegion + 1]prometheus.Counter
	added     [admission.Ranks]prometheus.Observer
	queued    [admission.Ranks]prometheus.Observer
	upstream  [admission.Ranks]prometheus.Observer
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		calls:    counter(reg, "calls_total", "Calls taken from callers.", "rank", "rule", "outcome"),
		refusals: map[model.Reason]prometheus.Counter{},
		peer:     map[model.Reason]prometheus.Counter{},
		retries:  counter(reg, "retries_total", "Attempts after the first one, by the reason of the failure before.", "reason"),
		verdicts: map[retry.Verdict]prometheus.Counter{},
		events:   map[string]prometheus.Counter{},
	}
	m.closedLists(reg)
	added := histogram(reg, "added_seconds", "Time until the head of the answer that was spent in nodes, without waiting for a slot.", 50e-6)
	queued := histogram(reg, "queue_seconds", "Time that admitted calls waited for a slot.", 100e-6)
	upstream := histogram(reg, "upstream_seconds", "Time from admission to the head of the upstream's answer.", 500e-6)
	for r := range admission.Ranks {
		label := strconv.Itoa(r)
		m.added[r], m.queued[r], m.upstream[r] = added.WithLabelValues(label), queued.WithLabelValues(label), upstream.WithLabelValues(label)
	}
	return m
}

func (m *metrics) closedLists(reg prometheus.Registerer) {
	refusals := counter(reg, "refusals_total", "Calls refused to callers.", "reason")
	peer := counter(reg, "peer_refusals_total", "Calls refused to other nodes.", "reason")
	for _, r := range model.Reasons() {
		m.refusals[r], m.peer[r] = refusals.WithLabelValues(string(r)), peer.WithLabelValues(string(r))
		m.retries.WithLabelValues(string(r))
	}
	verdicts := counter(reg, "retry_verdicts_total", "Decisions whether to retry.", "verdict")
	for _, v := range retry.Verdicts() {
		m.verdicts[v] = verdicts.WithLabelValues(string(v))
	}
	events := counter(reg, "proxy_events_total", "Events on the path of calls.", "event")
	for _, e := range []string{eventForgedHeader, eventUnknownToken, eventConnLimit, eventCrash,
		eventNotShared, eventClaimUnstored, eventClaimHeld, eventReplayed} {
		m.events[e] = events.WithLabelValues(e)
	}
	distances := counter(reg, "attempts_total", "Attempts by distance of the upstream.", "distance")
	for d, name := range [...]string{"zone", "region", "other_region"} {
		m.distances[d] = distances.WithLabelValues(name)
	}
}

func counter(reg prometheus.Registerer, name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "lentilflow", Name: name, Help: help}, labels)
	reg.MustRegister(c)
	return c
}

// histogram has 16 buckets that double from the smallest one, in seconds.
func histogram(reg prometheus.Registerer, name, help string, smallest float64) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: "lentilflow", Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(smallest, 2, 16),
	}, []string{"rank"})
	reg.MustRegister(h)
	return h
}

// gauges registers the numbers that are read when metrics are collected.
func (p *Proxy) gauges(reg prometheus.Registerer) {
	gauge := func(name, help string, labels prometheus.Labels, f func() float64) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "lentilflow", Name: name, Help: help, ConstLabels: labels,
		}, f))
	}
	gauge("calls_in_flight", "Calls of callers and peers in this node.", nil, func() float64 { return float64(p.inFlight.Load()) })
	gauge("retry_budget_tokens", "Retries that the budget allows now.", nil, p.budget.Level)
	gauge("upstream_slots_limit", "Calls that the upstream may run now.", nil, func() float64 { return float64(p.gate.State().Limit) })
	gauge("upstream_service_seconds", "Mean time of recent calls at the upstream.", nil, func() float64 { return p.gate.State().Service.Seconds() })
	for r := range admission.Ranks {
		labels := prometheus.Labels{"rank": strconv.Itoa(r)}
		gauge("upstream_running", "Calls that the upstream runs.", labels, func() float64 { return float64(p.gate.State().RunningByRank[r]) })
		gauge("upstream_queue_length", "Calls that wait for a slot.", labels, func() float64 { return float64(p.gate.State().WaitingByRank[r]) })
	}
}

// AdmissionState returns the slots and queues of the local upstream.
func (p *Proxy) AdmissionState() admission.State { return p.gate.State() }

func observe(o prometheus.Observer, d time.Duration) { o.Observe(max(d, 0).Seconds()) }
