package test

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/lentilflow/lentilflow/pkg/standin/ratecheck"
	"github.com/lentilflow/lentilflow/pkg/standin/upstream"
)

// checkSoak compares responses with runs and returns a text for each violation.
func checkSoak(observations []observed, runs []upstream.Run, drainTimes map[string]time.Time) (violations []string) {
	runCount := make(map[string]int)
	for _, r := range runs {
		runCount[r.ID]++
		if at, ok := drainTimes[r.Boot]; ok && r.Start.Sub(at) > soakDrainLimit {
			violations = append(violations, fmt.Sprintf("request %s began at boot %s %s after its drain was acknowledged", r.ID, r.Boot, r.Start.Sub(at)))
		}
	}
	lastVersion := make(map[string]uint64)
	for _, o := range observations {
		n := runCount[o.id]
		switch {
		case o.nonIdempotent && n > 1:
			violations = append(violations, fmt.Sprintf("non-idempotent request %s ran %d times", o.id, n))
		case n > 3:
			violations = append(violations, fmt.Sprintf("idempotent request %s ran %d times, its route allows 3", o.id, n))
		case o.refused() && n > 0:
			violations = append(violations, fmt.Sprintf("request %s was answered %d, which states that it has not run, but it ran", o.id, o.status))
		case o.status == http.StatusOK && (!o.served() || n == 0):
			violations = append(violations, fmt.Sprintf("request %s was answered 200 with body %q after %d runs", o.id, o.body, n))
		case o.status == http.StatusNotFound:
			violations = append(violations, fmt.Sprintf("request %s was answered 404, but every version has its route", o.id))
		}
		if !o.sameProcess || o.header == nil {
			continue
		}
		v, err := strconv.ParseUint(o.header.Get("Lentilflow-Version"), 10, 64)
		key := fmt.Sprint(o.node, o.nonIdempotent, o.changesKeys, o.generation) // one caller, which sends one request after the other
		if err != nil {
			continue
		}
		if v < lastVersion[key] {
			violations = append(violations, fmt.Sprintf("node %s went back from version %d to %d", o.node, lastVersion[key], v))
		}
		lastVersion[key] = v
	}
	slices.SortFunc(violations, cmp.Compare[string])
	return violations
}

// checkLimits returns a text for each boot that got more requests than the users
// permit under the rate limit that it states.
func checkLimits(runs []upstream.Run, limits map[string]statedLimit) (violations []string) {
	for boot, l := range limits {
		got := mostRuns(runs, boot, l.since.Add(ratecheck.SettleTime))
		if permitted := ratecheck.Permitted(l.rate); got > permitted {
			violations = append(violations, fmt.Sprintf("boot %s, which states %g requests per second, got %d in %s, permitted %d", boot, l.rate, got, ratecheck.Window, permitted))
		}
	}
	return violations
}

// checkLeaving returns a text for each request that ran at a boot although its
// node had forwarded a response of that boot which states that it leaves, more
// than soakDrainLimit before the request was sent. A restart of the node in
// between excuses it.
func checkLeaving(observations []observed, runs []upstream.Run) (violations []string) {
	type process struct {
		node       string
		generation int64
		boot       string
	}
	known := make(map[process]time.Time)
	for _, o := range observations {
		if o.header.Get("Server-Leaving") == "" || !o.sameProcess {
			continue
		}
		p := process{o.node, o.generation, o.header.Get("X-Instance-Id")}
		if first, ok := known[p]; !ok || o.receivedAt.Before(first) {
			known[p] = o.receivedAt
		}
	}
	boots := make(map[string][]string)
	for _, r := range runs {
		boots[r.ID] = append(boots[r.ID], r.Boot)
	}
	for _, o := range observations {
		for _, boot := range boots[o.id] {
			if at, ok := known[process{o.node, o.generation, boot}]; ok && o.sentAt.Sub(at) > soakDrainLimit {
				violations = append(violations, fmt.Sprintf("request %s ran at boot %s, %s after node %s knew that it leaves", o.id, boot, o.sentAt.Sub(at), o.node))
			}
		}
	}
	return violations
}

