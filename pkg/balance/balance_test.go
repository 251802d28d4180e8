package balance

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lentilflow/lentilflow/pkg/internal/rapidtest"
	"github.com/lentilflow/lentilflow/pkg/model"
)

func init() { rapidtest.FixSeed(20) }

var localLocation = model.Location{Region: "serra", AvailabilityZone: "caxias"}

func testNodes() []model.UpstreamNode {
	var all []model.UpstreamNode
	for i, l := range []model.Location{localLocation, {Region: "serra", AvailabilityZone: "bento"}, {Region: "oeste", AvailabilityZone: "toledo"}} {
		for j := range 3 {
			all = append(all, model.UpstreamNode{Node: model.NodeID(fmt.Sprint(i, "-", j)), Location: l})
		}
	}
	return all
}

type pickFunc func(*Picker, Request) (Choice, Result)

// checkPicks runs random outcomes and returns the first property that does not
// hold. It records only which nodes ever failed or refused a call.
func checkPicks(t *rapid.T, pick pickFunc) string {
	p, nodes, now := NewPicker(), testNodes(), time.Duration(0)
	affected := map[model.NodeID]bool{}
	for range rapidtest.Steps(200) {
		now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
		for i := range nodes {
			nodes[i].State = model.UpstreamNodeState(rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "state"))
		}
		var exclude []model.NodeID
		if rapid.Bool().Draw(t, "avoid") {
			exclude = append(exclude, nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "which")].Node)
		}
		c, res := pick(p, Request{Candidates: nodes, From: localLocation, Prefer: model.PreferZone, Exclude: exclude, Now: now, Seed: rapid.Uint64().Draw(t, "random")})
		if fault := checkChoice(nodes, exclude, affected, c, res); fault != "" {
			return fault
		}
		if res != Picked {
			continue
		}
		c.Stats.Begin(now)
		o := rapid.SampledFrom([]Outcome{Accepted, Accepted, Refused, Failed, Neutral}).Draw(t, "outcome")
		if o == Refused || o == Failed {
			affected[nodes[c.Index].Node] = true
		}
		c.Stats.End(now, 0, o, time.Millisecond)
	}
	return ""
}

func checkChoice(nodes []model.UpstreamNode, exclude []model.NodeID, affected map[model.NodeID]bool, c Choice, res Result) string {
	usable, nearestUnaffected := 0, len(nodes)
	for i, e := range nodes {
		if e.State == model.Unreachable || excluded(e.Node, exclude) {
			continue
		}
		usable++
		if e.State == model.Ready && !affected[e.Node] {
			nearestUnaffected = min(nearestUnaffected, i/3)
		}
	}
	switch {
	case res == NoUpstream && usable > 0:
		return "NoUpstream for a service that has usable nodes"
	case res == Picked && (nodes[c.Index].State == model.Unreachable || excluded(nodes[c.Index].Node, exclude)):
		return "a node was chosen that is unreachable or was tried"
	case res == Picked && len(affected) == 0 && c.Index/3 > nearestUnaffected:
		return "a more distant node was chosen although no call failed or was refused"
	}
	return ""
}

// Guards against calls to unreachable nodes, needless inter-region calls, and
// the result NoUpstream although a node of the service may run the call.
func TestPick(t *testing.T) {
	rapidtest.RequireNoFault(t, pickFunc((*Picker).Pick), checkPicks)
}

// Checks that checkPicks detects each broken variant.
func TestCheckPicksDetectsBrokenVariants(t *testing.T) {
	broken := map[string]pickFunc{
		"NoUpstream for a service that has usable nodes": func(p *Picker, r Request) (Choice, Result) {
			c, res := p.Pick(r)
			if res == Picked && r.Candidates[c.Index].State == model.NotServing {
				return c, NoUpstream
			}
			return c, res
		},
		"a node was chosen that is unreachable or was tried": func(p *Picker, r Request) (Choice, Result) {
			r.Exclude = nil
			return p.Pick(r)
		},
		"a more distant node was chosen although no call failed or was refused": func(p *Picker, r Request) (Choice, Result) {
			r.Prefer = model.PreferAny
			return p.Pick(r)
		},
	}
	rapidtest.RequireFaultsFound(t, broken, checkPicks)
}

