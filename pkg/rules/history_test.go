package rules

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/model"
)

func mustParse(t *testing.T, text string) *File {
	t.Helper()
	f, faults := Parse("f", []byte(text))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return f
}

// Guards against changes that Diff misses, and against shifted lines that it
// reports as changes.
func TestDiff(t *testing.T) {
	is := is.New(t)
	before := mustParse(t, validService+validRule+"rule old path=/o service=a rank=1 deadline=1s idempotent=yes # Bo\n")
	after := mustParse(t, "# moved\n"+validService+strings.Replace(validRule, "rank=1", "rank=0 target=5ms", 1)+"rule new path=/n service=a rank=1 deadline=1s idempotent=yes # Cy\n")
	var got []string
	for _, c := range Diff(before, after) {
		got = append(got, fmt.Sprint(c.Line, " ", c))
	}
	is.Equal(got, []string{
		"3 changed rule r: rank 1 -> 0, target none -> 5ms (asked by Ana)",
		"4 added rule new (asked by Cy)",
		"3 removed rule old (asked by Bo)",
	})
	is.Equal(len(Diff(after, after)), 0)
	is.Equal(len(Diff(nil, after)), 3)
}

// Guards against lines that are attributed to the wrong version or person
// after insertions, edits, moves and removals.
func TestBlame(t *testing.T) {
	is := is.New(t)
	history := []VersionText{
		{Number: 1, Text: []byte("a # Ana\nb # Bo\n\nc # Cy\n")},
		{Number: 2, Text: []byte("x # Di\na # Ana\nb2 # Bo\n\nc # Cy\n")},
		{Number: 5, Text: []byte("x # Di\nc # Cy: why\na # Ana\n# only\nb2 # Bo")},
	}
	var got []string
	for _, l := range Blame(history) {
		got = append(got, fmt.Sprintf("%d:%d:%s:%s", l.Line, l.Number, l.AskedBy, l.Text))
	}
	is.Equal(got, []string{"1:2:Di:x # Di", "2:5:Cy:c # Cy: why", "3:1:Ana:a # Ana", "4:5::# only", "5:2:Bo:b2 # Bo"})
	is.Equal(len(Blame(nil)), 0)
}

// Guards against an explanation whose winner or reason differs from the
// documented precedence.
func TestExplain(t *testing.T) {
	is := is.New(t)
	rest := " service=a rank=1 deadline=1s idempotent=yes # Ana\n"
	f := mustParse(t, validService+"rule any path=/"+rest+"rule long path=/p/q"+rest+"rule listed method=GET,PUT path=/p/q"+rest+
		"rule later method=GET path=/p/q"+rest+"rule host host=h.example path=/p"+rest)
	names := func(e Explanation) string {
		s := ""
		if e.Winner != nil {
			s = e.Winner.Name
		}
		for _, l := range e.Others {
			s += "; " + l.Rule.Name + ": " + l.Reason
		}
		return s
	}
	is.Equal(names(Explain(f, "GET", "o.example", "/p/q/r")),
		"listed; any: the path of listed is longer; long: listed lists the method, long has method=*; later: listed comes first in the file, in line 4")
	is.Equal(names(Explain(f, "PUT", "H.example:80", "/p/q")),
		"host; any: host states the host, any has host=*; long: host states the host, long has host=*; listed: host states the host, listed has host=*")
	is.True(strings.Contains(Explain(f, "GET", "h", "/a//b").Message, "empty or dot segment"))
	is.Equal(Explain(&File{Rules: []model.Rule{}}, "GET", "h", "/").Message, `no rule matches method "GET", host "h" and path "/"`)
}
