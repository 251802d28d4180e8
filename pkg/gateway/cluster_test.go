package gateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/lentilflow/lentilflow/pkg/balance"
	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/crashguard"
	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/h1"
	"github.com/lentilflow/lentilflow/pkg/internal/rapidtest"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/shaping"
	"github.com/lentilflow/lentilflow/pkg/upstream"
)

func init() { rapidtest.FixSeed(61) }

// testNames are the header field names in the tests of this package.
var testNames = HeaderNames{
	RequestID: "X-Id", Deadline: "X-Left", Signature: "X-Signature", ExpectedBoot: "X-Expected", Boot: "X-Boot",
	NotRun: "X-Not-Run", Caller: "X-Caller", RateLimit: "X-Rate-Limit", Leaving: "X-Leaving",
	Authorization: "Authorization", Team: "X-Team",
}

const (
	clusterSize  = 3
	testService  = "s"
	testSlots    = 2
	testDeadline = 80 * time.Millisecond
	testTimeout  = 20 * time.Second
)

// testNode is a node with its upstream, without the store and the messages
// between nodes.
type testNode struct {
	gateway  *Gateway
	upstream *scriptedUpstream
	calls    *h1.Server
	peers    *h1.Server
	member   fleet.Member
	address  string // for calls
	slots    int    // in the reports of the upstream
	sequence uint64
	// listeners are those for calls and for other nodes, in this order.
	listeners []net.Listener
}

// injectedFault is a deliberate fault of a node.
type injectedFault struct {
	// allIdempotent treats every request as idempotent.
	allIdempotent bool
	// acceptsAnyResponse accepts any response as that to the request sent.
	acceptsAnyResponse bool
}

// testCluster is a few nodes of one service.
type testCluster struct {
	nodes []*testNode
	runs  *runCounter
	sent  atomic.Int64
}

func newTestCluster(f injectedFault) *testCluster {
	p := &testCluster{runs: &runCounter{runs: make(map[string]int)}}
	holder := config.NewHolder()
	if _, err := holder.Offer(testConfiguration(f)); err != nil {
		panic(err)
	}
	var members []fleet.Member
	for i := range clusterSize {
		s, m := newTestNode(fmt.Sprint("n", i), holder, p.runs, f)
		p.nodes = append(p.nodes, s)
		members = append(members, m)
	}
	for _, s := range p.nodes {
		s.gateway.View.Replace(members, follow.At(1), time.Now())
	}
	return p
}

// restart replaces a node by a new process at the same addresses, which knows
// nothing of before. Its upstream keeps running and sends it two reports.
func (p *testCluster) restart(i int) {
	old := p.nodes[i]
	old.end()
	s := newTestNodeBeside(string(old.member.Node), old.gateway.Config, old.upstream, old.address, old.member.CallAddress, injectedFault{})
	s.slots, s.sequence = old.slots, old.sequence
	var members []fleet.Member
	for _, n := range p.nodes {
		members = append(members, n.member)
	}
	s.gateway.View.Replace(members, follow.At(1), time.Now())
	p.nodes[i] = s
	s.start()
}

func testConfiguration(f injectedFault) *config.Configuration {
	route := func(name string, idempotent bool) config.Route {
		return config.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Idempotent: idempotent || f.allIdempotent, MaxAttempts: 3,
			Timeout: testTimeout, Split: []config.Share{{Service: testService, Weight: 1}},
		}
	}
	return &config.Configuration{
		Version: 1, Services: []config.Service{{Name: testService}}, Routes: []config.Route{route("safe", true), route("unsafe", false)},
	}
}

// newTestNode starts a node beside a new upstream.
func newTestNode(name string, holder *config.Holder, l *runCounter, f injectedFault) (*testNode, fleet.Member) {
	s := newTestNodeBeside(name, holder, newScriptedUpstream(l, testNames), "127.0.0.1:0", "127.0.0.1:0", f)
	s.start()
	return s, s.member
}

