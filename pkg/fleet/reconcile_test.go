package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
)

var restoredAt = time.Unix(1000, 0)

// position returns a position in an era.
func position(era follow.Era, r follow.Revision) follow.Position {
	return follow.Position{Era: era, Revision: r}
}

func ids(members map[model.NodeID]Member) []model.NodeID {
	var all []model.NodeID
	for id := range members {
		all = append(all, id)
	}
	slices.Sort(all)
	return all
}

// Guards against the loss of capacity after a restore: nodes whose rows were lost
// still live, and must stay in the fleet until they had time to write their rows
// again. Nodes that do not must leave.
func TestNodesStayUntilLostRowsAreWritten(t *testing.T) {
	is := is.New(t)
	v := NewView()
	v.Replace([]Member{member("a", "s"), member("b", "s"), member("c", "s")}, position(1, 9), restoredAt)
	v.Replace([]Member{member("a", "s")}, position(2, 5), restoredAt)
	<-v.RestoreNoticed()
	f := v.Current()
	is.Equal(ids(f.Members), []model.NodeID{"a", "b", "c"})
	is.Equal(f.Unconfirmed(), 2)
	is.Equal(len(f.UpstreamNodes("s")), 3)
	_, ok := f.Registered("b")
	is.True(!ok)
	v.Apply(Change{Set: []Member{member("b", "s")}, Position: position(2, 6)}, restoredAt)
	is.Equal(v.Current().Unconfirmed(), 1)
	is.Equal(len(v.DropUnconfirmed(restoredAt.Add(confirmTime))), 0)
	is.Equal(v.DropUnconfirmed(restoredAt.Add(confirmTime+registrationSpread(2)+1)), []model.NodeID{"c"})
	is.Equal(ids(v.Current().Members), []model.NodeID{"a", "b"})
	is.True(!v.Reconciling())
}

// Guards against a node that stays in the fleet because its row was lost, although
// it has written its row again and left.
func TestUnconfirmedNodeThatLeavesIsRemoved(t *testing.T) {
	is := is.New(t)
	v := NewView()
	v.Replace([]Member{member("a", "s"), member("b", "s")}, position(1, 9), restoredAt)
	v.Replace([]Member{member("a", "s")}, position(2, 5), restoredAt)
	v.Apply(Change{Removed: []model.NodeID{"b"}, Position: position(2, 8)}, restoredAt)
	is.Equal(ids(v.Current().Members), []model.NodeID{"a"})
}

// Guards against calls to a node that had left before the store brought its row
// back, and against a row that stays. A node that responds keeps its row.
func TestReturnedRowOfDepartedNodeIsRemoved(t *testing.T) {
	is := is.New(t)
	v := NewView()
	all := []Member{member("a", "s"), member("b", "s"), member("c", "s")}
	v.Replace(all, position(1, 7), restoredAt)
	v.Apply(Change{Removed: []model.NodeID{"b", "c"}, Position: position(1, 9)}, restoredAt)
	v.Replace(all, position(2, 5), restoredAt)
	for _, n := range v.Current().UpstreamNodes("s")[1:] {
		is.Equal(n.State, model.Unreachable)
	}
	due, _ := v.Probes(restoredAt)
	is.Equal(len(due), 2)
	v.SetServing("c", true, restoredAt)
	is.Equal(len(v.DepartedToRemove("a", restoredAt.Add(DepartedAfter-1))), 0)
	is.Equal(v.DepartedToRemove("a", restoredAt.Add(DepartedAfter+removalStagger)), []Member{member("b", "s")}) // at its turn
	v.Apply(Change{Removed: []model.NodeID{"b"}, Position: position(2, 6)}, restoredAt)
	is.True(!v.Reconciling())
	is.Equal(ids(v.Current().Members), []model.NodeID{"a", "c"})
}

// Guards against hundreds of nodes that remove the same returned row at the same
// time, and against a row that none removes because the first in turn does not know
// that its node had left.
func TestNodesTakeTurnsToRemoveReturnedRow(t *testing.T) {
	is := is.New(t)
	const nodes = 300
	v := viewOf(nodes)
	gone, _ := v.Current().Registered("n7")
	v.Apply(Change{Removed: []model.NodeID{"n7"}, Position: follow.At(2)}, restoredAt)
	v.Replace(append(v.Current().AllRegistered(), gone), position(1, 1), restoredAt)
	for k := range 3 {
		due := 0
		for i := range nodes {
			self := model.NodeID(fmt.Sprint("n", i))
			v.rows.returned["n7"] = restoredAt // each node has a view of its own
			if self != "n7" && len(v.DepartedToRemove(self, restoredAt.Add(DepartedAfter+time.Duration(k)*removalStagger))) > 0 {
				due++
			}
		}
		is.Equal(due, k+1)
	}
}

