package distribution

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/lentilflow/lentilflow/pkg/distribution/wire"
)

// controlBytes returns the bytes of one kind that a node sent and received.
func controlBytes(n *meshNode, k wire.Kind) float64 {
	sum := 0.0
	for _, direction := range []string{sent, received} {
		for _, s := range []scope{sameRegion, otherRegion} {
			sum += testutil.ToFloat64(n.metrics.bytes.WithLabelValues(string(k), direction, string(s)))
		}
	}
	return sum
}

// BenchmarkBytes measures control bytes, sent and received, of a relay with 8
// children: of one change of one line (B/change), and of each period without
// changes: heartbeat frames of 9 streams (B/stream), 9 lease renewals (B/beat),
// roster comparisons (B/sync) and probes (B/state). B/s-idle adds them up at the
// periods of production.
func BenchmarkBytes(b *testing.B) {
	m := newMesh(b)
	publisher := m.add("n-0", "a1")
	publisher.publisher.Store(true)
	m.eventually(5*time.Second, "started", publisher.Settled)
	m.accept(publisher, version(1))
	for i := range 18 {
		m.add(fmt.Sprintf("n-%d", i+1), "a1")
		time.Sleep(2 * time.Millisecond)
	}
	m.eventually(10*time.Second, "children", func() bool { return m.nodes[1].hub.count() == 8 })
	relay := m.nodes[1]
	m.eventually(10*time.Second, "rosters complete", m.all(m.nodes, knows(19)))
	v := 1
	for b.Loop() {
		v++
		m.accept(publisher, version(v))
		m.eventually(5*time.Second, "all at the new version", m.all(m.nodes, atVersion(publisher.held().Number)))
	}
	b.ReportMetric(controlBytes(relay, wire.Version)/float64(v), "B/change")
	kinds := []wire.Kind{wire.Stream, wire.Beat, wire.Sync, wire.State}
	before, began := make(map[wire.Kind]float64), time.Now()
	for _, k := range kinds {
		before[k] = controlBytes(relay, k)
	}
	time.Sleep(3 * time.Second)
	rate := 0.0 // bytes a second with the periods of production
	for _, k := range kinds {
		period := map[wire.Kind]time.Duration{wire.Stream: quick.Beat, wire.Beat: quick.Renew, wire.Sync: quick.Sync, wire.State: quick.Sync}[k]
		full := map[wire.Kind]time.Duration{wire.Stream: 2 * time.Second, wire.Beat: 3 * time.Second, wire.Sync: 10 * time.Second, wire.State: 10 * time.Second}[k]
		bytes := (controlBytes(relay, k) - before[k]) / (time.Since(began).Seconds() / period.Seconds())
		b.ReportMetric(bytes, "B/"+string(k))
		rate += bytes / full.Seconds()
	}
	b.ReportMetric(rate, "B/s-idle")
}