// newTestNodeBeside returns a node beside an upstream that listens at the given
// addresses for calls and for other nodes, but does not serve them yet.
func newTestNodeBeside(name string, holder *config.Holder, u *scriptedUpstream, callAddress, peerAddress string, f injectedFault) *testNode {
	names := testNames
	if f.acceptsAnyResponse {
		// No response of the upstream has the request ID, and each seems to
		// have been sent before a run, which is the kind that needs no ID.
		names.RequestID, names.NotRun = "X-Unknown", "Content-Length"
	}
	callListener, peerListener := mustListenAt(callAddress), mustListenAt(peerAddress)
	m := fleet.Member{
		Node: model.NodeID(name), Service: testService, CallAddress: peerListener.Addr().String(), MessageAddress: "unused",
		Location: model.Location{Region: "r", AvailabilityZone: "z"},
	}
	metrics := NewMetrics(prometheus.NewRegistry())
	local := NewLocal(&Local{
		Node: m.Node, Service: testService, Names: names, Log: zap.NewNop(), Metrics: metrics, Config: holder,
		CrashRecords: crashguard.NewMemoryRegistry(time.Now), Link: shaping.NewLink(0), OnServingChange: func(bool) {},
		OnCrash: func(crashguard.Fingerprint, crashguard.Crash) {}, OnSuspectCompleted: func(crashguard.Fingerprint) {},
		OnDeparture: func(upstream.Departure) {},
	}, u.listener.Addr().String())
	local.RecoverDepartures(nil, true)
	g := New(&Gateway{
		Names: names, Self: m, Config: holder, View: fleet.NewView(), Local: local, Remote: NewRemote(m.Node, names, holder),
		Picker: balance.NewPicker(), Budgets: newFullBudgets(1, 1000), Metrics: metrics, Log: zap.NewNop(), OnNewerConfig: func(config.Version, model.NodeID) {},
	})
	s := &testNode{
		gateway: g, upstream: u, member: m, calls: g.CallServer(), peers: g.PeerServer(), address: callListener.Addr().String(), slots: testSlots,
	}
	s.listeners = []net.Listener{callListener, peerListener}
	return s
}

func mustListen() net.Listener { return mustListenAt("127.0.0.1:0") }

func mustListenAt(address string) net.Listener {
	l, err := net.Listen("tcp", address)
	if err != nil {
		panic(err)
	}
	return l
}

// start serves calls and attempts, after two reports of the upstream; the second
// one confirms its boot.
func (s *testNode) start() {
	s.report()
	s.report()
	go func() { _ = s.calls.Serve(s.listeners[0]) }()
	go func() { _ = s.peers.Serve(s.listeners[1]) }()
}

// close ends the node and its upstream.
func (s *testNode) close() {
	s.end()
	s.upstream.close()
}

// end ends the process of the node, but not its upstream.
func (s *testNode) end() {
	for _, l := range s.listeners {
		_ = l.Close()
	}
	s.calls.CloseAll()
	s.peers.CloseAll()
}

// report sends a node the next report of its upstream.
func (s *testNode) report() {
	s.sequence++
	s.gateway.Local.Report(upstream.Report{ID: "boot", Start: upstream.StartedAt(1), Sequence: s.sequence, Service: testService, Slots: s.slots})
}

func (p *testCluster) close() {
	for _, s := range p.nodes {
		s.close()
	}
}

// outcome is the response that a caller received for one request.
type outcome struct {
	id     string
	safe   bool
	status int // 0 if the connection ended without a complete response
	body   string
	signed bool
}

// send sends one request on a new connection. The HTTP client does not retry
// it.
func (p *testCluster) send(node int, safe bool) outcome {
	return p.sendWithin(node, safe, testDeadline)
}

