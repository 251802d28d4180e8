package distribution

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lentilflow/lentilflow/pkg/delta"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// actions are the faults and events of the state machine.
var actions = map[string]func(s *sim, pick func(n int) int){
	"publish": func(s *sim, _ func(int) int) { s.publish() },
	"time":    func(s *sim, pick func(int) int) { s.advance(1 + pick(6)) },
	"long time": func(s *sim, pick func(int) int) {
		s.advance(20 + pick(20))
	},
	"kill": func(s *sim, pick func(int) int) {
		if n := s.nodes[pick(len(s.nodes))]; n.alive {
			n.alive, n.died = false, s.now
		}
	},
	"restart": func(s *sim, pick func(int) int) {
		s.boot(s.nodes[pick(len(s.nodes))])
	},
	"pause": func(s *sim, pick func(int) int) {
		s.nodes[pick(len(s.nodes))].pausedTill = s.now.Add(time.Duration(pick(30)) * time.Second)
	},
	"restart beside a deaf zone root": func(s *sim, pick func(int) int) {
		n := s.nodes[pick(len(s.nodes))]
		if root, ok := n.tree().ZoneRoot(n.loc.AvailabilityZone); ok && root.Node != n.id {
			s.byID(root.Node).deafTill = s.now.Add(30 * simTick)
		}
		s.publish()
		s.advance(26)
		s.storeUp = false
		s.boot(n)
	},
	"store": func(s *sim, _ func(int) int) { s.storeUp = !s.storeUp },
	"loss": func(s *sim, pick func(int) int) {
		s.loss = []int{0, 5, 30}[pick(3)]
	},
	"partition": func(s *sim, _ func(int) int) { s.cut, s.healed = !s.cut, s.now },
	"publisher": func(s *sim, pick func(int) int) { s.elect(pick(len(s.nodes))) },
	"suspicion": func(s *sim, pick func(int) int) { s.suspect(pick(len(s.nodes)), pick(len(s.nodes))) },
	"drain": func(s *sim, pick func(int) int) {
		n := s.nodes[pick(len(s.nodes))]
		if n.running(s.now) && n.settled {
			s.spread(n, "", n.core.Update(func(e *model.Entry) { e.State = model.Draining }, s.now))
		}
	},
}

// elect moves the publisher lease, which needs the store.
func (s *sim) elect(i int) {
	n := s.nodes[i]
	if !s.storeUp || !n.running(s.now) || !n.settled {
		return
	}
	s.publisher = i
	if len(s.accepted) > 0 {
		_ = n.holder.Apply(s.accepted[len(s.accepted)-1])
		n.frames.remember(n.holder.Active())
	}
}

// suspect spreads a wrong suspicion.
func (s *sim) suspect(i, j int) {
	n := s.nodes[i]
	if e, ok := n.core.Get(s.nodes[j].id); ok && n.running(s.now) && i != j {
		if e, ok = n.core.Mark(e.Node, e.Generation, model.Suspect, s.now); ok {
			s.spread(n, "", e)
		}
	}
}

// check tests the invariants that hold at any time.
func (s *sim) check() {
	for _, n := range s.nodes {
		if !n.alive {
			continue
		}
		s.checkVersion(n)
		s.checkService(n)
	}
}

func (s *sim) checkVersion(n *simNode) {
	a := n.holder.Active()
	if a == nil {
		return
	}
	number := a.Info.Number
	if number < n.best {
		s.fail("%s went back from version %d to %d", n.id, n.best, number)
	}
	if number > n.best {
		n.history = append(n.history, model.VersionInfo{Number: number, AcceptedAt: s.now})
	}
	n.best = number
	accepted := s.accepted[number-1]
	if a.Info.Digest != accepted.Info.Digest || delta.Digest(a.Text) != accepted.Info.Digest {
		s.fail("%s holds another text as version %d", n.id, number)
	}
	if a.Snapshot.Info() != a.Info {
		s.fail("%s routes by version %d under the number %d", n.id, a.Snapshot.Info().Number, number)
	}
	for _, r := range a.Snapshot.Routes() {
		if _, ok := a.Snapshot.Service(r.Rule.Service); !ok || r.Service.Name != r.Rule.Service {
			s.fail("%s: rule %s points at service %s", n.id, r.Rule.Name, r.Rule.Service)
		}
	}
	if int(number) < len(s.accepted) && n.asOf.at.After(s.accepted[number].Info.AcceptedAt) {
		s.fail("%s says that version %d was the newest at a time when it was not", n.id, number)
	}
}

func (s *sim) checkService(n *simNode) {
	n.tree()
	candidates, usable := make(map[string]int), make(map[string]int)
	for _, e := range n.view.All() {
		if e.State < model.Draining {
			candidates[e.Service]++
		}
	}
	for name := range candidates {
		for _, e := range n.view.Service(name) {
			if s.variant != readyOnly || e.State == model.Ready {
				usable[name]++
			}
			if e.State >= model.Draining {
				s.fail("%s uses the %v entry %s", n.id, e.State, e.Node)
			}
		}
		if usable[name] == 0 {
			s.fail("%s has %d entries of %s and uses none", n.id, candidates[name], name)
		}
	}
}

