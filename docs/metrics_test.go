package docs_test

import (
	"os"
	"regexp"
	"slices"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/agent"
	"github.com/lentilflow/lentilflow/pkg/logging"
	"github.com/lentilflow/lentilflow/pkg/settings"
	"github.com/lentilflow/lentilflow/platform"
)

var (
	documentedMetric = regexp.MustCompile("(?m)^\\| `(lentilflow_[a-z_]+)` \\|")
	registeredMetric = regexp.MustCompile(`fqName: "(lentilflow_[a-z_]+)"`)
)

// Guards against a metric that a node exports and docs/OPERATIONS.md does not
// list, and against a listed metric that no longer exists.
func TestOperationsPageListsEveryMetric(t *testing.T) {
	page, err := os.ReadFile("OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	documentedNames := findNames(documentedMetric, string(page))
	registered := registeredMetrics()
	if len(registered) < 10 {
		t.Fatalf("a node registers %d metrics, want at least 10", len(registered))
	}
	for _, name := range registered {
		if !slices.Contains(documentedNames, name) {
			t.Errorf("%s is not in docs/OPERATIONS.md", name)
		}
	}
	for _, name := range documentedNames {
		if !slices.Contains(registered, name) {
			t.Errorf("docs/OPERATIONS.md lists %s, which no node exports", name)
		}
	}
}

// registeredMetrics returns the names of all metrics that a node registers,
// including those without a value yet.
func registeredMetrics() []string {
	s := settings.Default()
	s.Store.Address, s.Upstream.Address = "127.0.0.1:1", "127.0.0.1:2"
	registry := prometheus.NewRegistry()
	logging.New(logging.NewWriter(os.Stdout), zap.NewAtomicLevel(), registry)
	agent.New(agent.Config{
		Settings: &s, Log: zap.NewNop(), Metrics: registry, Platform: platform.New(&s, registry, zap.NewNop()),
	})
	descriptions := make(chan *prometheus.Desc)
	go func() {
		registry.Describe(descriptions)
		close(descriptions)
	}()
	var text string
	for d := range descriptions {
		text += d.String() + "\n"
	}
	return findNames(registeredMetric, text)
}

// findNames returns the first submatch of each match of pattern in text, sorted
// and without duplicates.
func findNames(pattern *regexp.Regexp, text string) []string {
	var all []string
	for _, m := range pattern.FindAllStringSubmatch(text, -1) {
		all = append(all, m[1])
	}
	slices.Sort(all)
	return slices.Compact(all)
}
