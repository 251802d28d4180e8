package operator

import (
	"testing"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/quota"
)

// Guards the sums over nodes that an operator sees: the use and the refusals of a team, and
// the holders of its class. A node that did not respond and a team without a limit add
// nothing.
func TestTeamUsesAreSummedOverNodes(t *testing.T) {
	is := is.New(t)
	class := quota.ClassOf("bozi")
	node := func(name model.NodeID, share float64, uses ...model.QuotaUse) Node {
		holds := make([]float64, quota.Classes)
		holds[class] = share
		return Node{Member: fleet.Member{Node: name}, State: &model.NodeState{Quota: &model.QuotaState{Holds: holds, Teams: uses}}}
	}
	uses := sumTeamUses([]config.Team{{Name: "free"}, {Name: "idle", Rate: 1}, {Name: "bozi", Rate: 10, Burst: 20}}, []Node{
		node("a", 0.25, model.QuotaUse{Team: "bozi", GrantedRate: 4, ExceededRate: 1}), node("b", 0),
		node("c", 0.75, model.QuotaUse{Team: "bozi", GrantedRate: 5, UnavailableRate: 2}), {Member: fleet.Member{Node: "d"}},
	})
	is.Equal(len(uses), 2)
	is.Equal(uses[0], TeamUse{
		Team: "bozi", Rate: 10, Burst: 20, Granted: 9, Exceeded: 1, Unavailable: 2, Holders: []ShareHolder{{"c", 0.75}, {"a", 0.25}}, Held: 1,
	})
	is.Equal(uses[1].Team, "idle")
}
