package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/balance"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/shaping"
	"github.com/lentilflow/lentilflow/pkg/standin/ratecheck"
	"github.com/lentilflow/lentilflow/pkg/upstream"
)

// statedRate is the rate limit of the upstreams in these tests, per second.
const statedRate = 8.0

// flood sends calls to the given nodes, from several callers at each, until stop
// is called.
func (p *testCluster) flood(nodes []int, deadline time.Duration) (stop func()) {
	const callers = 8
	ended := make(chan struct{})
	var all sync.WaitGroup
	for i := range callers * len(nodes) {
		all.Go(func() {
			for {
				select {
				case <-ended:
					return
				default:
				}
				if o := p.sendWithin(nodes[i%len(nodes)], i%2 == 0, deadline); o.status != http.StatusOK {
					time.Sleep(20 * time.Millisecond)
				}
			}
		})
	}
	return func() {
		close(ended)
		all.Wait()
	}
}

// stateRate makes all upstreams of the cluster state a rate limit, each for itself.
func (p *testCluster) stateRate(rate float64) {
	for _, s := range p.nodes {
		s.upstream.state(testNames.RateLimit + ": " + strconv.FormatFloat(rate, 'f', -1, 64))
	}
}

// Guards against an upstream that states a rate limit in its responses and gets
// whatever its slots let through.
func TestUpstreamGetsNoMoreThanItsRateLimit(t *testing.T) {
	is := is.New(t)
	p := newTestCluster(injectedFault{})
	defer p.close()
	p.stateRate(statedRate)
	stop := p.flood([]int{0, 1, 2}, 500*time.Millisecond)
	time.Sleep(500 * time.Millisecond) // the users count from half a second after a node has seen the limit
	from := time.Now()
	time.Sleep(ratecheck.Window + ratecheck.Window/4)
	stop()
	for _, s := range p.nodes {
		got := ratecheck.Most(s.upstream.arrivalsSince(from), from)
		t.Logf("%d requests in %s, permitted %d", got, ratecheck.Window, ratecheck.Permitted(statedRate))
		is.True(got <= ratecheck.Permitted(statedRate))
		is.True(got >= int(statedRate*ratecheck.Window.Seconds()/2)) // the limit is used
	}
}

// Guards against a limited upstream that gets a burst after its node has
// restarted and has not seen a response yet, from nodes that know the limit.
func TestRateLimitHoldsAfterRestart(t *testing.T) {
	is := is.New(t)
	p := newTestCluster(injectedFault{})
	defer p.close()
	const manySlots = 100
	limited := p.nodes[0]
	limited.slots = manySlots
	limited.report()
	const lowRate = statedRate / 4 // less than the callers that wait when the node is back
	p.stateRate(lowRate)
	stop := p.flood([]int{1, 2}, 500*time.Millisecond)
	time.Sleep(time.Second)
	limited.upstream.setDelay(300 * time.Millisecond) // the new process sees no response for so long
	from := time.Now()
	for range 2 {
		p.restart(0)
		time.Sleep(time.Second)
	}
	time.Sleep(ratecheck.Window)
	stop()
	got := ratecheck.Most(limited.upstream.arrivalsSince(from), from)
	t.Logf("%d requests in %s, permitted %d", got, ratecheck.Window, ratecheck.Permitted(lowRate))
	is.True(got <= ratecheck.Permitted(lowRate))
	is.True(got > 0)
}

// Guards against an upstream that gets further requests after it has stated in a
// response that it leaves, because its reports still say that it is ready.
func TestUpstreamThatStatesLeavingGetsNoRequests(t *testing.T) {
	is := is.New(t)
	p, leaving := newLeavingCluster(t)
	defer p.close()
	from := time.Now()
	leaving.report() // a ready report, as a late one
	for i := range 60 {
		is.Equal(p.sendWithin(i%clusterSize, true, time.Second).status, http.StatusOK)
	}
	is.Equal(len(leaving.upstream.arrivalsSince(from)), 0)
}

// Guards against requests from a node that has seen that an upstream leaves, by
// way of the upstream's node, which has restarted and believes a late report.
func TestLeavingUpstreamGetsNoRequestsAfterRestart(t *testing.T) {
	is := is.New(t)
	p, leaving := newLeavingCluster(t)
	defer p.close()
	from := time.Now()
	p.restart(0)
	for range 60 {
		is.Equal(p.sendWithin(1, true, time.Second).status, http.StatusOK)
	}
	is.Equal(len(leaving.upstream.arrivalsSince(from)), 0)
}

// newLeavingCluster returns a cluster and one of its nodes. The upstream of that
// node has stated in a response to a call of another node that it leaves.
func newLeavingCluster(t *testing.T) (*testCluster, *testNode) {
	t.Helper()
	p := newTestCluster(injectedFault{})
	leaving := p.nodes[0]
	leaving.upstream.state(testNames.Leaving + ": 1")
	p.sendUntilArrival(t, 1, leaving)
	return p, leaving
}

