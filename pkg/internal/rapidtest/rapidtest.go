// Package rapidtest holds what the property tests of several packages share:
// fixed seeds, the length of histories, and the search for violations in
// deliberately broken variants.
package rapidtest

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// FixSeed makes every run draw the same cases; -rapid.seed overrides it. It is
// called from an init function, before the flags are parsed.
func FixSeed(seed uint64) {
	if err := flag.Set("rapid.seed", strconv.FormatUint(seed, 10)); err != nil {
		panic(err)
	}
}

// Steps returns the length of one history: usual, or LENTILFLOW_STEPS for long
// runs.
func Steps(defaultSteps int) int {
	n, _ := strconv.Atoi(os.Getenv("LENTILFLOW_STEPS"))
	return cmp.Or(n, defaultSteps)
}

// recorder takes the place of testing.T for a check that has to fail.
type recorder struct {
	rapid.TB
	message string
}

func (r *recorder) Errorf(format string, args ...any) { r.message += fmt.Sprintf(format, args...) }
func (r *recorder) Logf(string, ...any)               {}
func (r *recorder) FailNow()                          { runtime.Goexit() }
func (r *recorder) Failed() bool                      { return r.message != "" }

// Find returns the message of the first violation within the given number of
// checks, "" if there is none.
func FindViolation(t *testing.T, checks int, property func(*rapid.T)) string {
	t.Helper()
	value := flag.Lookup("rapid.checks").Value
	defer func(before string) { _ = value.Set(before) }(value.String())
	_ = value.Set(strconv.Itoa(checks))
	r := &recorder{TB: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(r, property)
	}()
	<-done
	message, _, _ := strings.Cut(r.message, "To reproduce")
	t.Log(message)
	return message
}

// Hold fails t if check returns a fault of a variant for any drawn history.
func RequireNoFault[V any](t *testing.T, variant V, check func(*rapid.T, V) string) {
	t.Helper()
	rapid.Check(t, func(t *rapid.T) {
		if fault := check(t, variant); fault != "" {
			t.Fatal(fault)
		}
	})
}

// MustNotice fails t unless check returns the fault of each broken variant for
// at least one drawn history. The keys of broken are the faults.
func RequireFaultsFound[V any](t *testing.T, broken map[string]V, check func(*rapid.T, V) string) {
	t.Helper()
	var missed []string
	for want, variant := range broken {
		seen := false
		rapid.Check(t, func(t *rapid.T) { seen = seen || check(t, variant) == want })
		if !seen {
			missed = append(missed, want)
		}
	}
	if len(missed) > 0 { // rapid accepts no test that has failed already
		t.Fatalf("broken variants were not noticed: %q", missed)
	}
}
