package routing

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/rules"
)

// Guards against a method that a rule can list but the index does not hold.
func TestMethodCount(t *testing.T) {
	is := is.New(t)
	is.Equal(len(rules.Methods), methodCount)
}

// Guards against snapshots with routes to services that the file lacks.
func TestCompileRefuses(t *testing.T) {
	is := is.New(t)
	_, err := Compile(model.VersionInfo{}, &rules.File{Rules: []model.Rule{{Name: "r", Service: "a"}}})
	is.True(errors.Is(err, ErrUndeclared))
	_, err = Compile(model.VersionInfo{}, nil)
	is.True(errors.Is(err, ErrNoFile))
}

// Guards against floors that get lost or land at another rank or service.
func TestServiceFloors(t *testing.T) {
	is := is.New(t)
	s := compile(t, "service a slots=4 connections=9 # A\nservice b slots=5 connections=9 # A\n"+
		"rule x path=/x service=a rank=0 floor=30% deadline=1s idempotent=yes # A\n"+
		"rule y path=/y service=a rank=7 floor=70% deadline=1s idempotent=yes # A\n")
	a, ok := s.Service("a")
	is.True(ok)
	is.Equal(a.Slots, 4)
	is.Equal(a.Floors, [8]int{0: 30, 7: 70})
	x, ok := s.Rule("x")
	is.True(ok && x.Service == a)
	b, _ := s.Service("b")
	is.Equal(b.Floors, [8]int{})
	_, ok = s.Service("c")
	is.Equal(ok, false)
}

// Guards against calls to the messages between nodes, against paths that an
// upstream may normalise, and against prefixes that end within a segment.
func TestMatchBoundaries(t *testing.T) {
	s := compile(t, "service a slots=4 connections=9 # A\n"+
		"rule all path=/ service=a rank=0 deadline=1s idempotent=yes # A\n"+
		"rule p path=/p service=a rank=0 deadline=1s idempotent=yes # A\n"+
		"rule six host=[::1] path=/ service=a rank=0 deadline=1s idempotent=yes # A\n")
	for _, c := range []struct{ host, path, want string }{
		{"h", "/", "all"}, {"h", "/p", "p"}, {"h", "/p/", "p"}, {"h", "/p/q", "p"}, {"h", "/pq", "all"}, {"", "/p", "p"},
		{"[::1]:80", "/p", "six"}, {"[::1]", "/p", "six"}, {strings.Repeat("h", 300), "/p", "p"},
		{"h", "", ""}, {"h", "*", ""}, {"h", "p", ""}, {"h", "//p", ""}, {"h", "/p//q", ""}, {"h", "/q/../p", ""}, {"h", "/./p", ""},
		{"h", "/.lentilflow", ""}, {"h", "/.lentilflow/v1/join", ""}, {"h", "/.lentilflower", "all"},
	} {
		r, ok := s.Match("GET", c.host, c.path)
		if ok != (c.want != "") || ok && r.Rule.Name != c.want {
			t.Errorf("host %q path %q: got %v", c.host, c.path, r)
		}
	}
}

