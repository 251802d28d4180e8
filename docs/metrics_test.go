package docs_test

import (
	"os"
	"regexp"
	"slices"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/node"
	"github.com/lentilflow/lentilflow/pkg/settings"
)

var (
	documented = regexp.MustCompile("(?m)^\\| `(lentilflow_[a-z_]+)` \\|")
	described  = regexp.MustCompile(`fqName: "(lentilflow_[a-z_]+)"`)
)

// Guards against a metric that a node exports and the page for operators does
// not explain, and against one on the page that no longer exists.
func TestMetricsPageNamesEveryMetric(t *testing.T) {
	page, err := os.ReadFile("operations/watching.md")
	if err != nil {
		t.Fatal(err)
	}
	named := names(documented, string(page))
	registered := registeredMetrics(t)
	if len(registered) < 10 {
		t.Fatalf("only %d metrics are registered", len(registered))
	}
	for _, name := range registered {
		if !slices.Contains(named, name) {
			t.Errorf("%s is not in docs/operations/watching.md", name)
		}
	}
	for _, name := range named {
		if !slices.Contains(registered, name) {
			t.Errorf("docs/operations/watching.md names %s, which no node exports", name)
		}
	}
}

// registeredMetrics returns the names that a node registers, also of metrics
// that have no value yet.
func registeredMetrics(t *testing.T) []string {
	t.Helper()
	s := settings.Default()
	s.Node, s.Region, s.AvailabilityZone, s.Regions = "n", "r", "z", []string{"r"}
	s.Listeners = settings.Listeners{Calls: "127.0.0.1:0", Peer: "127.0.0.1:0", Admin: "127.0.0.1:0"}
	s.Upstream.Service, s.Upstream.Address, s.Upstream.Slots, s.Upstream.Connections = "s", "127.0.0.1:1", 1, 1
	s.Platform.Tables, s.Platform.Objects = "http://127.0.0.1:1", "http://127.0.0.1:1"
	registry := prometheus.NewRegistry()
	if _, err := node.New(node.Config{Settings: &s, Log: zap.NewNop(), Registry: registry}); err != nil {
		t.Fatal(err)
	}
	descriptions := make(chan *prometheus.Desc)
	go func() {
		registry.Describe(descriptions)
		close(descriptions)
	}()
	var text string
	for d := range descriptions {
		text += d.String() + "\n"
	}
	return names(described, text)
}

// names returns the first group of every match, sorted and without repeats.
func names(pattern *regexp.Regexp, text string) []string {
	var all []string
	for _, m := range pattern.FindAllStringSubmatch(text, -1) {
		all = append(all, m[1])
	}
	slices.Sort(all)
	return slices.Compact(all)
}
