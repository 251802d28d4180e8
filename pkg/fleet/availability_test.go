package fleet

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/internal/rapidtest"
	"github.com/lentilflow/lentilflow/pkg/model"
)

func init() { rapidtest.FixSeed(43) }

// availabilityVariant holds the methods under test; broken variants replace some.
type availabilityVariant struct {
	serving     func(*View, model.NodeID, bool, time.Time) bool
	unreachable func(*View, model.NodeID, time.Time) bool
	probes      func(*View, time.Time) ([]Member, time.Duration)
}

var correctVariant = availabilityVariant{(*View).SetServing, (*View).SetUnreachable, (*View).Probes}

// expectedState is the state of a node according to the oracle.
type expectedState struct {
	state       model.UpstreamNodeState
	since, last time.Time // start of the unavailability; last probe
	probed      bool
}

// Faults that checkAvailability returns.
const (
	wrongState      = "the state of a node is not the last one announced or observed"
	neverProbed     = "an unavailable node is not probed"
	probedTooOften  = "an unavailable node is probed too often"
	availableProbed = "an available node is probed"
)

// maxStep is the longest pause between two calls of Probes.
const maxStep = 5 * time.Second

// checkAvailability runs one random history and returns the first fault, or "".
func checkAvailability(t *rapid.T, v availabilityVariant) string {
	const nodes = 4
	view, now, revision := viewOf(nodes), time.Unix(1000, 0), follow.Revision(1)
	oracle := map[model.NodeID]*expectedState{}
	for i := range nodes {
		oracle[model.NodeID(fmt.Sprint("n", i))] = &expectedState{}
	}
	for range rapidtest.Steps(120) {
		now = now.Add(rapid.SampledFrom([]time.Duration{0, minProbePause / 6, minProbePause, time.Second, maxStep}).Draw(t, "pause"))
		id := model.NodeID(fmt.Sprint("n", rapid.IntRange(0, nodes-1).Draw(t, "node")))
		k := oracle[id]
		switch rapid.SampledFrom([]string{"serving", "not serving", "unreachable", "row replaced", "wait", "wait"}).Draw(t, "step") {
		case "serving":
			v.serving(view, id, true, now)
			*k = expectedState{}
		case "not serving":
			v.serving(view, id, false, now)
			if k.state != model.NotServing {
				*k = expectedState{state: model.NotServing, since: now}
			}
		case "unreachable":
			v.unreachable(view, id, now)
			if k.state != model.Unreachable {
				*k = expectedState{state: model.Unreachable, since: now}
			}
		case "row replaced": // removed and written again: the node may be another one
			view.Apply(Change{Removed: []model.NodeID{id}, Position: follow.At(revision + 1)}, time.Now())
			view.Apply(Change{Set: []Member{member(string(id), "s")}, Position: follow.At(revision + 2)}, time.Now())
			revision += 2
			*k = expectedState{}
		}
		if fault := checkProbes(view, v, oracle, now); fault != "" {
			return fault
		}
		for _, e := range view.Current().UpstreamNodes("s") {
			if e.State != oracle[e.Node].state {
				return wrongState
			}
		}
	}
	return ""
}

func checkProbes(view *View, v availabilityVariant, oracle map[model.NodeID]*expectedState, now time.Time) string {
	due, _ := v.probes(view, now)
	for _, m := range due {
		k := oracle[m.Node]
		switch {
		case k.state == model.Ready:
			return availableProbed
		case k.probed && now.Sub(k.last) < minProbePause:
			return probedTooOften
		}
		k.last, k.probed = now, true
	}
	for _, k := range oracle {
		last := k.since
		if k.probed {
			last = k.last
		}
		if k.state != model.Ready && now.Sub(last) > maxProbePause+maxStep {
			return neverProbed
		}
	}
	return ""
}

// Guards the state of nodes: it is the one last announced or observed, whatever
// the order of announcements, failed connections and changes of rows. An
// unavailable node is probed, but not all the time.
func TestAvailability(t *testing.T) {
	rapidtest.RequireNoFault(t, correctVariant, checkAvailability)
}

// Checks that checkAvailability detects each broken variant.
func TestAvailabilityCheckDetectsBrokenVariants(t *testing.T) {
	keepsUnreachable, neverProbes, alwaysProbes, probesAll := correctVariant, correctVariant, correctVariant, correctVariant
	keepsUnreachable.serving = func(v *View, id model.NodeID, serving bool, now time.Time) bool {
		return v.SetServing(id, serving && !v.IsUnreachable(id), now)
	}
	neverProbes.probes = func(*View, time.Time) ([]Member, time.Duration) { return nil, 0 }
	alwaysProbes.probes = func(v *View, _ time.Time) (due []Member, next time.Duration) {
		for _, e := range v.Current().UpstreamNodes("s") {
			if e.State != model.Ready {
				due = append(due, v.Current().Members[e.Node])
			}
		}
		return due, next
	}
	probesAll.probes = func(v *View, now time.Time) (due []Member, next time.Duration) {
		for _, m := range v.Current().Members {
			due = append(due, m)
		}
		return due, next
	}
	rapidtest.RequireFaultsFound(t, map[string]availabilityVariant{
		wrongState: keepsUnreachable, neverProbed: neverProbes, probedTooOften: alwaysProbes, availableProbed: probesAll,
	}, checkAvailability)
}
