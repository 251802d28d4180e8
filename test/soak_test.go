package test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/standin/store"
	"github.com/lentilflow/lentilflow/pkg/standin/upstream"
)

const (
	// soakDrainLimit is how long after an acknowledged drain a run may still
	// begin. The bound of the deployments is 2 s or more.
	soakDrainLimit = 2 * time.Second
	// soakRecoveryTimeout bounds the time from the end of all faults until every
	// node serves the newest version.
	soakRecoveryTimeout = 15 * time.Second
	// soakDuration is how long faults are injected for one seed, unless
	// LENTILFLOW_SOAK_TIME states another duration.
	soakDuration = 6 * time.Second
)

// regressionSeeds are tested in every run. A seed that failed once stays, with
// a line on the cause.
var regressionSeeds = []uint64{
	1, 2,
	34, 55, 60, // the stand-in's repeated responses did not state the rate limit, which ended it
	3, 5, // the store is restored from older copies
	8, // the store is silent to most nodes, and versions were late
}

// TestSoak runs real processes and injects faults that a seed determines, one
// after the other and overlapping:
//   - Processes are stopped, paused, killed and restarted. In two thirds of the seeds some
//     get several signals while they stop, upstreams leave around a restart of their node,
//     and all open connections to the store fall silent.
//   - The store is unavailable, slow, loses responses, serves only some nodes, or
//     loses its history. In a third of the seeds it is restored from older copies, in
//     half of them it falls silent to all nodes but a few again and again.
//   - Connections to the store and to upstreams are reset, delayed, limited in
//     bandwidth, blackholed in one direction, or cut within a stream.
//   - Upstreams lose, truncate or repeat responses, fail, slow down, drain and
//     restart, state a rate limit, and state that they leave.
//   - Configurations follow each other quickly. They add and withdraw keys of teams.
//
// Callers keep their connections. Some have keys that are withdrawn, not valid yet or
// unknown, or none. One team sends three times its limit. The responses that callers received are checked
// against the runs that the upstreams recorded in one ledger.
//
//	LENTILFLOW_SOAK_SEEDS=1-50 LENTILFLOW_SOAK_TIME=10s LENTILFLOW_SOAK_NODES=150 make soak
func TestSoak(t *testing.T) {
	for _, seed := range soakSeeds(t) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { runSoak(t, seed) })
	}
}

// soakSeeds returns the seeds of LENTILFLOW_SOAK_SEEDS, or the regression seeds.
func soakSeeds(t *testing.T) []uint64 {
	return seedsOf(t, "LENTILFLOW_SOAK_SEEDS", regressionSeeds)
}

// seedsOf returns the seeds that an environment variable states, such as 7 or 1-50, or
// those given if it is not set.
func seedsOf(t *testing.T, variable string, otherwise []uint64) []uint64 {
	text := os.Getenv(variable)
	if text == "" {
		return otherwise
	}
	first, last, found := strings.Cut(text, "-")
	if !found {
		last = first
	}
	from, err := strconv.ParseUint(first, 10, 32)
	to, terr := strconv.ParseUint(last, 10, 32)
	if err != nil || terr != nil || to < from {
		t.Fatalf("%s is %q, want for example 7 or 1-50", variable, text)
	}
	var seeds []uint64
	for s := from; s <= to; s++ {
		seeds = append(seeds, s)
	}
	return seeds
}

// soakNodes returns the number of nodes that LENTILFLOW_SOAK_NODES states, 0 if it
// is not set. Each seed has minSoakNodes at least.
func soakNodes(t *testing.T) int {
	text := os.Getenv("LENTILFLOW_SOAK_NODES")
	if text == "" {
		return 0
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("LENTILFLOW_SOAK_NODES: %v", err)
	}
	return n
}

// minSoakNodes is the number of nodes of a soak: a zone with relays and a zone
// without.
const minSoakNodes = 8

