package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
)

func viewOf(nodes int) *View {
	v := NewView()
	var members []Member
	for i := range nodes {
		members = append(members, member(fmt.Sprint("n", i), "s"))
	}
	v.Replace(members, follow.At(1), time.Now())
	return v
}

// Guards against rows that stay for ever although their VMs are gone for good,
// and against the removal of nodes that are unreachable only for a while.
func TestNodesToRemove(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	v := viewOf(5)
	v.SetUnreachable("n1", now)
	v.SetUnreachable("n2", now.Add(time.Minute))
	v.SetServing("n3", false, now) // not serving, but reachable
	is.Equal(len(v.NodesToRemove(now.Add(LostAfter-1), 0)), 0)
	is.Equal(v.NodesToRemove(now.Add(LostAfter), 0), []Member{member("n1", "s")})
	v.Apply(Change{Removed: []model.NodeID{"n1"}, Position: follow.At(2)}, time.Now())
	is.Equal(len(v.NodesToRemove(now.Add(LostAfter), 0)), 0)
	is.Equal(v.NodesToRemove(now.Add(LostAfter+time.Minute), 0), []Member{member("n2", "s")})
}

// Guards against a disconnected node that removes the rows of all others.
func TestIsolatedNodeRemovesNoRows(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	v := viewOf(5)
	for _, id := range []model.NodeID{"n1", "n2", "n3"} {
		v.SetUnreachable(id, now)
	}
	is.Equal(len(v.NodesToRemove(now.Add(LostAfter), 0)), 0)
}

// Guards against thousands of nodes that remove the same row at the same time.
func TestOneNodeRemovesRows(t *testing.T) {
	now := time.Unix(1000, 0)
	v := viewOf(2800)
	v.SetUnreachable("n1", now)
	removals := 0
	rnd := rand.New(rand.NewPCG(1, 2))
	const rounds = 10
	for range rounds * 2799 {
		if len(v.NodesToRemove(now.Add(LostAfter), rnd.Float64())) > 0 {
			removals++
		}
	}
	if removals < rounds/3 || removals > rounds*3 {
		t.Errorf("%d removals in %d rounds of 2799 nodes, want about one per round", removals, rounds)
	}
}
