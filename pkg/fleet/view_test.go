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

// Guards against an older fleet that replaces a newer one, whether it comes
// from the store or from another node: the view is compared with the newest
// state offered.
func TestRevisionsOnlyRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := NewView()
		newest, want := follow.Revision(0), 0
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			at := follow.Revision(rapid.Uint64Range(1, 9).Draw(t, "revision"))
			n := rapid.IntRange(0, 4).Draw(t, "nodes")
			var members []Member
			for i := range n {
				members = append(members, member(string(rune('a'+i)), "s"))
			}
			taken := v.Replace(members, at)
			if taken != (at > newest) {
				t.Fatalf("revision %d after %d: taken %v", at, newest, taken)
			}
			if taken {
				newest, want = at, n
			}
			if got := len(v.Current().Entries("s")); got != want {
				t.Fatalf("%d entries, want %d", got, want)
			}
		}
	})
}

// Guards changes: nodes that join, move to another service and leave.
func TestApply(t *testing.T) {
	is := is.New(t)
	v := NewView()
	v.Replace([]Member{member("a", "s"), member("b", "s")}, 1)
	v.Apply(Change{Set: []Member{member("b", "t"), member("c", "s")}, Removed: []model.NodeID{"a"}, Revision: 2})
	is.Equal(len(v.Current().Entries("s")), 1)
	is.Equal(v.Current().Entries("t")[0].Node, model.NodeID("b"))
	v.Apply(Change{Removed: []model.NodeID{"c"}, Revision: 2}) // not newer
	is.Equal(len(v.Current().Entries("s")), 1)
}

// Guards against equal fleets that look different because their revisions do,
// and against different ones that look equal.
func TestDigestFollowsTheMembers(t *testing.T) {
	is := is.New(t)
	digest := func(at follow.Revision, members ...Member) uint64 {
		v := NewView()
		v.Replace(members, at)
		return v.Current().Digest
	}
	a, b := member("a", "s"), member("b", "s")
	is.Equal(digest(1, a, b), digest(9, b, a))
	is.True(digest(1, a) != digest(1, a, b))
	is.True(digest(1, a) != digest(1, member("a", "t")))
}

// Guards against a node that stays set aside after its announcement of return
// was lost, and against one that is used like others while it takes no work.
func TestAbsenceEnds(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	v := NewView()
	v.Replace([]Member{member("a", "s")}, 1)
	state := func() model.EntryState { return v.Current().Entries("s")[0].State }
	v.SetServing("a", false, now)
	is.Equal(state(), model.Suspect)
	v.Expire(now.Add(absenceTime))
	is.Equal(state(), model.Suspect)
	v.Expire(now.Add(absenceTime + 1))
	is.Equal(state(), model.Ready)
	v.SetServing("a", false, now)
	v.SetServing("a", true, now)
	is.Equal(state(), model.Ready)
}

// Guards against a VM that is gone for good and whose row stays: it is tried
// less and less often. Its return, which it announces, counts at once.
func TestUnreachableNodeIsTriedLessOften(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	v := NewView()
	v.Replace([]Member{member("a", "s")}, 1)
	state := func() model.EntryState { return v.Current().Entries("s")[0].State }
	tries := 0
	for range 600 { // one call a second for ten minutes
		v.Expire(now)
		if state() == model.Ready {
			tries++
			v.SetUnreachable("a", now)
			v.SetUnreachable("a", now.Add(time.Millisecond)) // another call at the same moment
		}
		now = now.Add(time.Second)
	}
	is.True(tries < 20)
	v.SetServing("a", true, now)
	is.Equal(state(), model.Ready)
	v.SetUnreachable("a", now)
	v.Expire(now.Add(absenceTime + 1))
	is.Equal(state(), model.Ready) // it begins anew
}
