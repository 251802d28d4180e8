// Package rapidtest holds helpers for the property tests of several packages: fixed
// seeds, the length of histories, and checks that a property finds the faults of
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

// FixSeed sets the seed with which rapid draws cases, so that every run draws the
// same ones. It has to be called from an init function, before the flags are parsed;
// -rapid.seed then overrides it. It panics if rapid's flag does not exist.
func FixSeed(seed uint64) {
	if err := flag.Set("rapid.seed", strconv.FormatUint(seed, 10)); err != nil {
		panic(err)
	}
}

// Steps returns the number of steps of one history. It is the value of the
// environment variable LENTILFLOW_STEPS, which is set for long runs, or defaultSteps
// if the variable is unset, 0 or not a number.
func Steps(defaultSteps int) int {
	n, _ := strconv.Atoi(os.Getenv("LENTILFLOW_STEPS"))
	return cmp.Or(n, defaultSteps)
}

// recorder replaces testing.T for a check that has to fail. It records the failure
// message.
type recorder struct {
	rapid.TB
	message string
}

func (r *recorder) Errorf(format string, args ...any) { r.message += fmt.Sprintf(format, args...) }
func (r *recorder) Logf(string, ...any)               {}
func (r *recorder) FailNow()                          { runtime.Goexit() }
func (r *recorder) Failed() bool                      { return r.message != "" }

// FindViolation runs property up to the given number of times with drawn cases. It
// returns the message of the first violation, "" if there is none. Tests that call it
// must not run in parallel, because it changes the flag -rapid.checks.
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

// RequireNoFault fails t if check returns a fault of the variant for any drawn
// history. check returns "" if it finds none.
func RequireNoFault[V any](t *testing.T, variant V, check func(*rapid.T, V) string) {
	t.Helper()
	rapid.Check(t, func(t *rapid.T) {
		if fault := check(t, variant); fault != "" {
			t.Fatal(fault)
		}
	})
}

// RequireFaultsFound fails t unless check returns the fault of each broken variant
// for at least one drawn history. The keys of broken are the faults.
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
	if len(missed) > 0 { // after the loop, because rapid.Check requires a test that has not failed yet
		t.Fatalf("check did not find the faults of these broken variants: %q", missed)
	}
}
