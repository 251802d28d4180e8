// Play compares policies in the scenarios of pkg/play. For each policy it prints the
// means over a number of seeds: the worth without prices, and the earned shares of
// the two worst windows, of the worst request kind and of downloads.
//
//	go run ./tools/play [SEEDS]
package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"

	"github.com/lentilflow/lentilflow/pkg/play"
)

// defaultSeeds is the number of seeds if none is given. All scenarios then take about
// three minutes on one core.
const defaultSeeds = 4

func main() {
	seeds := defaultSeeds
	if len(os.Args) > 1 {
		n, err := strconv.Atoi(os.Args[1])
		if err != nil || n < 1 {
			fmt.Fprintf(os.Stderr, "play: %q is no number of seeds\n", os.Args[1])
			os.Exit(2)
		}
		seeds = n
	}
	for _, scenario := range play.Scenarios() {
		fmt.Println(scenario.Name)
		for _, v := range play.Variants() {
			policy := play.GatewayPolicy()
			v.Change(&policy)
			r := meanResult(scenario, policy, seeds)
			fmt.Printf("  %-40s worth %.3f  worst windows %.3f  worst kind %.3f  download %.3f\n",
				v.Name, r.Worth(), r.WorstWindows, r.WorstKind, r.Kinds["download"])
		}
	}
}

// meanResult runs a scenario with each seed and returns the means of the results.
func meanResult(scenario play.Scenario, policy play.Policy, seeds int) play.Result {
	results := make([]play.Result, seeds)
	var wg sync.WaitGroup
	for i := range seeds {
		wg.Go(func() { results[i] = play.Run(scenario, policy, uint64(i)) })
	}
	wg.Wait()
	m := play.Result{Kinds: make(map[string]float64)}
	n := float64(seeds)
	for _, r := range results {
		m.EarnedShare += r.EarnedShare / n
		m.WorstWindows += r.WorstWindows / n
		m.WorstKind += r.WorstKind / n
		m.WorstZone += r.WorstZone / n
		m.ServedShare += r.ServedShare / n
		for kind, share := range r.Kinds {
			m.Kinds[kind] += share / n
		}
	}
	return m
}