// observed is a response with the data that is needed to check it.
type observed struct {
	response
	nonIdempotent bool
	key, path     string // key is "" without one
	changesKeys   bool   // sent by the caller that uses several keys
	node          string
	generation    int64 // of the node process, increased before each stop and after each end
	sameProcess   bool  // the same process ran during the whole request
	sentAt        time.Time
	receivedAt    time.Time
}

// soak is the test run of one seed.
type soak struct {
	*cluster
	rnd         *rand.Rand
	version     model.Version
	generations map[string]*atomic.Int64

	links map[string]*links
	tasks sync.WaitGroup
	busy  map[string]*atomic.Bool // by node: whether an action on it is running

	mu           sync.Mutex
	observations []observed
	drainTimes   map[string]time.Time // by boot: when its drain was acknowledged
	limits       map[string]statedLimit
	actions      []string
	disturbances []disturbance
	resumed      map[string]func() // by node: records that its process runs again
}

func runSoak(t *testing.T, seed uint64) {
	s := &soak{
		cluster: &cluster{t: t, dir: t.TempDir(), store: store.New()}, rnd: rand.New(rand.NewPCG(seed, seed)), version: 1,
		generations: make(map[string]*atomic.Int64), links: make(map[string]*links), busy: make(map[string]*atomic.Bool), drainTimes: make(map[string]time.Time),
		limits: make(map[string]statedLimit), resumed: make(map[string]func()),
	}
	s.put(s.newestConfiguration())
	for range 3 { // a zone with relays
		for _, service := range services {
			s.addNode(zones[0], service)
		}
	}
	for _, service := range services {
		s.addNode(zones[1], service)
	}
	for i := len(s.nodes); i < soakNodes(t); i++ {
		s.addNode(zones[i%len(zones)], services[i%len(services)])
	}
	for _, n := range s.nodes {
		s.generations[n.name], s.busy[n.name], s.links[n.name] = &atomic.Int64{}, &atomic.Bool{}, newLinks(t, n)
		n.startUpstream()
		n.startProcess()
	}
	t.Cleanup(s.shutdown)
	t.Cleanup(func() { s.saveArtifacts(seed) })
	s.await(startTimeout, "all nodes ready", func() bool { return s.ready(len(s.nodes)) })
	for _, n := range s.nodes {
		s.disturbances = append(s.disturbances, disturbance{node: n.name, to: time.Now()})
	}
	stop, stopKeys, stopLimited := s.startCallers(), s.startKeyCallers(seed), s.sendAtRate(keyMark+limitedTeam, limitedSent)
	endRestores, endSilences, endPlanned := s.startRestores(seed), s.startSilences(seed), s.startPlannedWork(seed)
	duration := soakDuration
	if text := os.Getenv("LENTILFLOW_SOAK_TIME"); text != "" {
		var err error
		if duration, err = time.ParseDuration(text); err != nil {
			t.Fatal(err)
		}
	}
	for end := time.Now().Add(duration); time.Now().Before(end); {
		s.startRandomAction()
		time.Sleep(time.Duration(s.rnd.IntN(400)) * time.Millisecond)
	}
	endRestores()
	endSilences()
	endPlanned()
	s.tasks.Wait()
	s.putNewestAgain()
	s.clearFaults()
	s.await(soakRecoveryTimeout, "every node serves the newest version", func() bool {
		return s.ready(len(s.nodes)) && s.inForce(s.version) && s.allNodesServe()
	})
	s.awaitSameFleet(soakRecoveryTimeout)
	stop()
	stopKeys()
	limited := stopLimited()
	time.Sleep(500 * time.Millisecond) // requests whose callers gave up end
	violations := checkSoak(s.observations, s.ledger.Runs(), s.drainTimes)
	violations = append(violations, s.lagViolations()...)
	violations = append(violations, checkKeys(s.observations, s.ledger.Runs())...)
	violations = append(violations, s.keysInLogs()...)
	violations = append(violations, s.checkQuota(limited)...)
	violations = append(violations, checkLimits(s.ledger.Runs(), s.limits)...)
	for _, violation := range append(violations, checkLeaving(s.observations, s.ledger.Runs())...) {
		t.Error(violation)
	}
	t.Logf("seed %d: %d requests, %d actions", seed, len(s.observations), len(s.actions))
}

