package recovery

import (
	"cmp"
	"iter"
	"os"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
)

// modelSeeds returns the number of histories that are played. LENTILFLOW_SEEDS sets
// another one for long runs.
func modelSeeds() uint64 {
	n, _ := strconv.ParseUint(os.Getenv("LENTILFLOW_SEEDS"), 10, 64)
	return cmp.Or(n, 60)
}

// historyFault plays the histories of seeds, and returns the first fault and its seed.
func historyFault(t *testing.T, variant modelVariant, seeds iter.Seq[uint64]) (fault string, seed uint64) {
	t.Helper()
	for seed = range seeds {
		synctest.Test(t, func(*testing.T) { fault = checkHistory(seed, variant) })
		if fault != "" {
			break
		}
	}
	return fault, seed
}

// modelSeedRange returns the seeds from 0 to modelSeeds()-1.
func modelSeedRange(yield func(uint64) bool) {
	for seed := range modelSeeds() {
		if !yield(seed) {
			return
		}
	}
}

// regressionSeeds are played in every run. In their histories a node and the holders of
// a departure end together, and nodes that have restarted were taken for holders that
// have lost nothing.
var regressionSeeds = []uint64{393, 1423, 1506, 2194, 2915, 3161}

// Guards against a boot that is used again after its departure was acknowledged, in
// any order of acknowledgements, ends and starts of processes, late reports and outages
// of the store; and against a boot that stays out of use.
func TestAcknowledgedDeparturesSurviveRestarts(t *testing.T) {
	for _, seeds := range []iter.Seq[uint64]{slices.Values(regressionSeeds), modelSeedRange} {
		if fault, seed := historyFault(t, modelVariant{}, seeds); fault != "" {
			t.Fatalf("seed %d: %s", seed, fault)
		}
	}
}

// Checks that checkHistory detects a product that holds departures in the memory of
// their process only, and one that trusts reports right after a start.
func TestHistoryCheckDetectsBrokenVariants(t *testing.T) {
	for _, variant := range []modelVariant{{unsaved: true}, {trusting: true}} {
		if fault, _ := historyFault(t, variant, modelSeedRange); fault != usedAfterDeparture {
			t.Errorf("%+v: found %q, want %q", variant, fault, usedAfterDeparture)
		}
	}
}