// Guards against nodes that know different fleets at one position, whatever they
// have read before: whole fleets, or changes from each other, in any order and over
// several restores. The store of the test loses random numbers of changes.
func TestEqualPositionsMeanEqualFleets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type state struct {
			at   follow.Position
			rows map[model.NodeID]Member
		}
		history := []state{{position(1, 1), map[model.NodeID]Member{}}}
		seen := make(map[follow.Position]uint64)
		views := []*View{NewView(), NewView(), NewView(), NewView()}
		// feed returns the rows that changed in the present era, as the store does.
		feed := func(after follow.Position) Change {
			newest := history[len(history)-1]
			c := Change{Position: newest.at}
			touched := make(map[model.NodeID]bool)
			for i := 1; i < len(history); i++ {
				if !history[i].at.After(after) || history[i].at.Era != newest.at.Era {
					continue
				}
				for id := range history[i-1].rows {
					touched[id] = true
				}
				for id := range history[i].rows {
					touched[id] = true
				}
			}
			for id := range touched {
				if m, ok := newest.rows[id]; ok {
					c.Set = append(c.Set, m)
				} else {
					c.Removed = append(c.Removed, id)
				}
			}
			return c
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			newest := history[len(history)-1]
			v := views[rapid.IntRange(0, len(views)-1).Draw(t, "view")]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1: // a row is written or removed
				next := state{position(newest.at.Era, newest.at.Revision+1), make(map[model.NodeID]Member)}
				for id, m := range newest.rows {
					next.rows[id] = m
				}
				id := string(rune('a' + rapid.IntRange(0, 5).Draw(t, "row")))
				if _, ok := next.rows[model.NodeID(id)]; ok {
					delete(next.rows, model.NodeID(id))
				} else {
					next.rows[model.NodeID(id)] = member(id, rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service"))
				}
				history = append(history, next)
			case 2: // the store is restored
				from := history[rapid.IntRange(0, len(history)-1).Draw(t, "copy")]
				history = append(history, state{position(newest.at.Era+1, from.at.Revision), from.rows})
			case 3: // a node reads the whole fleet
				var members []Member
				for _, m := range newest.rows {
					members = append(members, m)
				}
				v.Replace(members, newest.at, restoredAt)
			case 4: // a node follows the store
				if at := v.Current().Position; v.Loaded() && at.Era == newest.at.Era {
					v.Apply(feed(at), restoredAt)
				}
			case 5: // a node gets from another one what it lacks
				other := views[rapid.IntRange(0, len(views)-1).Draw(t, "other")]
				if !v.Loaded() || !other.Current().Position.After(v.Current().Position) {
					continue
				}
				if c, ok := other.ChangesSince(v.Current().Position); ok {
					v.Apply(c, restoredAt)
				} else {
					v.Replace(other.Current().AllRegistered(), other.Current().Position, restoredAt)
				}
			}
			for _, v := range views {
				f := v.Current()
				if digest, ok := seen[f.Position]; ok && v.Loaded() && digest != f.Digest {
					t.Fatalf("two fleets at %v", f.Position)
				}
				if v.Loaded() {
					seen[f.Position] = f.Digest
				}
			}
		}
	})
}

// Guards against a fleet whose nodes all write their lost rows at once after a
// restore: a part of the store takes 200 transactions a second, and refuses more once
// a second of them waits. The writes of 2,800 nodes must also end before the nodes
// are dropped.
func TestLostRowsAreWrittenAtTheRateOfTheStore(t *testing.T) {
	is := is.New(t)
	const nodes, transactionsPerSecond = 2800, 200
	rnd := rand.New(rand.NewPCG(1, 2))
	var writes [60]int // by second
	for range nodes {
		writes[int(RegistrationDelay(nodes, rnd.Float64()).Seconds())]++
	}
	is.True(slices.Max(writes[:]) <= transactionsPerSecond)
	is.True(RegistrationDelay(nodes, 1) < confirmTime+registrationSpread(nodes))
	is.True(RegistrationDelay(18, 1) < time.Second) // a small fleet does not wait
}