// sendUntilArrival sends calls to a node, one after the other, until one has
// reached the upstream of another node.
func (p *testCluster) sendUntilArrival(t *testing.T, node int, s *testNode) {
	t.Helper()
	for end := time.Now().Add(cancelTimeout); len(s.upstream.arrivalsSince(time.Time{})) == 0; {
		if time.Now().After(end) {
			t.Fatalf("no call reached the upstream within %s", cancelTimeout)
		}
		p.sendWithin(node, true, time.Second)
	}
}

// Guards against calls above the limit between the start of a node and the first
// response of its upstream: the health check that asks for the boot names the
// limit as well.
func TestRateLimitIsReadFromHealthCheck(t *testing.T) {
	is := is.New(t)
	p := newTestCluster(injectedFault{})
	defer p.close()
	s := p.nodes[0]
	sentAt := time.Now()
	is.Equal(s.gateway.Local.RateLimit(), -1.0)
	s.gateway.Local.observeHealthCheck("boot", http.Header{testNames.RateLimit: {"12.5"}}, sentAt)
	is.Equal(s.gateway.Local.RateLimit(), 12.5)
	s.gateway.Local.observeHealthCheck("another", http.Header{testNames.RateLimit: {"1"}}, sentAt)
	is.Equal(s.gateway.Local.RateLimit(), 12.5) // not the serving boot
}

// Guards against a value that is not a decimal number, and that changes or ends
// the limit.
func TestInvalidRateLimitChangesNothing(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"x", "NaN", "Inf", "-1", "1e400", "5,5", "0x10", "1_0"} {
		_, ok := testNames.statement(http.Header{testNames.RateLimit: {text}})
		if ok {
			t.Errorf("%q is taken for a rate limit", text)
		}
	}
	s, ok := testNames.statement(http.Header{testNames.RateLimit: {" 34.8 "}, testNames.Leaving: {"0"}})
	is.True(ok)
	is.Equal(s, upstream.Statement{Limited: true, RateLimit: 34.8})
	p := newTestCluster(injectedFault{})
	defer p.close()
	local := p.nodes[0].gateway.Local
	boot := local.boot.Load()
	local.observeResponse("r", boot, http.Header{testNames.RateLimit: {"20"}}, time.Now())
	local.observeResponse("r", boot, http.Header{testNames.RateLimit: {"many"}}, time.Now())
	is.Equal(local.RateLimit(), 20.0)
	local.observeResponse("r", boot, http.Header{}, time.Now())
	is.Equal(local.RateLimit(), -1.0)
}

// Guards against what a remote node knows from an earlier response and that
// replaces what the upstream has stated to this process since then.
func TestOwnResponsesTakePrecedence(t *testing.T) {
	is := is.New(t)
	p := newTestCluster(injectedFault{})
	defer p.close()
	local := p.nodes[0].gateway.Local
	s := bootStatement{boot: upstream.Boot{ID: "boot", Start: upstream.StartedAt(1)}, Statement: upstream.Statement{Limited: true, RateLimit: 7}}
	other := bootStatement{boot: upstream.Boot{ID: "other", Start: upstream.StartedAt(1)}, Statement: s.Statement}
	local.adoptStatement("r", other.String())
	is.Equal(local.RateLimit(), -1.0) // about another boot
	local.adoptStatement("r", s.String())
	is.Equal(local.RateLimit(), 7.0)
	local.observeResponse("r", local.boot.Load(), http.Header{}, time.Now())
	is.Equal(local.RateLimit(), -1.0)
	local.adoptStatement("r", s.String())
	is.Equal(local.RateLimit(), -1.0)
}

// Guards the field between nodes, with a boot whose ID has spaces.
func TestBootStatementRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, s := range []bootStatement{
		{boot: upstream.Boot{ID: "i 1", Start: upstream.StartedAt(1790463239453)}, Statement: upstream.Statement{Limited: true, RateLimit: 28.8}},
		{boot: upstream.Boot{ID: "i"}, Statement: upstream.Statement{Leaving: true}},
		{boot: upstream.Boot{ID: "i"}, Statement: upstream.Statement{Limited: true, Leaving: true}},
	} {
		got, ok := parseBootStatement(s.String())
		is.True(ok)
		is.Equal(got, s)
	}
	for _, text := range []string{"", "1", "1 - 0", "1 - 0 ", "x - 0 i", "1 -5 0 i", "1 NaN 0 i"} {
		_, ok := parseBootStatement(text)
		is.True(!ok)
	}
}

// Guards against an upstream that has stated that it takes no requests and is
// never used again, because no response can show that it takes them once more.
func TestEndOfZeroRateLimitIsNoticed(t *testing.T) {
	is := is.New(t)
	address, _ := rawUpstream(t, fmt.Sprintf("HTTP/1.1 200 X\r\n%s: boot\r\nContent-Length: 0\r\n\r\n", testNames.Boot), true)
	cfg := testConfiguration(injectedFault{})
	cfg.Services[0].HealthPath = "/health"
	l := newUnreportedLocal(t, address, shaping.NewLink(0), cfg, true)
	l.Report(upstream.Report{ID: "boot", Start: upstream.StartedAt(1), Sequence: 1, Service: testService, Slots: 1})
	waitFor(t, "the upstream serves", l.Serving)
	l.observeResponse("r", l.boot.Load(), http.Header{testNames.RateLimit: {"0"}}, time.Now())
	is.Equal(l.RateLimit(), 0.0)
	waitFor(t, "the limit has ended", func() bool { return l.RateLimit() < 0 })
}