// Guards against an index that decides otherwise than the documented order
// of precedence, and against explanations that differ from the index.
func TestMatchAgainstLinearSearch(t *testing.T) {
	hosts := rapid.SampledFrom([]string{"*", "a.example", "b.example"})
	path := rapid.Custom(func(t *rapid.T) string {
		return "/" + strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "ab"}), 0, 4).Draw(t, "segments"), "/")
	})
	methods := rapid.SampledFrom([]string{"*", "GET", "POST", "GET,POST", "GET,HEAD"})
	rapid.Check(t, func(t *rapid.T) {
		text, seen := "service s slots=1 connections=1 # A\n", map[string]bool{}
		for i := range rapid.IntRange(1, 25).Draw(t, "rules") {
			m := fmt.Sprintf("method=%s host=%s path=%s", methods.Draw(t, "method"), hosts.Draw(t, "host"), path.Draw(t, "path"))
			if !seen[m] {
				text += fmt.Sprintf("rule r%d %s service=s rank=1 deadline=1s idempotent=yes # A\n", i, m)
			}
			seen[m] = true
		}
		f, faults := rules.Parse("f", []byte(text))
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		s, err := Compile(model.VersionInfo{}, f)
		if err != nil {
			t.Fatal(err)
		}
		for range 20 {
			method := rapid.SampledFrom([]string{"GET", "POST", "HEAD", "PUT", "PURGE"}).Draw(t, "call method")
			host := rapid.SampledFrom([]string{"a.example", "A.Example:80", "b.example.", "c.example"}).Draw(t, "call host")
			p := path.Draw(t, "call path")
			want := linear(f.Rules, method, host, p)
			got := ""
			if r, ok := s.Match(method, host, p); ok {
				got = r.Rule.Name
			}
			explained := ""
			if w := rules.Explain(f, method, host, p).Winner; w != nil {
				explained = w.Name
			}
			if got != want || explained != want {
				t.Fatalf("%s %s %s: snapshot %q, explanation %q, linear search %q in\n%s", method, host, p, got, explained, want, text)
			}
		}
	})
}

// linear returns the name of the best rule by a score of its own.
func linear(all []model.Rule, method, host, path string) string {
	host = strings.TrimSuffix(strings.TrimSuffix(strings.ToLower(host), ":80"), ".")
	best, name := -1, ""
	for _, r := range all {
		score := 2 * len(r.Match.Path)
		if r.Match.Host == host {
			score += 1000
		} else if r.Match.Host != "*" {
			continue
		}
		if !strings.HasPrefix(strings.TrimSuffix(path, "/")+"/", strings.TrimSuffix(r.Match.Path, "/")+"/") {
			continue
		}
		if list := strings.Join(r.Match.Methods, ","); list != "" {
			if !strings.Contains(","+list+",", ","+method+",") {
				continue
			}
			score++
		}
		if score > best {
			best, name = score, r.Name
		}
	}
	return name
}

func compile(t testing.TB, text string) *Snapshot {
	t.Helper()
	f, faults := rules.Parse("f", []byte(text))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	s, err := Compile(model.VersionInfo{Number: 1}, f)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// manyRules returns a file with 140 services and the given number of rules.
func manyRules(count int) string {
	var b strings.Builder
	for i := range 140 {
		fmt.Fprintf(&b, "service s%d slots=15 connections=130 # Ana Prado\n", i)
	}
	for i := range count {
		fmt.Fprintf(&b, "rule r%d method=GET,POST host=h%d.example path=/v1/things/t%d service=s%d rank=%d deadline=1s idempotent=yes # Marina Costa\n", i, i%20, i, i%140, i%8)
	}
	return b.String()
}

// Guards against allocations on the path of every call.
func TestMatchDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	s := compile(t, manyRules(1000))
	is.Equal(testing.AllocsPerRun(100, func() { s.Match("POST", "H19.example:8080", "/v1/things/t999/parts/7") }), 0.0)
}

func BenchmarkMatch(b *testing.B) {
	for _, count := range []int{10, 1000, 5000} {
		s := compile(b, manyRules(count))
		path := fmt.Sprintf("/v1/things/t%d/parts/7", count-1)
		host := fmt.Sprintf("h%d.example:8080", (count-1)%20)
		b.Run(fmt.Sprintf("services=140/rules=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := s.Match("POST", host, path); !ok {
					b.Fatal("no match")
				}
			}
		})
	}
}

func BenchmarkCompile(b *testing.B) {
	text := []byte(manyRules(1000))
	b.ReportAllocs()
	for b.Loop() {
		f, _ := rules.Parse("f", text)
		if _, err := Compile(model.VersionInfo{}, f); err != nil {
			b.Fatal(err)
		}
	}
}
