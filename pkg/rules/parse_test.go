package rules

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/text"
)

const (
	validService = "service a slots=4 connections=9 # Ana\n"
	validRule    = "rule r path=/p service=a rank=1 deadline=1s idempotent=yes # Ana: why\n"
)

// Guards against a field that is stored in the wrong place or has another
// default than the documentation says.
func TestParseValuesAndDefaults(t *testing.T) {
	is := is.New(t)
	f, faults := Parse("f", []byte("\n# heading\n"+validService+"\trule r2 method=PUT,GET host=h.example path=/p/q service=a rank=0 target=50ms floor=30% worth=3 deadline=1.5s idempotent=no retries=2 inflight=7 prefer=any # asked by  Jo  Silva : late: bad\n"+validRule))
	is.Equal(faults, nil)
	is.Equal(f.Services, []model.Service{{Name: "a", Slots: 4, Connections: 9, AskedBy: "Ana", Line: 3}})
	is.Equal(f.Rules, []model.Rule{{
		Name: "r2", Match: model.Match{Methods: []string{"GET", "PUT"}, Host: "h.example", Path: "/p/q"}, Service: "a",
		LatencyTarget: 50 * time.Millisecond, Floor: 30, Weight: 3, Deadline: 1500 * time.Millisecond, Retries: 2, MaxInFlight: 7,
		Prefer: model.PreferAny, AskedBy: "Jo Silva", Reason: "late: bad", Line: 4,
	}, {
		Name: "r", Match: model.Match{Host: "*", Path: "/p"}, Service: "a", Rank: 1, Weight: 1, Deadline: time.Second,
		Idempotent: true, Prefer: model.PreferZone, AskedBy: "Ana", Reason: "why", Line: 5,
	}})
}

// Guards against an invalid value that is accepted, or reported at the wrong
// line or field.
func TestParseRejectsInvalidFiles(t *testing.T) {
	rule := func(changes ...string) string { return strings.NewReplacer(changes...).Replace(validRule) }
	moreRule := func(name, fields string) string {
		return "rule " + name + " service=a deadline=1s idempotent=yes " + fields + " # B\n"
	}
	for _, c := range []struct {
		name, text, field, want string
		line                    int
	}{
		{"empty file", "# only a comment\n", "", "no statement", 1},
		{"unknown statement", validService + "route r # B\n", "", "unknown statement", 2},
		{"unknown field", validService + rule("rank=1", "rank=1 speed=9"), "", "unknown field", 2},
		{"field twice", validService + rule("rank=1", "rank=1 rank=1"), "rank", "stated twice", 2},
		{"no field form", validService + rule("rank=1", "rank=1 urgent"), "", "form field=value", 2},
		{"missing field", validService + rule("rank=1", ""), "rank", "does not state", 2},
		{"missing slots", "service a connections=9 # Ana\n", "slots", "does not state", 1},
		{"no name", validService + rule("rule r", "rule"), "name", "no name", 2},
		{"upper-case name", validService + rule("rule r", "rule R"), "name", "not accepted", 2},
		{"long name", validService + rule("rule r", "rule "+strings.Repeat("x", 64)), "name", "not accepted", 2},
		{"duplicate rule", validService + validRule + rule("/p", "/q"), "name", "already declared in line 2", 3},
		{"duplicate service", validService + validService, "name", "already declared in line 1", 2},
		{"undeclared service", validService + rule("service=a", "service=b"), "service", "not declared", 2},
		{"same match", validService + validRule + rule("rule r", "rule r2"), "path", "same as in line 2", 3},
		{"same method list", validService + moreRule("x", "rank=1 path=/ method=GET,PUT") + moreRule("y", "rank=1 path=/ method=PUT,GET"), "path", "same as in line 2", 3},
		{"floors above 100", validService + moreRule("x", "rank=1 path=/x floor=60%") + moreRule("y", "rank=2 path=/y floor=41%"), "floor", "101%", 3},
		{"floors differ", validService + moreRule("x", "rank=1 path=/x floor=10%") + moreRule("y", "rank=1 path=/y"), "floor", "differs", 3},
		{"target above deadline", validService + rule("rank=1", "rank=1 target=2s"), "target", "longer than the deadline", 2},
		{"relative path", validService + rule("/p", "p"), "path", "not accepted", 2},
		{"reserved path", validService + rule("/p", "/.lentilflow/v1"), "path", "not accepted", 2},
		{"reserved prefix", validService + rule("/p", "/.lentilflow"), "path", "not accepted", 2},
		{"dot segment", validService + rule("/p", "/a/../p"), "path", "not accepted", 2},
		{"trailing slash", validService + rule("/p", "/p/"), "path", "not accepted", 2},
		{"escaped path", validService + rule("/p", "/%70"), "path", "not accepted", 2},
		{"host with port", validService + rule("rank=1", "rank=1 host=h:80"), "host", "not accepted", 2},
		{"upper-case host", validService + rule("rank=1", "rank=1 host=H"), "host", "not accepted", 2},
		{"unknown method", validService + rule("rank=1", "rank=1 method=GET,BREW"), "method", "not accepted", 2},
		{"method twice", validService + rule("rank=1", "rank=1 method=GET,GET"), "method", "not accepted", 2},
		{"rank 8", validService + rule("rank=1", "rank=8"), "rank", "not accepted", 2},
		{"signed rank", validService + rule("rank=1", "rank=+1"), "rank", "not accepted", 2},
		{"no unit", validService + rule("1s", "100"), "deadline", "not accepted", 2},
		{"zero deadline", validService + rule("1s", "0s"), "deadline", "not accepted", 2},
		{"part of a millisecond", validService + rule("1s", "1.5ms"), "deadline", "not accepted", 2},
		{"long deadline", validService + rule("1s", "601s"), "deadline", "not accepted", 2},
		{"leading zero", validService + rule("rank=1", "rank=01"), "rank", "not accepted", 2},
		{"no percent sign", validService + rule("rank=1", "rank=1 floor=10"), "floor", "not accepted", 2},
		{"idempotent maybe", validService + rule("=yes", "=maybe"), "idempotent", "not accepted", 2},
		{"six retries", validService + rule("rank=1", "rank=1 retries=6"), "retries", "not accepted", 2},
		{"unknown preference", validService + rule("rank=1", "rank=1 prefer=near"), "prefer", "not accepted", 2},
		{"no comment", validService + rule("# Ana: why", ""), "comment", "no person", 2},
		{"reason only", validService + rule("Ana", ""), "comment", "no person", 2},
		{"nobody", validService + rule("Ana", "asked by"), "comment", "no person", 2},
		{"ticket number", validService + rule("Ana", "4711"), "comment", "no person", 2},
		{"not UTF-8", validService + rule("why", "\xff"), "", "UTF-8", 2},
		{"carriage return", validService + rule("why", "why\r"), "", "control", 2},
		{"hidden override", validService + rule("why", "\u202ewhy"), "", "control", 2},
		{"long line", validService + rule("why", strings.Repeat("w", MaxLine)), "", "bytes", 2},
		{"large file", strings.Repeat("\n", MaxSize+1), "", "bytes", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f, faults := Parse("f.rules", []byte(c.text))
			is.True(f == nil)
			is.Equal(len(faults), 1) // one cause gives one fault
			got := faults[0]
			is.Equal([]any{got.File, got.Line, got.Field}, []any{"f.rules", c.line, c.field})
			is.True(strings.Contains(got.Message, c.want)) // message
			is.True(got.Accepted != "")
		})
	}
}

