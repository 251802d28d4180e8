package mesh

import (
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// Usage is what a deployment used during an interval. Rates are a second.
type Usage struct {
	Node         map[model.NodeID]NodeUsage
	Between      float64 // bytes/s between regions, messages of nodes
	StoreBetween float64 // bytes/s between regions, requests to the store
	Reads        float64 // of the store
	Writes       float64
	Refused      int64 // by the store, in all
}

// NodeUsage is the usage of one node. Bytes count both directions.
type NodeUsage struct {
	Processor float64 // share of a core
	Resident  float64 // bytes at the end
	Bytes     float64 // control bytes a second, sent and received
}

// Measure reads usage while during runs. Nodes that are restarted meanwhile
// are left out of the readings of nodes.
func (m *Mesh) Measure(during func()) (Usage, error) {
	nodes := m.Alive()
	before, err := readAll(nodes, true)
	if err != nil {
		return Usage{}, err
	}
	store, between, reads, at := m.Store.Counters(), m.Peers.Bytes(), m.Reads.Bytes(), time.Now()
	during()
	seconds := time.Since(at).Seconds()
	u := Usage{
		Node:         make(map[model.NodeID]NodeUsage),
		Between:      float64(m.Peers.Bytes()-between) / seconds,
		StoreBetween: float64(m.Reads.Bytes()-reads) / seconds,
	}
	now := m.Store.Counters()
	u.Reads, u.Writes = perSecond(now.Reads-store.Reads, seconds), perSecond(now.Writes-store.Writes, seconds)
	u.Refused = now.Refused - store.Refused
	after, err := readAll(nodes, false)
	if err != nil {
		return u, err
	}
	for id, b := range before {
		if a, ok := after[id]; ok && a.Running >= b.Running && a.Resident > 0 {
			u.Node[id] = usageOf(b, a, seconds)
		}
	}
	return u, nil
}

func perSecond(n int64, seconds float64) float64 { return float64(n) / seconds }

func usageOf(before, after Reading, seconds float64) NodeUsage {
	const name = "lentilflow_control_bytes_total"
	return NodeUsage{
		Processor: (after.Running - before.Running) / seconds,
		Resident:  after.Resident,
		Bytes:     (after.Metrics.Sum(name) - before.Metrics.Sum(name)) / after.At.Sub(before.At).Seconds(),
	}
}

// readAll reads every node; those that cannot be read at the end are left out.
func readAll(nodes []*Node, first bool) (map[model.NodeID]Reading, error) {
	all := make([]Reading, len(nodes))
	errs := make([]error, len(nodes))
	var g errgroup.Group
	g.SetLimit(8)
	for i, n := range nodes {
		g.Go(func() error {
			all[i], errs[i] = n.Read(first)
			return nil
		})
	}
	_ = g.Wait() // errs keeps the errors
	out := make(map[model.NodeID]Reading)
	for i, n := range nodes {
		if errs[i] == nil {
			out[n.ID] = all[i]
		} else if first {
			return nil, errs[i]
		}
	}
	return out, nil
}

// Values returns one value of each node.
func (u Usage) Values(of func(NodeUsage) float64) []float64 {
	var out []float64
	for _, n := range u.Node {
		out = append(out, of(n))
	}
	return out
}
