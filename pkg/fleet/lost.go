package fleet

import (
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
)

const (
	// LostAfter is how long a node does not answer before its row is removed. A
	// VM that restarts is back within a minute; the rest covers long cuts
	// between regions, after which each row would have to be written again.
	LostAfter = 5 * time.Minute
	// lostShare of the fleet is the most that is removed: a node that cannot
	// reach more than that is the one that is cut off.
	maxLostShare = 0.5
)

// Lost returns the nodes whose rows are to be removed now, by this node: those
// that did not answer for LostAfter. All nodes see the same, so each acts only
// with the chance that makes it about one of them a round; random is in [0, 1).
func (v *View) NodesToRemove(now time.Time, random float64) []model.NodeID {
	nodes := len(v.Current().Members)
	unreachable := len(v.unreachableFor(now, 0))
	if unreachable == 0 || float64(unreachable) > maxLostShare*float64(nodes) || random*float64(nodes-unreachable) >= 1 {
		return nil
	}
	return v.unreachableFor(now, LostAfter)
}