// Guards checkLeaving: it detects a request that was sent too late to a boot that
// leaves, unless its node has restarted or it went to another boot.
func TestLeavingCheckDetectsViolations(t *testing.T) {
	now := time.Now()
	states := observed{
		response: response{id: "1", header: http.Header{"Server-Leaving": {"1"}, "X-Instance-Id": {"a"}}}, node: "n", generation: 2, sameProcess: true, receivedAt: now,
	}
	later := func(after time.Duration, generation int64) observed {
		return observed{response: response{id: "2"}, node: "n", generation: generation, sentAt: now.Add(after)}
	}
	for name, c := range map[string]struct {
		later      observed
		boot       string
		violations int
	}{
		"in time":      {later(soakDrainLimit, 2), "a", 0},
		"too late":     {later(soakDrainLimit+time.Millisecond, 2), "a", 1},
		"restarted":    {later(time.Hour, 4), "a", 0},
		"another boot": {later(time.Hour, 2), "b", 0},
	} {
		if v := checkLeaving([]observed{states, c.later}, []upstream.Run{{ID: "2", Boot: c.boot}}); len(v) != c.violations {
			t.Errorf("%s: %q, want %d", name, v, c.violations)
		}
	}
}

// Guards checkLimits: it detects one request too many, and ignores those before
// the limit is known.
func TestLimitCheckDetectsViolations(t *testing.T) {
	now := time.Now()
	limits := map[string]statedLimit{"a": {rate: 2, since: now.Add(-ratecheck.SettleTime)}}
	var runs []upstream.Run
	for i := range ratecheck.Permitted(2) {
		runs = append(runs, upstream.Run{Boot: "a", Start: now.Add(time.Duration(i+1) * time.Millisecond)}, upstream.Run{Boot: "a", Start: now.Add(-time.Second)})
	}
	if v := checkLimits(runs, limits); len(v) != 0 {
		t.Errorf("permitted requests are reported: %q", v)
	}
	if v := checkLimits(append(runs, upstream.Run{Boot: "a", Start: now.Add(time.Second)}), limits); len(v) != 1 {
		t.Errorf("one request too many is not reported: %q", v)
	}
}

// Guards the checks of TestSoak: each detects the violation that it is meant for.
func TestSoakChecksDetectViolations(t *testing.T) {
	now := time.Now()
	run := func(id, boot string, after time.Duration) upstream.Run {
		return upstream.Run{ID: id, Boot: boot, Start: now.Add(after)}
	}
	got := func(id string, status int, body string, version string) observed {
		return observed{
			response: response{id: id, status: status, body: body, header: http.Header{"Lentilflow-Version": {version}}}, node: "n", sameProcess: true,
		}
	}
	nonIdempotent := func(o observed) observed {
		o.nonIdempotent = true
		return o
	}
	for name, c := range map[string]struct {
		observations []observed
		runs         []upstream.Run
		violations   int
	}{
		"sound":            {[]observed{got("1", 200, "ran 1", "3"), nonIdempotent(got("2", 503, "", "3"))}, []upstream.Run{run("1", "a", 0)}, 0},
		"sound drain":      {[]observed{got("1", 200, "ran 1", "3")}, []upstream.Run{run("1", "gone", soakDrainLimit)}, 0},
		"lost response":    {[]observed{nonIdempotent(got("1", 0, "", ""))}, []upstream.Run{run("1", "a", 0)}, 0},
		"ran twice":        {[]observed{nonIdempotent(got("1", 200, "ran 1", "3"))}, []upstream.Run{run("1", "a", 0), run("1", "b", 0)}, 1},
		"ran too often":    {[]observed{got("1", 200, "ran 1", "3")}, []upstream.Run{run("1", "a", 0), run("1", "b", 0), run("1", "a", 1), run("1", "b", 1)}, 1},
		"untrue":           {[]observed{got("1", 503, "", "3")}, []upstream.Run{run("1", "a", 0)}, 1},
		"foreign":          {[]observed{got("1", 200, "ran 2", "3")}, []upstream.Run{run("1", "a", 0)}, 1},
		"broken off":       {[]observed{got("1", 200, "ran", "3")}, []upstream.Run{run("1", "a", 0)}, 1},
		"made up":          {[]observed{got("1", 200, "ran 1", "3")}, nil, 1},
		"dropped route":    {[]observed{got("1", 404, "", "3")}, nil, 1},
		"went back":        {[]observed{got("1", 503, "", "3"), got("2", 503, "", "2")}, nil, 1},
		"left and running": {nil, []upstream.Run{run("1", "gone", soakDrainLimit+time.Millisecond)}, 1},
	} {
		if violations := checkSoak(c.observations, c.runs, map[string]time.Time{"gone": now}); len(violations) != c.violations {
			t.Errorf("%s: %q, want %d", name, violations, c.violations)
		}
	}
}
