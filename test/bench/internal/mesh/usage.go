package mesh

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/test/bench/internal/report"
)

// Usage is what a deployment used during an interval, a second.
type Usage struct {
	Node          map[model.NodeID]NodeUsage
	Between       float64 // bytes between regions, messages of nodes
	StoreBetween  float64 // bytes between regions, requests to the store
	Reads, Writes float64 // of the store
}

// NodeUsage is the usage of one node.
type NodeUsage struct {
	Processor   float64 // percent of a core
	Resident    float64 // MB at the end
	Bytes       float64 // control bytes a second, sent and received
	Allocations float64 // a second
}

// reading is what a process has used since its start.
type reading struct {
	at                          time.Time // of the metrics
	processor, resident         float64   // seconds, bytes
	control, remote, allocation float64
}

// Measure reads usage while during runs. Processes that end or start meanwhile
// are left out of Node.
func (m *Mesh) Measure(during func()) Usage {
	nodes := m.Alive()
	before, after := make([]reading, len(nodes)), make([]reading, len(nodes))
	// Metrics are read outside the interval of processor time, because
	// answering them costs the node some.
	report.Each(len(nodes), 8, func(i int) {
		report.Must(nodes[i].readMetrics(&before[i]))
		report.Must(nodes[i].readProcess(&before[i]))
	})
	store, between, reads, at := m.Store.Counters(), m.Peers.Bytes(), m.Reads.Bytes(), time.Now()
	during()
	seconds, now := time.Since(at).Seconds(), m.Store.Counters()
	u := Usage{
		Node:         make(map[model.NodeID]NodeUsage),
		Between:      (m.Peers.Bytes() - between) / seconds,
		StoreBetween: (m.Reads.Bytes() - reads) / seconds,
		Reads:        float64(now.Reads-store.Reads) / seconds,
		Writes:       float64(now.Writes-store.Writes) / seconds,
	}
	report.Each(len(nodes), 8, func(i int) {
		if nodes[i].readProcess(&after[i]) != nil || nodes[i].readMetrics(&after[i]) != nil {
			after[i] = reading{} // the process has ended
		}
	})
	for i, n := range nodes {
		if a, b := after[i], before[i]; a.processor >= b.processor {
			elapsed := a.at.Sub(b.at).Seconds()
			u.Node[n.ID] = NodeUsage{
				Processor: (a.processor - b.processor) / seconds * 100, Resident: a.resident / 1e6,
				Bytes: (a.control - b.control) / elapsed, Allocations: (a.allocation - b.allocation) / elapsed,
			}
		}
	}
	return u
}

// VersionBytes returns the bytes of version frames that nodes have sent to
// other regions so far, by their own counters.
func (m *Mesh) VersionBytes() (sum float64) {
	for _, n := range m.Alive() {
		var r reading
		report.Must(n.readMetrics(&r))
		sum += r.remote
	}
	return sum
}

// ControlBytes returns the control bytes that the process has sent and received
// since its start.
func (n *Node) ControlBytes() float64 {
	var r reading
	report.Must(n.readMetrics(&r))
	return r.control
}

// Values returns one value of each node.
func (u Usage) Values(of func(NodeUsage) float64) (out []float64) {
	for _, n := range u.Node {
		out = append(out, of(n))
	}
	return out
}

// readMetrics reads the counters that the node exposes in the text format of
// Prometheus.
func (n *Node) readMetrics(r *reading) error {
	resp, err := client.Get("http://" + n.Admin + "/metrics")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue // a comment
		}
		metric, labels, _ := strings.Cut(name, "{")
		switch metric {
		case "lentilflow_control_bytes_total":
			r.control += v
			if labels == `direction="sent",kind="version",scope="other_region"}` {
				r.remote += v
			}
		case "go_memstats_mallocs_total":
			r.allocation = v
		}
	}
	r.at = time.Now()
	return lines.Err()
}

// readProcess sums the run time of all threads, which the kernel keeps in
// nanoseconds; the figures for the whole process have a grain of 10 ms.
func (n *Node) readProcess(r *reading) error {
	n.mu.Lock()
	dir := fmt.Sprintf("/proc/%d/", n.cmd.Process.Pid)
	n.mu.Unlock()
	threads, err := filepath.Glob(dir + "task/*/schedstat")
	if err != nil || len(threads) == 0 {
		return merry.Errorf("process of node %s cannot be read", n.ID)
	}
	for _, name := range threads {
		text, err := os.ReadFile(name)
		if err != nil {
			continue // the thread has ended
		}
		ns, _ := strconv.ParseFloat(strings.Fields(string(text))[0], 64)
		r.processor += ns / 1e9
	}
	text, err := os.ReadFile(dir + "statm")
	if err != nil {
		return err
	}
	pages, err := strconv.ParseFloat(strings.Fields(string(text))[1], 64)
	r.resident = pages * float64(os.Getpagesize())
	return err
}
