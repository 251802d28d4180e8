package quota

import (
	"math"
	"os"
	"testing"
	"time"
	"unsafe"
)

// Guards against messages that grow with the number of nodes times the number of teams,
// and prints the figures of docs/CAPACITY.md. LENTILFLOW_CAPACITY=1 adds a fleet of 300.
func TestMessagesOfOneNodeDoNotGrowWithTheFleet(t *testing.T) {
	t.Parallel()
	fleets := []int{66}
	if os.Getenv("LENTILFLOW_CAPACITY") != "" {
		fleets = append(fleets, 300)
	}
	for _, nodes := range fleets {
		for _, teams := range []int{1, 75} {
			for _, demand := range []float64{0, 28 * float64(nodes)} { // 28 calls a second at each node
				w := newWorld(5, scenario{vms: nodes, length: time.Hour, bounds: Bounds{5 * time.Second, 0.1, 20}})
				sum := 0.0
				for i := range teams {
					sum += math.Pow(float64(i+1), -1.2)
				}
				for i := range teams {
					share := math.Pow(float64(i+1), -1.2) / sum
					limit := max(1.25*28*float64(nodes)*share, 1)
					w.addTeam(Limit{limit, limit}, max(demand*share, 1e-9), 1)
				}
				w.begin()
				w.runFor(9*time.Second + 2*leaseOf(nodes/3))
				before := make([]uint64, nodes)
				for i, vm := range w.vms {
					before[i] = vm.node.counters.sent.Load()
				}
				w.datagrams, w.bytes, w.bytesBetweenRegions = 0, 0, 0
				const seconds = 4
				w.runFor(seconds * time.Second)
				busiest := uint64(0)
				for i, vm := range w.vms {
					busiest = max(busiest, vm.node.counters.sent.Load()-before[i])
				}
				per := func(n int) float64 { return float64(n) / seconds / float64(nodes) }
				requests := 0
				for _, team := range w.teams {
					requests += team.sent
				}
				t.Logf("%d nodes, %d teams, %.1f calls/s a node: a node sends %.1f datagrams/s, %.0f B/s, %.0f B/s to other regions; the busiest %d datagrams/s",
					nodes, teams, per(requests), per(w.datagrams), per(w.bytes), per(w.bytesBetweenRegions), busiest/seconds)
				idle := 2 * float64(Classes) / (renewShare * leaseOf(nodes/3).Seconds())
				if most := 1.1*idle + 2.5*per(requests); per(w.datagrams) > most {
					t.Errorf("a node sends %.1f datagrams a second, at most %.1f were expected", per(w.datagrams), most)
				}
			}
		}
	}
	t.Logf("bytes of state: team %d, bucket %d, delegation %d, contact %d, standing %d", unsafe.Sizeof(teamState{}), unsafe.Sizeof(bucket{}),
		unsafe.Sizeof(delegation{}), unsafe.Sizeof(contact{}), unsafe.Sizeof(standing{}))
}
