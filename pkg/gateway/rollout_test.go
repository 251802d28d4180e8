package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/rollout"
	"github.com/lentilflow/lentilflow/pkg/upstream"
)

// newRolloutCluster returns a cluster in which the last node has an upstream of the version
// v2 and the others of v1, and all of them know a phase of the rollout.
func newRolloutCluster(t *testing.T, p rollout.Phase, share float64) *testCluster {
	t.Helper()
	c := newTestCluster(injectedFault{})
	t.Cleanup(c.close)
	last := c.nodes[len(c.nodes)-1]
	for _, s := range c.nodes {
		table := rollout.NewTable(5 * time.Second)
		s.gateway.Rollouts, s.gateway.Local.Rollouts = table, table
		software := "v1"
		if s == last {
			software = "v2"
		}
		s.setSoftware(software)
		s.enter(p, share, last.member.Node)
	}
	return c
}

func (s *testNode) setSoftware(software string) {
	s.sequence++
	s.gateway.Local.Report(upstream.Report{ID: "boot", Start: upstream.StartedAt(1), Sequence: s.sequence, Service: testService, Slots: s.slots, Software: software})
}

// enter makes the node know a phase of the rollout.
func (s *testNode) enter(p rollout.Phase, share float64, fresh ...model.NodeID) {
	s.gateway.Rollouts.Merge([]rollout.State{{
		Service: testService, To: "v2", From: "v1", Within: 60000, At: follow.At(7), Phase: p, Share: share, Sequence: uint64(time.Now().UnixNano()),
		Nodes: rollout.HashNodes(fresh), PhaseAge: 1000, Written: p.Final(),
	}}, time.Now())
}

// Guards the share of calls that a new version gets, and that it gets none before its canary
// and after a rollback.
func TestNewVersionGetsItsShare(t *testing.T) {
	for _, c := range []struct {
		phase       rollout.Phase
		share       float64
		least, most int // of 200 requests
	}{
		{rollout.Pending, 0, 0, 0}, {rollout.Canary, 0.2, 15, 75}, {rollout.Cutover, 1, 200, 200}, {rollout.RolledBack, 0, 0, 0}, {rollout.Completed, 0, 200, 200},
	} {
		t.Run(string(c.phase), func(t *testing.T) {
			is := is.New(t)
			p := newRolloutCluster(t, c.phase, c.share)
			for i := range 200 {
				is.Equal(p.sendWithin(i%2, i%4 < 2, time.Second).status, http.StatusOK)
			}
			n := len(p.nodes[2].upstream.arrivalsSince(time.Time{}))
			t.Logf("%d requests on the new version", n)
			is.True(n >= c.least && n <= c.most)
		})
	}
}

// Guards against a new version that runs calls of nodes that do not know the order, and
// against calls that are lost because their node knows no versions.
func TestNodeThatDoesNotKnowTheOrder(t *testing.T) {
	is := is.New(t)
	p := newRolloutCluster(t, rollout.Canary, 0)
	p.nodes[0].gateway.Rollouts = rollout.NewTable(5 * time.Second) // its local upstream knows it
	for range 60 {
		is.Equal(p.sendWithin(0, true, time.Second).status, http.StatusOK)
	}
	is.Equal(len(p.nodes[2].upstream.arrivalsSince(time.Time{})), 0)
	is.Equal(p.nodes[0].gateway.Rollouts.Current().Of(testService).Phase, rollout.Canary) // learnt from a refusal
	is.Equal(p.nodes[0].gateway.View.Current().UpstreamNodes(testService)[2].Software, "v2")
}

// Guards against retries that bring more calls to a new version than its share, and against
// calls that fail with it although the old version would run them.
func TestRetriesStayWithOldVersion(t *testing.T) {
	is := is.New(t)
	p := newRolloutCluster(t, rollout.Canary, 1)
	for i := range 40 {
		if i%2 == 0 {
			p.nodes[2].upstream.enqueue(sheds)
		} else {
			p.nodes[2].upstream.enqueue(answers500)
		}
	}
	p.nodes[0].enter(rollout.Canary, 0.99, "n2")
	for range 40 {
		is.Equal(p.sendWithin(0, true, time.Second).status, http.StatusOK)
	}
	n := len(p.nodes[2].upstream.arrivalsSince(time.Time{}))
	is.True(n > 20 && n <= 40) // at most one for each call
}

// Guards against old upstreams that run calls after the cutover, when they may stop at any
// time, and against callers that do not find the new ones then.
func TestOldUpstreamsCloseInCutover(t *testing.T) {
	is := is.New(t)
	p := newRolloutCluster(t, rollout.Canary, 0)
	for _, s := range p.nodes[1:] {
		s.enter(rollout.Cutover, 1, "n2")
	}
	p.nodes[0].gateway.Local.Rollouts = p.nodes[1].gateway.Rollouts // the caller's node is late
	for range 40 {
		is.Equal(p.sendWithin(0, false, time.Second).status, http.StatusOK)
	}
	is.Equal(len(p.nodes[0].upstream.arrivalsSince(time.Time{}))+len(p.nodes[1].upstream.arrivalsSince(time.Time{})), 0)
}

// Guards against counts that take a request which the upstream has not run, or whose caller
// has gone, for a failure of its version.
func TestWhatCountsForARollout(t *testing.T) {
	is := is.New(t)
	p := newRolloutCluster(t, rollout.Completed, 0)
	s := p.nodes[2]
	r := rollout.NewRecorder(follow.At(7), time.Now())
	s.gateway.Local.SetRecorder(r)
	for _, a := range []action{answers, sheds, answers500, runsAndCloses, answersMalformed, closesBeforeRead, answers} {
		s.upstream.enqueue(a)
		p.sendWithin(2, false, time.Second)
		s.report() // the upstream serves again after a lost connection
		s.setSoftware("v2")
	}
	counts := r.Counts("v2")
	is.Equal(len(counts), 1)
	is.Equal(counts[0].Requests-counts[0].Failures, uint64(2))
	is.True(counts[0].Failures >= 3 && counts[0].Failures <= 4) // whether it read the request is not known
}

// Guards against a node that uses an upstream before it can know which version is in use,
// and against one that does not use it afterwards.
func TestNodeAwaitsVersionInUse(t *testing.T) {
	is := is.New(t)
	p := newRolloutCluster(t, rollout.Completed, 0)
	l := p.nodes[0].gateway.Local
	l.Rollouts, l.OnlyOrdered = rollout.NewTable(5*time.Second), true
	is.True(!l.Serving())
	l.SetVersionsKnown(true)
	is.True(l.Serving()) // no version is known to be in use
	l.Rollouts.Merge([]rollout.State{{Service: testService, From: "v1"}}, time.Now())
	is.True(l.Serving())
	p.nodes[0].setSoftware("") // not known on a new VM
	is.True(!l.Serving())
	l.SetVersionsKnown(false)
	is.True(l.Serving()) // not known after a restart of the node
	p.nodes[0].setSoftware("v7")
	is.True(!l.Serving())
}
