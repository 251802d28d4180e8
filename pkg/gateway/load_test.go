package gateway

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// Guards against calls of upstreams that wait behind new calls, and against callers
// without a key that overtake others.
func TestCallsOfUpstreamsAreMostUrgent(t *testing.T) {
	const ms = time.Millisecond
	route := func(name string, public bool, target time.Duration) config.Route {
		return config.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Rank: 2, Weight: 3, MaxAttempts: 1, Public: public, TargetLatency: target,
			Split: []config.Share{{Service: "s", Weight: 1}},
		}
	}
	snapshot, err := config.Compile(&config.Configuration{
		Version: 1, Services: []config.Service{{Name: "s"}},
		Routes: []config.Route{
			route("lookup", false, 500*ms), route("audit", false, 2500*ms), route("untimed", false, 0),
			route("tariff", true, 150*ms), route("news", true, 400*ms), route("untimed-news", true, 0),
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	g := &Gateway{Load: LoadPolicy{InnerFirst: true}, Metrics: NewMetrics(prometheus.NewRegistry())}
	for _, name := range []string{"lookup", "audit", "untimed", "tariff", "news", "untimed-news"} {
		r, _ := snapshot.Match("GET", "h", "/"+name+"/")
		wantRank, wantWeight := model.Rank(2), 3
		if name == "tariff" {
			wantRank, wantWeight = 0, 3*innerWeight
		}
		if rank, weight := g.urgency(r, r.Rank); rank != wantRank || weight != wantWeight {
			t.Errorf("%s: rank %d, weight %d, want %d and %d", name, rank, weight, wantRank, wantWeight)
		}
		g.Load.InnerFirst = false
		if rank, weight := g.urgency(r, r.Rank); rank != 2 || weight != 3 {
			t.Errorf("%s, switched off: rank %d, weight %d", name, rank, weight)
		}
		g.Load.InnerFirst = true
	}
}