// saveArtifacts saves the list of actions and the node logs of a failed run in a
// directory of the system for temporary files.
func (s *soak) saveArtifacts(seed uint64) {
	if !s.t.Failed() {
		return
	}
	dir := filepath.Join(os.TempDir(), fmt.Sprintf("lentilflow-soak-%d", seed))
	_ = os.MkdirAll(dir, 0o755)
	_ = os.WriteFile(filepath.Join(dir, "actions"), []byte(strings.Join(s.actions, "\n")), 0o600)
	for _, n := range s.nodes {
		if text, err := os.ReadFile(n.logFile); err == nil {
			_ = os.WriteFile(filepath.Join(dir, filepath.Base(n.logFile)), text, 0o600)
		}
	}
	s.t.Logf("to repeat: LENTILFLOW_SOAK_SEEDS=%d make soak; logs are in %s", seed, dir)
}

// startCallers sends non-idempotent and idempotent requests to every node until
// stop is called.
func (s *soak) startCallers() (stop func()) {
	ended := make(chan struct{})
	var wait sync.WaitGroup
	// All callers together send as many requests with many nodes as with few.
	pause := 10 * time.Millisecond * time.Duration(len(s.nodes)) / minSoakNodes
	for _, n := range s.nodes {
		for _, nonIdempotent := range []bool{true, false} {
			caller, generation := newCaller(n), s.generations[n.name]
			wait.Go(func() {
				for {
					select {
					case <-ended:
						return
					default:
					}
					o := observed{nonIdempotent: nonIdempotent, key: steadyTeam, path: "/status/1", node: n.name, generation: generation.Load(), sentAt: time.Now()}
					method := http.MethodGet
					if nonIdempotent {
						method, o.path = http.MethodPost, "/bookings/1"
					}
					o.response = caller.send(method, o.path, 2*time.Second, bearer(steadyTeam)...)
					o.receivedAt = time.Now()
					o.sameProcess = generation.Load() == o.generation
					s.mu.Lock()
					s.observations = append(s.observations, o)
					s.mu.Unlock()
					time.Sleep(pause)
				}
			})
		}
	}
	return func() {
		close(ended)
		wait.Wait()
	}
}

// startRandomAction starts an action that injects or ends a fault, unless another
// action on the node that was drawn is still running. Actions on different nodes
// overlap. All random numbers are drawn here, so that the seed determines them.
func (s *soak) startRandomAction() {
	n := s.nodes[s.rnd.IntN(len(s.nodes))]
	pause := time.Duration(200+s.rnd.IntN(1500)) * time.Millisecond
	conditions, forward := s.randomConditions(), s.rnd.IntN(2) == 0
	fault, behaviour, increment := s.randomStoreFault(), s.randomBehaviour(), model.Version(1+s.rnd.IntN(3))
	actions := []struct {
		name string
		do   func()
	}{
		{"kill", func() { s.restart(n, syscall.SIGKILL) }},
		{"stop", func() { s.restart(n, syscall.SIGTERM) }},
		{"pause", func() { s.pause(n, pause) }},
		{"store fault", func() { n.endpoint.Set(fault) }},
		{"store fault everywhere", func() {
			for _, n := range s.nodes {
				n.endpoint.Set(fault)
			}
		}},
		{"store sound", func() {
			for _, n := range s.nodes {
				n.endpoint.Set(store.Fault{})
			}
		}},
		{"history lost", s.store.Compact},
		{"configuration", func() { s.putNextVersion(increment) }},
		{"configurations", func() {
			for range 5 {
				s.putNextVersion(increment)
				time.Sleep(30 * time.Millisecond)
			}
		}},
		{"store link", func() { s.links[n.name].store.setConditions(conditions, forward) }},
		{"upstream link", func() { s.links[n.name].upstream.setConditions(conditions, forward) }},
		{"links reset", s.links[n.name].reset},
		{"links sound", s.links[n.name].clearFaults},
		{"upstream", func() { s.setBehaviour(n, behaviour) }},
		{"upstream sound", func() { s.setBehaviour(n, upstream.Behaviour{}) }},
		{"limited", func() { s.limitUpstream(n, float64(increment)*4) }},
		{"states leaving", func() { s.retireUpstream(n, soakDrainLimit+pause) }},
		{"replace", func() { s.replaceUpstream(n, pause/3) }},
		{"leaves, reports late", func() { s.leaveWithLateReports(n, pause, forward) }},
		{"crash", func() {
			n.upstream.Crash()
			n.startUpstream()
		}},
	}
	a := actions[s.rnd.IntN(len(actions))]
	if s.busy[n.name].Swap(true) {
		return
	}
	s.recordAction(a.name + " " + n.name)
	s.tasks.Go(func() {
		defer s.busy[n.name].Store(false)
		a.do()
	})
}