func (p *testCluster) sendWithin(node int, safe bool, deadline time.Duration) outcome {
	o := outcome{id: fmt.Sprint("r", p.sent.Add(1)), safe: safe}
	method, prefix, content := http.MethodPost, "/unsafe/", "x"
	if safe {
		method, prefix, content = http.MethodGet, "/safe/", ""
	}
	r, err := http.NewRequest(method, "http://"+p.nodes[node].address+prefix, strings.NewReader(content))
	if err != nil {
		panic(err)
	}
	r.Host = "h"
	r.Header.Set(testNames.RequestID, o.id)
	r.Header.Set(testNames.Deadline, millis(deadline))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return o
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return o
	}
	o.status, o.body, o.signed = resp.StatusCode, string(body), resp.Header.Get(testNames.Signature) != ""
	return o
}

// check returns the guarantee that an outcome violates, or nil. It must be
// called when no request runs any more.
func (p *testCluster) check(o outcome) error {
	runs := p.runs.count(o.id)
	switch {
	case !o.safe && runs > 1:
		return errRunTwice
	case o.safe && runs > 3:
		return errTooManyRuns
	}
	switch o.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if runs > 0 {
			return errFalseNotRun
		}
	case http.StatusOK:
		if !o.signed || o.body != "ran "+o.id || runs == 0 {
			return errWrongResponse
		}
	}
	return nil
}

var (
	errRunTwice      = errors.New("a non-idempotent request ran twice")
	errTooManyRuns   = errors.New("a request ran more often than its route permits")
	errFalseNotRun   = errors.New("a refusal stated that a request that ran had not run")
	errWrongResponse = errors.New("a success was not the response of an upstream to that request")
)

// checkCluster runs random upstream actions and requests, and returns the first
// violated guarantee.
func checkCluster(t *rapid.T, f injectedFault, permitted []action) error {
	p := newTestCluster(f)
	var mu sync.Mutex
	var outcomes []outcome
	for range rapidtest.Steps(2) {
		for _, s := range p.nodes {
			s.report() // an upstream that was marked unreachable serves again
			s.upstream.enqueue(rapid.SliceOfN(rapid.SampledFrom(permitted), 0, 3).Draw(t, "script")...)
		}
		var wait sync.WaitGroup
		for range rapid.IntRange(1, 8).Draw(t, "calls") {
			node, safe := rapid.IntRange(0, clusterSize-1).Draw(t, "node"), rapid.Bool().Draw(t, "safe")
			wait.Go(func() {
				o := p.send(node, safe)
				mu.Lock()
				defer mu.Unlock()
				outcomes = append(outcomes, o)
			})
		}
		if rapid.IntRange(0, 4).Draw(t, "cut") == 0 { // a node loses its connections to remote nodes
			p.nodes[rapid.IntRange(0, clusterSize-1).Draw(t, "who")].peers.CloseAll()
		}
		wait.Wait()
	}
	p.close()
	for _, o := range outcomes {
		if err := p.check(o); err != nil {
			return fmt.Errorf("%w: %+v, runs %d", err, o, p.runs.count(o.id))
		}
	}
	return nil
}

// Guards the guarantees for every response, whatever upstreams do with requests
// and wherever connections between nodes break: a request that is not
// idempotent runs at most once, "not run" is true, and a success is the whole
// response to the request that was sent.
func TestCallGuaranteesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := checkCluster(t, injectedFault{}, permittedActions); err != nil {
			t.Fatal(err)
		}
	})
}

// Checks that checkCluster detects each broken variant.
func TestClusterCheckDetectsBrokenVariants(t *testing.T) {
	for _, broken := range []struct {
		want      error
		fault     injectedFault
		permitted []action
	}{
		{errRunTwice, injectedFault{allIdempotent: true}, []action{answers, runsAndCloses}},
		{errWrongResponse, injectedFault{acceptsAnyResponse: true}, []action{answers, answersOtherFirst}},
		{errFalseNotRun, injectedFault{}, []action{claimsNotRun}},
	} {
		message := rapidtest.FindViolation(t, 50, func(t *rapid.T) {
			if err := checkCluster(t, broken.fault, broken.permitted); errors.Is(err, broken.want) {
				t.Fatal(err)
			}
		})
		if message == "" {
			t.Errorf("checkCluster did not detect the broken variant: %v", broken.want)
		}
	}
}