// Guards against a refusal of an upstream whose Retry-After does not reach the
// caller, who then returns too early.
func TestRetryAfterOfUpstreamReachesCaller(t *testing.T) {
	is := is.New(t)
	p := newTestCluster(injectedFault{})
	defer p.close()
	for _, s := range p.nodes {
		s.upstream.state("Retry-After: 1.25")
		s.upstream.enqueue(sheds, sheds, sheds, sheds)
	}
	r, err := http.NewRequest(http.MethodGet, "http://"+p.nodes[0].address+"/safe/", nil)
	is.NoErr(err)
	r.Host = "h"
	resp, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get("Retry-After"), "1.25")
}

// Guards against calls that wait at limited upstreams, or are refused, while
// others in the same distant region have capacity: the refusal of a limited
// upstream must not start a backoff of the whole region.
func TestRefusalOfLimitedUpstreamKeepsRegionInUse(t *testing.T) {
	is := is.New(t)
	p := newTestCluster(injectedFault{})
	defer p.close()
	g := p.nodes[0].gateway
	far := model.Location{Region: "far", AvailabilityZone: "f"}
	candidates := []model.UpstreamNode{
		{Node: "limited", Address: "a:1", Service: testService, Location: far}, {Node: "free", Address: "b:1", Service: testService, Location: far},
	}
	c := &call{attempt: &Attempt{Service: testService, Route: "safe", MaxWait: 60 * time.Millisecond}}
	now := time.Second
	pick := func() balance.Result {
		_, result := g.Picker.Pick(balance.Request{
			Candidates: candidates, From: g.Self.Location, Service: testService, Route: "safe", Now: now, Seed: 1, Exclude: []model.NodeID{"limited"},
		})
		return result
	}
	refuse := func(i int) {
		choice := balance.Choice{Index: i, Stats: g.Picker.Stats(candidates[i].Node, now), Distance: model.OtherRegion}
		g.backOff(c, &candidates[i], &choice, time.Second, now)
	}
	limited := bootStatement{boot: upstream.Boot{ID: "b", Start: upstream.StartedAt(1)}, Statement: upstream.Statement{Limited: true, RateLimit: 5}}
	g.Remote.statements.observe("a:1", limited.String(), time.Now())
	is.Equal(pick(), balance.Picked)
	refuse(0)
	is.Equal(pick(), balance.Picked)
	refuse(1)
	is.Equal(pick(), balance.Busy) // an upstream without a limit whose queue is full
}

// Guards against calls that wait for the rate limit of an upstream that leaves, or
// of a node that stops, one start after the other, only to be refused then.
func TestCallsDoNotWaitForTheLimitOfALeavingUpstream(t *testing.T) {
	for name, leave := range map[string]func(*Local){
		"leaves": func(l *Local) { l.Leave("boot", upstream.StartedAt(1)) },
		"stops":  (*Local).Stop,
		"states": func(l *Local) {
			l.observeResponse("r", l.boot.Load(), http.Header{testNames.Leaving: {"1"}}, time.Now())
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newTestCluster(injectedFault{})
			defer p.close()
			l := p.nodes[0].gateway.Local
			l.observeResponse("r", l.boot.Load(), http.Header{testNames.RateLimit: {"0.1"}}, time.Now())
			ended := make(chan *Refusal)
			go func() {
				_, r := l.Run(t.Context(), &Attempt{Service: testService, Weight: 1, Header: http.Header{}, Deadline: time.Now().Add(time.Minute)})
				ended <- r
			}()
			waitFor(t, "the call waits", func() bool { return l.gate.State().Waiting == 1 })
			leave(l)
			select {
			case r := <-ended:
				is.Equal(r.RunState, model.NotRun)
				is.True(r.Reason == model.NoUpstream || r.Reason == model.NodeDraining)
			case <-time.After(cancelTimeout):
				t.Fatal("the call still waits")
			}
		})
	}
}

// Guards against a boot that is limited or left out because another boot at its
// address, which refuses the request, states so about itself.
func TestStatementOfAnotherBootHasNoEffect(t *testing.T) {
	is := is.New(t)
	p := newTestCluster(injectedFault{})
	defer p.close()
	s := p.nodes[0]
	s.upstream.state(testNames.RateLimit+": 1", testNames.Leaving+": 1")
	s.upstream.enqueue(misdirected)
	_, r := s.gateway.Local.Run(t.Context(), &Attempt{
		RequestID: "1", Method: http.MethodGet, Target: "/", Host: "h", Service: testService, Weight: 1, Header: http.Header{testNames.RequestID: {"1"}},
		Deadline: time.Now().Add(time.Second),
	})
	is.Equal(r.Reason, model.NoUpstream)
	s.report()
	is.True(s.gateway.Local.Serving())
	is.Equal(s.gateway.Local.RateLimit(), -1.0)
}