func (s *soak) recordAction(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.actions = append(s.actions, time.Now().Format(time.RFC3339Nano)+" "+text)
}

// restart ends a node process with a signal and starts it again. A process that
// has not ended 8 s after the signal, when its grace period is over, is reported
// as an error and killed.
func (s *soak) restart(n *node, sig syscall.Signal) {
	s.stopProcess(n, sig)
	s.startProcessAgain(n)
}

func (s *soak) stopProcess(n *node, sig syscall.Signal) {
	s.generations[n.name].Add(1)
	end := s.disturb(n)
	s.mu.Lock()
	s.resumed[n.name] = end
	s.mu.Unlock()
	n.signal(syscall.SIGCONT)
	signalled := time.Now()
	n.signal(sig)
	if !n.process.endsWithin(8 * time.Second) {
		s.t.Errorf("%s has not ended 8 s after signal %s", n.name, sig)
		n.kill()
		return
	}
	s.checkExit(n, sig, signalled)
}

func (s *soak) startProcessAgain(n *node) {
	s.generations[n.name].Add(1)
	n.startProcess()
	s.mu.Lock()
	end := s.resumed[n.name]
	s.mu.Unlock()
	end()
}

// restartTogether kills a node and, at the same time, up to count others on which no
// action is running, and starts them again.
func (s *soak) restartTogether(n *node, count int) {
	var killed sync.WaitGroup
	for _, o := range s.nodes {
		if count == 0 {
			break
		}
		if s.busy[o.name].Swap(true) {
			continue
		}
		count--
		killed.Go(func() {
			defer s.busy[o.name].Store(false)
			s.restart(o, syscall.SIGKILL)
		})
	}
	s.restart(n, syscall.SIGKILL)
	killed.Wait()
}

func (s *soak) pause(n *node, d time.Duration) {
	defer s.disturb(n)()
	n.signal(syscall.SIGSTOP)
	time.Sleep(d)
	n.signal(syscall.SIGCONT)
}

func (s *soak) randomStoreFault() store.Fault {
	faults := []store.Fault{
		{Status: http.StatusServiceUnavailable}, {Status: http.StatusTooManyRequests}, {Silent: true}, {Reset: true},
		{Delay: 300 * time.Millisecond}, {LoseResponses: true},
	}
	return faults[s.rnd.IntN(len(faults))]
}

// clearFaults ends all faults and puts a new version.
func (s *soak) clearFaults() {
	for _, n := range s.nodes {
		n.endpoint.Set(store.Fault{})
		s.setBehaviour(n, upstream.Behaviour{})
		s.links[n.name].clearFaults()
		n.signal(syscall.SIGCONT)
	}
	s.putNextVersion(1)
}

// allNodesServe reports whether one call at each node succeeds.
func (s *soak) allNodesServe() bool {
	for _, n := range s.nodes {
		c := newCaller(n)
		r := c.send(http.MethodGet, "/status/1", time.Second, bearer(steadyTeam)...)
		c.client.CloseIdleConnections()
		if !r.served() {
			return false
		}
	}
	return true
}
