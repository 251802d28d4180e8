package main

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/test/bench/internal/mesh"
)

const (
	roleProxy = "proxy"
	callTime  = 6 * time.Second
	callers   = 32 // connections
)

// way is the part that a node has in a call.
type way struct {
	quantity string
	rule     int // of the called service; the node of service 0 takes the calls
	node     int // that is measured
}

// proxyRole measures two nodes of one zone: calls that the first one answers
// from its own upstream, and calls that it sends to the second one.
func proxyRole(ctx context.Context, f *flags, p *page) error {
	const rules = 1000
	m, err := mesh.Start(ctx, mesh.Config{Binary: f.Binary, Zones: mesh.Zones()[:1], Nodes: 2, Rules: mesh.Rules(rules, 0)})
	if err != nil {
		return err
	}
	defer m.Stop()
	time.Sleep(joinTime / 2)
	ways := []way{{"call to the upstream of the same VM", 0, 0}, {"call sent to another node, at the node that takes it", 1, 0}, {"call sent to another node, at the node beside the upstream", 1, 1}}
	want := []float64{60, 240, 960}
	rates := make([][]float64, len(ways))
	cpu := make([][]float64, len(ways))
	allocations := make([][]float64, len(ways))
	for _, rate := range want {
		for rule := range 2 {
			r, usage, allocated, err := callRate(ctx, m, rule, rate)
			if err != nil {
				return err
			}
			for i, w := range ways {
				if w.rule == rule {
					id := m.Nodes[w.node].ID
					rates[i] = append(rates[i], r)
					cpu[i] = append(cpu[i], usage.Node[id].Processor*100)
					allocations[i] = append(allocations[i], allocated[id]/callTime.Seconds())
				}
			}
		}
	}
	// Each call is taken by one node and runs beside one upstream, spread evenly.
	const each = float64(targetCalls) / targetNodes
	var lines []Line
	for i, w := range ways {
		lines = append(lines, p.line(roleProxy, "processor, "+w.quantity, "% of a core", "calls/s", each, 0, rates[i], cpu[i]))
		p.line(roleProxy, "allocations, "+w.quantity, "1/s", "calls/s", each, 0, rates[i], allocations[i])
	}
	both := func(rate float64) float64 { return lines[1].At(rate) + lines[2].At(rate) }
	p.sum(roleProxy, "processor, idle use twice included", "% of a core", both(each), 0,
		"57 calls/s taken and 57 calls/s run by each node, each sent to another node; 160,000 calls/s count every level of depth")
	p.sum(roleProxy, "processor with every call 7 deep, idle use twice included", "% of a core", both(7*each), 0,
		"400 calls/s taken and 400 calls/s run by each node; 160,000 calls/s count the first level only")
	return nil
}

// callRate sends calls at a rate through the first node and returns the rate
// reached, the usage and the allocations of both nodes.
func callRate(ctx context.Context, m *mesh.Mesh, rule int, rate float64) (float64, mesh.Usage, map[model.NodeID]float64, error) {
	const mallocs = "go_memstats_mallocs_total"
	allocated := map[model.NodeID]float64{}
	var done, failed int64
	var u mesh.Usage
	for _, n := range m.Nodes {
		r, err := n.Read(true)
		if err != nil {
			return 0, u, nil, err
		}
		allocated[n.ID] = r.Metrics.Sum(mallocs)
	}
	u, err := m.Measure(func() { done, failed = load(ctx, m.Nodes[0].Calls, mesh.Path(rule), rate) })
	if err != nil {
		return 0, u, nil, err
	}
	for _, n := range m.Nodes {
		r, err := n.Read(false)
		if err != nil {
			return 0, u, nil, err
		}
		allocated[n.ID] = r.Metrics.Sum(mallocs) - allocated[n.ID]
	}
	if failed > 0 {
		return 0, u, nil, merry.Errorf("%d of %d calls at %.0f/s failed", failed, done+failed, rate)
	}
	return float64(done) / callTime.Seconds(), u, allocated, nil
}

// load sends calls for callTime and returns how many were answered 200 and how
// many not.
func load(ctx context.Context, address, path string, rate float64) (int64, int64) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	transport := &http.Transport{MaxIdleConnsPerHost: callers}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 5 * time.Second}
	var done, failed atomic.Int64
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() {
			interval := time.Duration(float64(callers) / rate * float64(time.Second))
			next := time.Now().Add(interval * time.Duration(i) / callers)
			for ctx.Err() == nil {
				time.Sleep(time.Until(next))
				next = next.Add(interval)
				if get(client, "http://"+address+path) {
					done.Add(1)
				} else {
					failed.Add(1)
				}
			}
		})
	}
	all.Wait()
	return done.Load(), failed.Load()
}

func get(client *http.Client, url string) bool {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	req.Host = mesh.Host
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}
