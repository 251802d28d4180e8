package config

import (
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func route(name, host, prefix string) Route {
	return Route{Name: name, Host: host, Prefix: prefix, MaxAttempts: 1, Split: []Share{{"s", 1}}}
}

func configuration(routes ...Route) *Configuration {
	return &Configuration{Version: 1, Services: []Service{{Name: "s"}, {Name: "t"}}, Routes: routes}
}

// Guards the precedence of routes.
func TestMatch(t *testing.T) {
	post := route("post", "h", "/a/")
	post.Methods = []string{"POST"}
	segments := route("segments", "h", "/seg/")
	segments.MatchSegments = true
	s, err := Compile(configuration(
		route("a", "h", "/a/"), post, route("ab", "h", "/a/b/"), segments, route("any", AnyHost, "/"),
	))
	is.New(t).NoErr(err)
	for _, c := range []struct{ method, host, path, name string }{
		{"GET", "h", "/a/x", "a"},
		{"POST", "h", "/a/x", "post"},
		{"GET", "H:80", "/a/b/c", "ab"},
		{"GET", "h", "/a", "any"}, // the prefix ends with a slash
		{"GET", "h", "/seg", "segments"},
		{"GET", "h", "/seg/../x", "any"},
		{"GET", "other", "/zzz", "any"},
	} {
		got, ok := s.Match(c.method, c.host, c.path)
		if !ok || got.Name != c.name {
			t.Errorf("%s %s%s: got %v, want %s", c.method, c.host, c.path, got, c.name)
		}
	}
}

// Guards against a longest-prefix search that misses a prefix. It is compared
// with a linear search through all routes.
func TestMatchFindsLongestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefix := rapid.StringMatching(`/([ab]{1,2}/){0,3}`)
		seen := map[string]bool{}
		var routes []Route
		for _, p := range rapid.SliceOfN(prefix, 0, 8).Draw(t, "prefixes") {
			if !seen[p] {
				routes = append(routes, route("r"+p, "h", p))
				seen[p] = true
			}
		}
		s, err := Compile(configuration(routes...))
		if err != nil {
			t.Fatal(err)
		}
		path := prefix.Draw(t, "path") + rapid.StringMatching(`[ab]{0,2}`).Draw(t, "rest")
		longest := ""
		for p := range seen {
			if strings.HasPrefix(path, p) && len(p) > len(longest) {
				longest = p
			}
		}
		got, ok := s.Match("GET", "h", path)
		if ok != (longest != "") || ok && got.Prefix != longest {
			t.Fatalf("path %s: got %v, want %q", path, got, longest)
		}
	})
}

// Guards the traffic split: in every sequence of calls, from any starting point,
// the number of calls of a share differs from its weight by 4 calls at most.
func TestChooseServiceKeepsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := rapid.IntRange(1, 99).Draw(t, "weight")
		r := route("r", "h", "/")
		r.Split = []Share{{"s", first}, {"t", 100 - first}}
		s, err := Compile(configuration(r))
		if err != nil {
			t.Fatal(err)
		}
		state, _ := s.Match("GET", "h", "/")
		calls := rapid.IntRange(50, 500).Draw(t, "calls")
		got := 0
		for range calls {
			if state.ChooseService() == "s" {
				got++
			}
		}
		const allowed = 4 // discrepancy of the sequence, in calls
		if want := float64(calls*first) / 100; math.Abs(float64(got)-want) > allowed {
			t.Fatalf("service s got %d of %d calls, want %.1f", got, calls, want)
		}
	})
}

// Guards against a configuration that is applied in part. Any fault rejects it
// as a whole, and the previous one stays in force.
func TestFaultyConfigurationIsRejectedWhole(t *testing.T) {
	for name, invalidate := range map[string]func(*Configuration){
		"version":         func(c *Configuration) { c.Version = 0 },
		"unknown service": func(c *Configuration) { c.Routes[1].Split[0].Service = "nobody" },
		"no host":         func(c *Configuration) { c.Routes[1].Host = "" },
		"prefix":          func(c *Configuration) { c.Routes[1].Prefix = "/x" },
		"no weight":       func(c *Configuration) { c.Routes[1].Split[0].Weight = 0 },
		"negative weight": func(c *Configuration) { c.Routes[1].Split[0].Weight = -1 },
		"no service":      func(c *Configuration) { c.Routes[1].Split = nil },
		"no attempt":      func(c *Configuration) { c.Routes[1].MaxAttempts = 0 },
		"duplicate":       func(c *Configuration) { c.Routes[1].Prefix = "/a/" },
		"negative time":   func(c *Configuration) { c.Routes[1].Timeout = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := NewHolder()
			accepted, err := h.Offer(configuration(route("old", "h", "/old/")))
			is.NoErr(err)
			is.True(accepted)
			next := configuration(route("a", "h", "/a/"), route("b", "h", "/b/"))
			next.Version = 2
			invalidate(next)
			accepted, err = h.Offer(next)
			is.True(!accepted)
			if next.Version > 1 {
				is.True(err != nil)
			}
			is.Equal(h.Version(), Version(1))
		})
	}
}

// Guards against the return of an older version within the life of a process.
// Versions come from the store and from other nodes in any order.
func TestVersionsOnlyRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewHolder()
		highest := Version(0)
		for _, v := range rapid.SliceOfN(rapid.Uint64Range(1, 9), 1, 30).Draw(t, "versions") {
			c := configuration(route("r", "h", "/"))
			c.Version = Version(v)
			accepted, err := h.Offer(c)
			if err != nil {
				t.Fatal(err)
			}
			if accepted != (c.Version > highest) {
				t.Fatalf("version %d after %d: accepted %v", c.Version, highest, accepted)
			}
			highest = max(highest, c.Version)
			if h.Version() != highest {
				t.Fatalf("version %d is in force, want %d", h.Version(), highest)
			}
		}
	})
}

// Guards the limit on a route's calls in flight.
func TestTryAcquireBoundsCallsInFlight(t *testing.T) {
	is := is.New(t)
	r := route("r", "h", "/")
	r.MaxInFlight = 1
	s, err := Compile(configuration(r))
	is.NoErr(err)
	state, _ := s.Match("GET", "h", "/")
	is.True(state.TryAcquire())
	is.True(!state.TryAcquire())
	state.Release()
	is.True(state.TryAcquire())
}