// Guards against a node that keeps sending calls which are refused, and against
// one that never tries again. If every call is refused, some calls but less than
// a third are sent. After the load has fallen, calls are sent as before.
func TestRefusalsThrottleAndProbe(t *testing.T) {
	p, nodes, now, sent := NewPicker(), testNodes(), time.Duration(0), 0
	run := func(n int, o Outcome) int {
		sent = 0
		for i := range n {
			now += time.Millisecond
			if c, res := p.Pick(Request{Candidates: nodes, From: localLocation, Class: 3, Now: now, Seed: uint64(i)}); res == Picked {
				sent++
				c.Stats.Begin(now)
				c.Stats.End(now, 3, o, time.Millisecond)
			}
		}
		return sent
	}
	if n := run(2000, Refused); n < 20 || n > 666 {
		t.Fatalf("%d of 2000 refused calls were sent, want 20 to 666", n)
	}
	run(2000, Accepted)
	if n := run(1000, Accepted); n < 990 {
		t.Fatalf("%d of 1000 calls were sent after the load fell, want at least 990", n)
	}
	if _, res := p.Pick(Request{Candidates: nodes, From: localLocation, Class: 0, Now: now}); res != Picked {
		t.Fatal("refusals of rank 3 throttled a call of rank 0")
	}
}

// Guards against calls that are still sent to a zone that refuses them, and
// against calls that leave a zone that accepts them.
func TestCallsLeaveRefusingZone(t *testing.T) {
	p, nodes, now := NewPicker(), testNodes(), time.Duration(0)
	count := func(localOutcome Outcome) (remoteCalls int) {
		for i := range 3000 {
			now += time.Millisecond
			c, res := p.Pick(Request{Candidates: nodes, From: localLocation, Now: now, Seed: uint64(i)})
			if res != Picked {
				t.Fatal("no upstream was picked although some accept calls")
			}
			o := Accepted
			if c.Distance == model.SameZone {
				o = localOutcome
			} else if i >= 2000 { // two seconds after the change
				remoteCalls++
			}
			c.Stats.Begin(now)
			c.Stats.End(now, 0, o, time.Millisecond)
			if c.Distance == model.OtherRegion {
				t.Fatal("a call left the region although a zone of it accepts calls")
			}
		}
		return remoteCalls
	}
	if far := count(Accepted); far != 0 {
		t.Fatalf("%d calls left an accepting zone", far)
	}
	if far := count(Refused); far < 900 {
		t.Fatalf("only %d of 1000 calls left a zone that has refused for two seconds, want at least 900", far)
	}
}

// Guards against a load estimate that ignores calls in flight.
func TestBusyUpstreamGetsFewerCalls(t *testing.T) {
	p, nodes := NewPicker(), testNodes()[:2]
	for range 10 {
		p.Stats(nodes[0].Node, 0).Begin(0)
	}
	n := 0
	for i := range 1000 {
		if c, _ := p.Pick(Request{Candidates: nodes, From: localLocation, Seed: uint64(i)}); c.Index == 0 {
			n++
		}
	}
	if n > 300 { // both random candidates are the busy one in 1 of 4 choices
		t.Fatalf("the busy upstream got %d of 1000 calls, want at most 300", n)
	}
}

func BenchmarkPick(b *testing.B) {
	p, nodes := NewPicker(), testNodes()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c, _ := p.Pick(Request{Candidates: nodes, From: localLocation, Now: time.Duration(i), Seed: uint64(i)})
		c.Stats.Begin(time.Duration(i))
		c.Stats.End(time.Duration(i), 0, Accepted, time.Millisecond)
	}
}

