package gateway

import (
	"fmt"
	"net/http"
	"net/url"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/h1"
)

// benchmarkPrepare measures the preparation of a call, with the header map that it
// changes.
func benchmarkPrepare(b *testing.B, c *config.Configuration, key string) {
	b.Helper()
	holder := config.NewHolder()
	if _, err := holder.Offer(c); err != nil {
		b.Fatal(err)
	}
	g := New(&Gateway{Names: testNames, Config: holder, Budgets: newFullBudgets(1, 1000), Log: zap.NewNop()})
	g.Self.Service = "other"
	target := &url.URL{Path: "/key/x/1"}
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		h := make(http.Header, 8)
		h["X-Id"], h["X-Left"] = []string{"r1"}, []string{"500"}
		h["Accept"], h["User-Agent"], h["Content-Type"] = []string{"*/*"}, []string{"bench"}, []string{"application/json"}
		if key != "" {
			h["Authorization"] = []string{"Bearer " + key}
		}
		c := &call{x: &h1.Exchange{Request: &http.Request{Method: http.MethodGet, Host: "h", URL: target, RequestURI: target.Path, Header: h}, Arrived: now}}
		if r := g.prepare(c); r != nil {
			b.Fatal(r)
		}
	}
}

// BenchmarkPrepare measures the preparation of a call without teams, with the teams of
// the dispatch mesh and with the largest number that is required.
//
//	go test -run - -bench Prepare -count 10 ./pkg/gateway
func BenchmarkPrepare(b *testing.B) {
	for _, teams := range []int{0, 75, 10_000} {
		b.Run(fmt.Sprint("teams=", teams), func(b *testing.B) {
			var names []string
			for i := range teams {
				names = append(names, fmt.Sprintf("team%06d", i))
			}
			key := ""
			if teams > 0 {
				key = testKey(names[teams/2])
			}
			benchmarkPrepare(b, teamConfiguration(1, names...), key)
		})
	}
}
