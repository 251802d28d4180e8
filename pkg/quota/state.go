package quota

import (
	"cmp"
	"slices"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// maxStateTeams bounds the teams in a State.
const maxStateTeams = 100

// State returns what operators see of the quotas at this node. It has the teams with the
// most requests lately.
func (n *Node) State() *model.QuotaState {
	now := n.Clock()
	s := &model.QuotaState{}
	n.mu.Lock()
	names := make(map[uint64]model.NodeID, len(n.peers))
	for _, p := range n.peers {
		names[nodeHash(p.Name)] = p.Name
	}
	s.Weight, s.Settled, s.Nodes = float64(n.weight)/float64(unit), n.census.settled, n.census.size(now)
	for i := range n.entitlements {
		s.DelegatesTo = append(s.DelegatesTo, names[n.entitlements[i].holder])
	}
	n.mu.Unlock()
	held := n.held()
	s.Holds = held[:]
	n.forEachTeam(func(t *teamState) {
		s.Teams = append(s.Teams, model.QuotaUse{
			Team: t.name, Class: int(classOf(t.hash)), Waiting: len(t.waiting),
			GrantedRate: t.usage.perSecond(Granted, now), ExceededRate: t.usage.perSecond(Exceeded, now), UnavailableRate: t.usage.perSecond(Unavailable, now),
			Granted: t.usage.total[Granted], Exceeded: t.usage.total[Exceeded], Unavailable: t.usage.total[Unavailable],
		})
	})
	slices.SortFunc(s.Teams, func(a, b model.QuotaUse) int {
		return cmp.Or(cmp.Compare(b.GrantedRate+b.ExceededRate+b.UnavailableRate, a.GrantedRate+a.ExceededRate+a.UnavailableRate), cmp.Compare(a.Team, b.Team))
	})
	s.Teams = s.Teams[:min(len(s.Teams), maxStateTeams)]
	return s
}

// Refusals are numbers of refused requests since the start of the process.
type Refusals struct {
	Exceeded, Unavailable uint64
	// MostRefused is the team with the most refusals lately, "" if there are none.
	MostRefused string
}

// Refusals returns the numbers of requests that this node has refused.
func (n *Node) Refusals() (r Refusals) {
	now, most := n.Clock(), 0.0
	n.forEachTeam(func(t *teamState) {
		r.Exceeded += t.usage.total[Exceeded]
		r.Unavailable += t.usage.total[Unavailable]
		if rate := t.usage.perSecond(Exceeded, now) + t.usage.perSecond(Unavailable, now); rate > most {
			most, r.MostRefused = rate, t.name
		}
	})
	n.counters.mu.Lock()
	defer n.counters.mu.Unlock()
	for _, counts := range n.counters.removed {
		r.Exceeded += counts[Exceeded]
		r.Unavailable += counts[Unavailable]
	}
	return r
}