// Load: more calls of one route than its upstreams can run. Guards against calls
// that try one full upstream after the other, above all in other zones, where
// bytes are billed by volume. An upstream at which the call would wait too long
// is not tried for that route during a backoff, and a backoff outside the local
// zone applies to all upstreams at that distance.
func TestBackoffFromBusyUpstreams(t *testing.T) {
	p, nodes := NewPicker(), testNodes()
	request := func(now time.Duration, route string) Request {
		return Request{Candidates: nodes, From: localLocation, Prefer: model.PreferZone, Class: 1, Service: "s", Route: route, Now: now, Seed: uint64(now)}
	}
	picked := map[model.Distance]int{}
	busy := 0
	const calls = 2000
	for i := range calls { // calls would wait too long at every upstream
		now := time.Duration(i) * time.Millisecond
		c, res := p.Pick(request(now, "long"))
		switch res {
		case Picked:
			picked[c.Distance]++
			c.Stats.Begin(now)
			p.BackOff(&c, "s", "long", time.Second, now, 0.5)
			c.Stats.End(now, 1, Neutral, 0)
		case Busy:
			busy++
			if c.Distance != model.SameZone {
				t.Fatal("a call was sent to wait outside of the local zone")
			}
		default:
			t.Fatalf("result %d", res)
		}
	}
	if picked[model.SameZone] > calls/50 || picked[model.SameRegion] > calls/150 || picked[model.OtherRegion] > calls/150 || busy < calls*9/10 {
		t.Errorf("picked %v, busy %d of %d", picked, busy, calls)
	}
	now := calls * time.Millisecond
	if c, res := p.Pick(request(now, "short")); res != Picked || c.Distance != model.SameZone {
		t.Error("the backoff also applies to another route of the service")
	}
	waits := request(now, "long")
	waits.IgnoreBackoff = true
	if c, res := p.Pick(waits); res != Picked || c.Distance != model.SameZone {
		t.Error("a backoff applies to a call with IgnoreBackoff")
	}
	if c, res := p.Pick(request(now+time.Second, "long")); res != Picked || c.Distance != model.SameZone {
		t.Error("the nearest upstreams are not picked again after the backoff")
	}
}

// Load: downloads beside short calls on links of low bandwidth, and the links of
// the local region are full. Guards against downloads over the links between
// regions, which are billed by volume, and against downloads that are refused
// although only upstreams of other regions are serving.
func TestDownloadsStayInRegion(t *testing.T) {
	p, nodes, now := NewPicker(), testNodes(), time.Duration(0)
	request := Request{Candidates: nodes, From: localLocation, Prefer: model.PreferZone, Route: "files", Service: "s", Download: true}
	otherRegion := func(c Choice) bool { return nodes[c.Index].Location.Region != localLocation.Region }
	for i := range 1000 {
		now += time.Millisecond
		request.Now, request.Seed = now, uint64(i)
		c, res := p.Pick(request)
		if res != Picked && res != Busy || otherRegion(c) {
			t.Fatalf("choice %d: %v in region %s", i, res, nodes[c.Index].Location.Region)
		}
		c.Stats.Begin(now)
		c.Stats.End(now, 0, Refused, time.Millisecond)
		p.BackOff(&c, "s", "files", time.Second, now, 0)
	}
	for _, e := range nodes[:6] {
		request.Exclude = append(request.Exclude, e.Node)
	}
	if _, res := p.Pick(request); res != NoUpstream {
		t.Fatalf("all upstreams of the region are excluded: result %d, want %d", res, NoUpstream)
	}
	request.Exclude = nil
	for i := range nodes[:6] {
		nodes[i].State = model.NotServing
	}
	if c, res := p.Pick(request); res != Picked || !otherRegion(c) {
		t.Fatalf("no upstream of the region is serving: result %d, want one of another region", res)
	}
}
