package quota

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

// otherTeams is the label of the teams that have no series of their own.
const otherTeams = "other"

var verdictNames = [verdicts]string{Granted: "granted", Exceeded: "exceeded", Unavailable: "unavailable"}

func describe(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName("lentilflow", "quota", name), help, labels, nil)
}

var (
	requestsDesc  = describe("requests_total", "Requests of teams with a limit at this node, by verdict; the 20 teams with the highest limits, and other.", "team", "verdict")
	weightDesc    = describe("weight", "Share of every limit that this node is entitled to.")
	settledDesc   = describe("settled", "1 if every other node is known to count this one, so that it has its whole share.")
	heldDesc      = describe("held_weight", "Share of the limits that this node holds, by class of teams.", "class")
	asksDesc      = describe("asks_total", "Requests of this node for tokens of a team.")
	sentDesc      = describe("datagrams_sent_total", "Datagrams that this node has sent for quotas.")
	sentBytesDesc = describe("sent_bytes_total", "Bytes of the datagrams that this node has sent for quotas, without headers of UDP and IP.")
	receivedDesc  = describe("datagrams_received_total", "Datagrams for quotas that this node has received.")
	malformedDesc = describe("datagrams_malformed_total", "Datagrams for quotas that were malformed.")
)

// Collector returns the metrics of n. named returns the teams that have series of their
// own.
func (n *Node) Collector(named func() []string) prometheus.Collector { return &collector{n, named} }

type collector struct {
	node  *Node
	named func() []string
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(to chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{requestsDesc, weightDesc, settledDesc, heldDesc, asksDesc, sentDesc, sentBytesDesc, receivedDesc, malformedDesc} {
		to <- d
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(to chan<- prometheus.Metric) {
	n := c.node
	count := func(d *prometheus.Desc, v uint64, labels ...string) {
		to <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
	}
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		to <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	for team, sum := range n.totals(c.named()) {
		for v, name := range verdictNames {
			count(requestsDesc, sum[v], team, name)
		}
	}
	count(asksDesc, n.counters.asks.Load())
	count(sentDesc, n.counters.sent.Load())
	count(sentBytesDesc, n.counters.sentBytes.Load())
	count(receivedDesc, n.counters.received.Load())
	count(malformedDesc, n.counters.malformed.Load())
	n.mu.Lock()
	weight, settled := n.weight, n.census.settled
	n.mu.Unlock()
	gauge(weightDesc, float64(weight)/float64(unit))
	settledValue := 0.0
	if settled {
		settledValue = 1
	}
	gauge(settledDesc, settledValue)
	for class, share := range n.held() {
		gauge(heldDesc, share, strconv.Itoa(class))
	}
}

// totals returns the numbers of decisions of the named teams, and of all others
// together.
func (n *Node) totals(named []string) map[string][verdicts]uint64 {
	sums := make(map[string][verdicts]uint64, len(named)+1)
	for _, name := range append(named, otherTeams) {
		sums[name] = [verdicts]uint64{}
	}
	add := func(name string, counts [verdicts]uint64) {
		if _, ok := sums[name]; !ok {
			name = otherTeams
		}
		sum := sums[name]
		for v := range sum {
			sum[v] += counts[v]
		}
		sums[name] = sum
	}
	n.forEachTeam(func(t *teamState) { add(t.name, t.usage.total) })
	n.counters.mu.Lock()
	defer n.counters.mu.Unlock()
	for name, counts := range n.counters.removed {
		add(name, counts)
	}
	return sums
}

// forEachTeam calls f for each team with its lock held.
func (n *Node) forEachTeam(f func(*teamState)) {
	for i := range n.shards {
		s := &n.shards[i]
		s.mu.RLock()
		for _, t := range s.teams {
			t.mu.Lock()
			f(t)
			t.mu.Unlock()
		}
		s.mu.RUnlock()
	}
}

// held returns the share of the limits that this node holds in each class.
func (n *Node) held() (shares [Classes]float64) {
	now := n.Clock()
	for i := range n.holder.classes {
		c := &n.holder.classes[i]
		c.mu.Lock()
		c.advance(now)
		shares[i] = c.share()
		c.mu.Unlock()
	}
	return shares
}