// converge ends all faults and tests what must hold some time later.
func (s *sim) converge() {
	s.storeUp, s.loss, s.cut, s.calm = true, 0, false, true
	for _, n := range s.nodes {
		n.pausedTill, n.deafTill = time.Time{}, time.Time{}
	}
	s.advance(4)
	if len(s.running()) == 0 {
		s.boot(s.nodes[0])
		s.advance(4)
	}
	if s.publisher < 0 || !s.nodes[s.publisher].running(s.now) {
		s.elect(slices.Index(s.nodes, s.running()[0]))
	}
	s.publish()
	s.advance(160)
	live := s.running()
	for _, n := range live {
		n.tree()
		if int(n.held().Number) != len(s.accepted) {
			s.fail("%s stays at version %d of %d", n.id, n.held().Number, len(s.accepted))
		}
		if n.view.Digest() != live[0].view.Digest() {
			s.fail("rosters of %s and %s differ: %s / %s", n.id, live[0].id, states(n), states(live[0]))
		}
		for _, o := range s.nodes {
			e, ok := n.core.Get(o.id)
			if o.alive && (!ok || e.State == model.Suspect || e.State == model.Gone) {
				s.fail("%s takes the live node %s for %v (known %v)", n.id, o.id, e.State, ok)
			}
			if !o.alive && ok && e.State != model.Gone && s.populated(o.loc.Region) {
				s.fail("%s takes the dead node %s for %v", n.id, o.id, e.State)
			}
		}
		if !s.now.Before(n.lease) && len(live) > 1 {
			s.fail("%s has no lease", n.id)
		}
		if n.asOf.age(s.now) > 6*time.Second {
			s.fail("%s: age is %v", n.id, n.asOf.age(s.now))
		}
	}
}

// populated reports whether a region has a running node. Nobody judges the
// entries of a region without one, because a partition looks the same.
func (s *sim) populated(r model.Region) bool {
	return slices.ContainsFunc(s.nodes, func(n *simNode) bool { return n.running(s.now) && n.loc.Region == r })
}

func states(n *simNode) string {
	out := ""
	for _, e := range n.view.All() {
		out += fmt.Sprintf("%s.%d.%d=%v ", e.Node, e.Generation%100000, e.Sequence, e.State)
	}
	return out
}

// requested returns the value of an environment variable, or a default.
func requested(name string, otherwise int) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return strconv.Itoa(otherwise)
}

// Steps of TestStateMachine without LENTILFLOW_FUZZ_STEPS, and per sequence.
const (
	fuzzSteps     = 1500
	stepsPerCheck = 30
)

// Guards against versions that go back, fork, are applied in part or do not
// arrive, dangling routes, rosters that stay apart, suspicions that stick and
// leases that outlive their grant, under any order of faults.
// LENTILFLOW_FUZZ_STEPS and LENTILFLOW_FUZZ_SEED set the number of steps and
// the seed.
func TestStateMachine(t *testing.T) {
	total, err := strconv.Atoi(requested("LENTILFLOW_FUZZ_STEPS", fuzzSteps))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string]string{
		"rapid.seed": requested("LENTILFLOW_FUZZ_SEED", 20260301), "rapid.nofailfile": "true", "rapid.shrinktime": "5s",
		"rapid.checks": strconv.Itoa(max(1, total/stepsPerCheck)), "rapid.steps": strconv.Itoa(stepsPerCheck),
	} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	steps := 0
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rapid.Uint64Range(1, 1<<32).Draw(rt, "network seed"), sound)
		machine := map[string]func(*rapid.T){"": func(rt *rapid.T) {
			if s.failure != nil {
				rt.Fatal(s.failure)
			}
		}}
		for name, act := range actions {
			machine[name] = func(rt *rapid.T) {
				steps++
				act(s, func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "pick") })
				s.advance(1)
			}
		}
		rt.Repeat(machine)
		s.converge()
		if s.failure != nil {
			rt.Fatal(s.failure)
		}
	})
	t.Logf("%d steps", steps)
}

// runSeed runs one random sequence without rapid, for the broken variants.
func runSeed(seed uint64, v variant, steps int) error {
	s := newSim(seed, v)
	names := []string{"publish", "time", "long time", "kill", "restart", "pause", "store", "loss", "partition", "publisher", "suspicion", "drain", "publish", "time", "restart beside a deaf zone root"}
	for range steps {
		actions[names[s.rnd.IntN(len(names))]](s, s.rnd.IntN)
		s.advance(1)
		if s.failure != nil {
			return s.failure
		}
	}
	s.converge()
	return s.failure
}

// Guards against a fuzzer that notices nothing: each broken variant must fail
// by its own invariant within some seeds that the sound one passes.
func TestBrokenVariantsAreCaught(t *testing.T) {
	const seeds = 60
	for v, invariant := range map[variant]string{
		noVersionOrder:    "went back",
		partialText:       "holds another text",
		staleSnapshot:     "routes by version",
		noFetch:           "stays at version",
		noRefutation:      "takes the live node",
		noSync:            "rosters of",
		leaseFromAnswer:   "which holds its lease",
		readyOnly:         "and uses none",
		startFromAnyNode:  "went back",
		ageWithoutVersion: "was the newest at a time when it was not",
	} {
		t.Run(string(v), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= seeds; seed++ {
				if err := runSeed(seed, v, 2*stepsPerCheck); err != nil && strings.Contains(err.Error(), invariant) {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatalf("not caught within %d seeds", seeds)
		})
	}
	for seed := uint64(1); seed <= 5; seed++ {
		if err := runSeed(seed, sound, 2*stepsPerCheck); err != nil {
			t.Errorf("sound variant, seed %d: %v", seed, err)
		}
	}
}
