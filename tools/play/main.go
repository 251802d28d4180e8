// Play compares policies in the scenarios of pkg/play. For each policy it prints the
// means over a number of seeds: the worth without prices, and the earned shares of
// the two worst windows, of the worst request kind and of downloads.
//
// With the word "heavy" it prints the outcomes by kind of request in the scenarios of
// the heaviest days.
//
//	go run ./tools/play [SEEDS [heavy]]
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
	if len(os.Args) > 2 && os.Args[2] == "heavy" {
		printHeavy(seeds)
		return
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
	m := play.Result{Kinds: make(map[string]float64), Accounts: make(map[string]play.Account)}
	n := float64(seeds)
	for _, r := range results {
		m.EarnedShare += r.EarnedShare / n
		m.WorstWindows += r.WorstWindows / n
		m.WorstKind += r.WorstKind / n
		m.WorstZone += r.WorstZone / n
		m.ServedShare += r.ServedShare / n
		for d := range r.Attempts {
			m.Attempts[d] += r.Attempts[d] / seeds
			m.Refused[d] += r.Refused[d] / seeds
		}
		for kind, share := range r.Kinds {
			m.Kinds[kind] += share / n
			m.Accounts[kind] = m.Accounts[kind].Plus(r.Accounts[kind])
		}
	}
	return m
}

// printHeavy prints the means of the earned shares, and the outcomes by kind.
func printHeavy(seeds int) {
	for _, scenario := range play.HeavyScenarios() {
		fmt.Println(scenario.Name)
		for _, v := range play.HeavyVariants() {
			policy := play.GatewayPolicy()
			v.Change(&policy)
			r := meanResult(scenario, policy, seeds)
			fmt.Printf("  %-40s earned %.4f  worst windows %.4f  worst kind %.3f  worst zone %.3f  served %.4f  worth %.4f  charged %.4f  refused again %.4f\n",
				v.Name, r.EarnedShare, r.WorstWindows, r.WorstKind, r.WorstZone, r.ServedShare, r.Worth(), scenario.ChargedShare(&r), scenario.RefusedAgainShare(&r))
			fmt.Printf("    attempts in the zone %d, in the region %d, in other regions %d; refused %d %d %d\n",
				r.Attempts[0], r.Attempts[1], r.Attempts[2], r.Refused[0], r.Refused[1], r.Refused[2])
			for _, k := range scenario.Kinds {
				a, ok := r.Accounts[k.Name]
				if !ok {
					continue
				}
				share := func(n int) float64 { return float64(n) / float64(a.Requests) }
				fmt.Printf("    %-12s %6d requests  earned %.3f  in target %.3f  late %.3f  refused at once %.3f  late %.3f  again %.3f  failed %.3f\n",
					k.Name, a.Requests/seeds, r.Kinds[k.Name], share(a.InTarget), share(a.Late), share(a.RefusedAtOnce), share(a.RefusedLate), share(a.RefusedAgain), share(a.Failed))
			}
		}
	}
}
