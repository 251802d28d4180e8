package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
)

func member(id, service string) Member {
	return Member{
		Node: model.NodeID(id), Service: service, CallAddress: id + ":1", MessageAddress: id + ":2",
		Location: model.Location{Region: "r", AvailabilityZone: "z"},
	}
}

// Guards against an older state of the fleet that replaces a newer one, whether
// it comes from the store or from another node. The view is compared with the
// newest state given to it.
func TestRevisionsOnlyRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := NewView()
		newest, want := follow.Position{}, 0
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			at := follow.Position{
				Era: newest.Era + follow.Era(rapid.IntRange(0, 1).Draw(t, "restored")), Revision: follow.Revision(rapid.Uint64Range(1, 9).Draw(t, "revision")),
			}
			n := rapid.IntRange(0, 4).Draw(t, "nodes")
			var members []Member
			for i := range n {
				members = append(members, member(string(rune('a'+i)), "s"))
			}
			accepted := v.Replace(members, at, time.Now())
			if accepted != (at.Era > newest.Era || at.Era == newest.Era && at.Revision > newest.Revision) {
				t.Fatalf("%v after %v: accepted %v", at, newest, accepted)
			}
			if accepted {
				newest, want = at, n
			}
			if got := len(v.Current().AllRegistered()); got != want {
				t.Fatalf("%d upstream nodes, want %d", got, want)
			}
		}
	})
}

// Guards the application of changes: nodes that join, move to another service
// and leave.
func TestApply(t *testing.T) {
	is := is.New(t)
	v := NewView()
	v.Replace([]Member{member("a", "s"), member("b", "s")}, follow.At(1), time.Now())
	v.Apply(Change{Set: []Member{member("b", "t"), member("c", "s")}, Removed: []model.NodeID{"a"}, Position: follow.At(2)}, time.Now())
	is.Equal(len(v.Current().UpstreamNodes("s")), 1)
	is.Equal(v.Current().UpstreamNodes("t")[0].Node, model.NodeID("b"))
	v.Apply(Change{Removed: []model.NodeID{"c"}, Position: follow.At(2)}, time.Now()) // not newer
	is.Equal(len(v.Current().UpstreamNodes("s")), 1)
}

// Guards against different digests of equal fleets at different revisions, and
// against equal digests of different fleets.
func TestDigestDependsOnMembersOnly(t *testing.T) {
	is := is.New(t)
	digest := func(revision follow.Revision, members ...Member) uint64 {
		v := NewView()
		v.Replace(members, follow.At(revision), time.Now())
		return v.Current().Digest
	}
	a, b := member("a", "s"), member("b", "s")
	is.Equal(digest(1, a, b), digest(9, b, a))
	is.True(digest(1, a) != digest(1, a, b))
	is.True(digest(1, a) != digest(1, member("a", "t")))
}

// runProbes calls Probes every 100 ms for the given span and returns the number
// of probes. It calls onProbe for each of them.
func runProbes(v *View, from time.Time, span time.Duration, onProbe func(id model.NodeID, now time.Time)) int {
	n := 0
	for now := from; now.Before(from.Add(span)); now = now.Add(100 * time.Millisecond) {
		due, _ := v.Probes(now)
		n += len(due)
		for _, m := range due {
			onProbe(m.Node, now)
		}
	}
	return n
}

// Guards against a node that stays not serving after its announcement of return
// was lost, and against one that is used as ready while it is not serving.
func TestNotServingNodeReturns(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	v := NewView()
	v.Replace([]Member{member("a", "s")}, follow.At(1), time.Now())
	state := func() model.UpstreamNodeState { return v.Current().UpstreamNodes("s")[0].State }
	v.SetServing("a", false, now)
	is.Equal(state(), model.NotServing)
	is.Equal(runProbes(v, now, minNotServingProbePause, nil), 0) // no probe right after its announcement
	runProbes(v, now, 2*minNotServingProbePause, func(id model.NodeID, now time.Time) { v.SetServing(id, true, now) })
	is.Equal(state(), model.Ready)
	v.SetServing("a", false, now)
	v.SetServing("a", true, now)
	is.Equal(state(), model.Ready)
}

// Guards against calls that are sent to a VM that is gone for good although its
// row remains, as when 16 of 18 VMs were removed. Only probes are sent to it, at
// increasing intervals.
func TestUnreachableNodeGetsProbesOnly(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	v := NewView()
	v.Replace([]Member{member("a", "s")}, follow.At(1), time.Now())
	state := func() model.UpstreamNodeState { return v.Current().UpstreamNodes("s")[0].State }
	is.True(v.SetUnreachable("a", now))
	<-v.NewlyUnavailable()
	is.True(!v.SetUnreachable("a", now.Add(time.Millisecond))) // another call fails at the same time
	n := runProbes(v, now, 10*time.Minute, func(id model.NodeID, now time.Time) {
		is.Equal(state(), model.Unreachable)
		v.SetUnreachable(id, now)
	})
	is.True(n < 50)
	is.True(n > 10)
	is.True(v.SetServing("a", true, now))
	is.Equal(state(), model.Ready)
	due, next := v.Probes(now)
	is.Equal(len(due), 0)
	is.Equal(next, time.Duration(0))
}

// Guards against a node that stays unreachable because this node was stalled
// when a connection failed. It is probed at once and used again as soon as it
// responds.
func TestFalselyUnreachableNodeReturnsAtFirstProbe(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	v := NewView()
	v.Replace([]Member{member("a", "s")}, follow.At(1), time.Now())
	v.SetUnreachable("a", now)
	due, _ := v.Probes(now)
	is.Equal(len(due), 1)
	v.SetServing("a", false, now) // it responds that its upstream is unavailable
	is.Equal(v.Current().UpstreamNodes("s")[0].State, model.NotServing)
	is.Equal(len(v.unreachableFor(now.Add(time.Hour), 0)), 0)
}
