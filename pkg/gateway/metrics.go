package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/retry"
)

// Metrics are the counters and histograms of calls. They are safe for
// concurrent use.
type Metrics struct {
	responses   *prometheus.CounterVec
	refusals    *prometheus.CounterVec
	verdicts    *prometheus.CounterVec
	faults      *prometheus.CounterVec
	callTime    *prometheus.HistogramVec
	queueTime   *prometheus.HistogramVec
	serviceTime *prometheus.HistogramVec
	sent        prometheus.Counter
	malformed   prometheus.Counter
	statements  *prometheus.CounterVec
	decisions   *prometheus.CounterVec
}

// loadDecision is a decision under heavy load.
type loadDecision string

const (
	decisionReturning loadDecision = "returning_caller"
	decisionInner     loadDecision = "call_of_upstream"
	// decisionQueueLimit is a refusal because of queueLimit.
	decisionQueueLimit loadDecision = "queue_limit"
	// decisionLate is a refusal of a waiting call that has become late.
	decisionLate loadDecision = "late_in_queue"
	// decisionTeamShare is the start of a call before an older one of another team.
	decisionTeamShare loadDecision = "team_share"
)

// loadDecisions returns every decision under heavy load.
func loadDecisions() []loadDecision {
	return []loadDecision{decisionReturning, decisionInner, decisionQueueLimit, decisionLate, decisionTeamShare}
}

// statementKind is what a response states about its upstream.
type statementKind string

const (
	statementLimit   statementKind = "limit"
	statementLeaving statementKind = "leaving"
	statementInvalid statementKind = "invalid_limit"
)

// latencyBuckets are upper bounds in seconds. They range from 1 ms, for calls
// within an availability zone, to 8.2 s, for the longest timeouts.
var latencyBuckets = prometheus.ExponentialBuckets(0.001, 2, 14)

// NewMetrics registers the metrics in r. It panics if one of them is registered
// already.
func NewMetrics(r prometheus.Registerer) *Metrics {
	counter := func(name, help, label string) *prometheus.CounterVec {
		v := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "lentilflow", Name: name, Help: help}, []string{label})
		r.MustRegister(v)
		return v
	}
	histogram := func(name, help string) *prometheus.HistogramVec {
		v := prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "lentilflow", Name: name, Help: help, Buckets: latencyBuckets,
		}, []string{"rank"})
		r.MustRegister(v)
		return v
	}
	m := &Metrics{
		responses:   counter("answers_total", "Answers of upstreams that were delivered to callers, by status class.", "class"),
		refusals:    counter("refusals_total", "Calls that ended without an answer of an upstream, by reason.", "reason"),
		verdicts:    counter("retry_verdicts_total", "Decisions after a failed attempt.", "verdict"),
		faults:      counter("connection_faults_total", "Requests that ended before they were handled.", "fault"),
		callTime:    histogram("call_seconds", "From the arrival of a call to its whole answer."),
		queueTime:   histogram("queue_seconds", "Wait for a slot of the upstream."),
		serviceTime: histogram("upstream_seconds", "From admission to the head of the upstream's answer."),
		sent: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "lentilflow", Name: "upstream_requests_total", Help: "Requests sent to the upstream, without health checks.",
		}),
		malformed: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "lentilflow", Name: "upstream_malformed_responses_total", Help: "Responses of the upstream that violate the HTTP grammar.",
		}),
		statements: counter("upstream_statements_total", "Responses that state something about their upstream, by kind.", "statement"),
		decisions:  counter("load_decisions_total", "Decisions that differ from those without heavy load, by decision.", "decision"),
	}
	r.MustRegister(m.sent, m.malformed)
	for _, d := range loadDecisions() {
		m.decisions.WithLabelValues(string(d))
	}
	for _, k := range []statementKind{statementLimit, statementLeaving, statementInvalid} {
		m.statements.WithLabelValues(string(k))
	}
	for _, r := range model.Reasons() { // export every reason, also at 0
		m.refusals.WithLabelValues(string(r))
	}
	for _, v := range retry.Verdicts() {
		m.verdicts.WithLabelValues(string(v))
	}
	return m
}

// rankLabels avoid a conversion for each observation.
var rankLabels = func() (labels [model.MaxRank + 1]string) {
	for i := range labels {
		labels[i] = strconv.Itoa(i)
	}
	return labels
}()

func (m *Metrics) observeQueueTime(r model.Rank, d time.Duration) {
	m.queueTime.WithLabelValues(rankLabels[min(r, model.MaxRank)]).Observe(d.Seconds())
}

func (m *Metrics) observeServiceTime(r model.Rank, d time.Duration) {
	m.serviceTime.WithLabelValues(rankLabels[min(r, model.MaxRank)]).Observe(d.Seconds())
}

func (m *Metrics) observeCall(r model.Rank, status int, d time.Duration) {
	m.responses.WithLabelValues(strconv.Itoa(status/100) + "xx").Inc()
	m.callTime.WithLabelValues(rankLabels[min(r, model.MaxRank)]).Observe(d.Seconds())
}

func (m *Metrics) countRequestSent() { m.sent.Inc() }
func (m *Metrics) countMalformed()   { m.malformed.Inc() }
func (m *Metrics) countLoadDecision(d loadDecision) {
	m.decisions.WithLabelValues(string(d)).Inc()
}
func (m *Metrics) countStatement(k statementKind) { m.statements.WithLabelValues(string(k)).Inc() }

func (m *Metrics) countRefusal(r model.Reason)  { m.refusals.WithLabelValues(string(r)).Inc() }
func (m *Metrics) countVerdict(v retry.Verdict) { m.verdicts.WithLabelValues(string(v)).Inc() }
func (m *Metrics) countFault(f string)          { m.faults.WithLabelValues(f).Inc() }