// Guards against a check that stops at the first fault, reports faults out of
// line order or reports an unlimited number of them.
func TestParseReportsAllFaults(t *testing.T) {
	is := is.New(t)
	_, faults := Parse("f", []byte("rule X path=p rank=9 # 1\n"+validRule+"bad\n"))
	got := ""
	for _, f := range faults {
		got += fmt.Sprintf("%d%s ", f.Line, f.Field)
	}
	is.Equal(got, "1name 1path 1rank 1service 1deadline 1idempotent 1comment 2service 3 ")

	_, faults = Parse("f", []byte(strings.Repeat("bad\n", 1000)))
	is.Equal(len(faults), MaxFaults)

	// The declaration is after the last line that is read.
	_, faults = Parse("f", []byte(validRule+strings.Repeat("bad\n", MaxFaults)+validService))
	is.Equal(faults[0].Line, 2)
}

// Guards against example files that the documented grammar rejects.
func TestParseExamples(t *testing.T) {
	for _, name := range []string{"bertolucci", "haneul"} {
		is := is.New(t)
		text, err := os.ReadFile("../../examples/" + name + ".rules")
		is.NoErr(err)
		f, faults := Parse(name, text)
		is.Equal(faults, nil)
		is.Equal(len(f.Services), 3)
		is.True(len(f.Rules) >= 9)
	}
}

// Guards against panics, missing results and missing accepted values on random
// input made of pieces of the grammar.
func TestParseNeverPanics(t *testing.T) {
	pieces := rapid.OneOf(rapid.SampledFrom([]string{
		"rule ", "service ", "r ", "a ", "path=/ ", "path=", "service=a ", "rank=1 ", "floor=50% ", "floor=%", "deadline=1s ",
		"idempotent=no ", "method=GET,", "host=[", "host=[::1] ", "# Ana: x\n", "#", "\n", "=", " ", "slots=1 ", "connections=1 ",
		"rule r service=a ", "service a slots=1 connections=1 # Ana\n", validService + validRule,
	}), rapid.String())
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(pieces, 10, 60).Draw(t, "pieces"), "")
		f, faults := Parse("f", []byte(text))
		if (f == nil) != (len(faults) > 0) || len(faults) > MaxFaults {
			t.Fatalf("file %v with %d faults", f, len(faults))
		}
		for _, x := range faults {
			if x.Line < 1 || x.Message == "" || x.Accepted == "" {
				t.Fatalf("incomplete fault %+v", x)
			}
		}
	})
}

// Guards against files that are accepted but too large to be stored.
func TestSizeLimitsAgree(t *testing.T) {
	is := is.New(t)
	is.Equal(MaxSize, text.MaxSize)
}
