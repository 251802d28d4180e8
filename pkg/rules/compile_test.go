package rules

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lentilflow/lentilflow/examples"
	"github.com/lentilflow/lentilflow/pkg/config"
)

// Guards against a node that routes a call by another rule than the one that
// "lentilctl explain" shows.
func TestConfigurationDecidesAsExplained(t *testing.T) {
	for name, text := range map[string][]byte{"bertolucci": examples.Bertolucci, "haneul": examples.Haneul} {
		f, faults := Parse(name, text)
		is.New(t).Equal(len(faults), 0)
		s, err := config.Compile(f.Configuration(1))
		is.New(t).NoErr(err)
		var hosts, paths []string
		for _, r := range f.Rules {
			hosts = append(hosts, r.Match.Host)
			paths = append(paths, r.Match.Path, r.Match.Path+"/x", r.Match.Path+"x", r.Match.Path+"/../x", r.Match.Path+"//")
		}
		rapid.Check(t, func(t *rapid.T) {
			method := rapid.SampledFrom(Methods).Draw(t, "method")
			host := rapid.SampledFrom(hosts).Draw(t, "host")
			path := rapid.SampledFrom(paths).Draw(t, "path")
			want := Explain(f, method, host, path).Winner
			got, ok := s.Match(method, host, path)
			if ok != (want != nil) || ok && got.Name != want.Name {
				t.Fatalf("%s %s%s: the node uses route %v, Explain returns rule %v", method, host, path, got, want)
			}
		})
	}
}
