package operator

import (
	"cmp"
	"context"
	"slices"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/quota"
)

// TeamUse is the use of the limit of one team, over all nodes that have responded.
type TeamUse struct {
	Team string `json:"team"`
	// Rate and Burst are the limit in the configuration in force.
	Rate  float64 `json:"rate_per_s"`
	Burst float64 `json:"burst"`
	// The rates are in requests per second over the last 10 to 20 s. Exceeded requests
	// got 429, unavailable ones 503.
	Granted     float64 `json:"granted_per_s"`
	Exceeded    float64 `json:"exceeded_per_s"`
	Unavailable float64 `json:"unavailable_per_s"`
	// Holders are the nodes that hold the share of the limit, those with the largest part
	// first, and Held is the sum of their parts: 1 if no part is missing.
	Holders []ShareHolder `json:"holders"`
	Held    float64       `json:"held"`
}

// ShareHolder is a node that holds a part of the limits of a class of teams.
type ShareHolder struct {
	Node  model.NodeID `json:"node"`
	Share float64      `json:"share"`
}

// TeamUses are the teams with a limit, those with the most requests first.
type TeamUses struct {
	Version model.Version `json:"version"`
	Teams   []TeamUse     `json:"teams"`
	// Unresponsive is the number of nodes that did not respond. What they granted and
	// hold is missing.
	Unresponsive int `json:"silent"`
}

// TeamUses returns the use of the limits of all teams that have one, or
// ErrNoConfiguration if no configuration is in force.
func (q *Queries) TeamUses(ctx context.Context) (TeamUses, error) {
	teams, err := q.Teams(ctx)
	if err != nil {
		return TeamUses{}, err
	}
	status, err := q.Status(ctx)
	if err != nil {
		return TeamUses{}, err
	}
	return TeamUses{Version: teams.Version, Teams: sumTeamUses(teams.Teams, status.Nodes), Unresponsive: status.Unresponsive}, nil
}

// sumTeamUses adds up what the nodes report about teams with a limit.
func sumTeamUses(teams []config.Team, nodes []Node) []TeamUse {
	var holders [quota.Classes][]ShareHolder
	sums := make(map[string]model.QuotaUse)
	for _, n := range nodes {
		if n.State == nil || n.State.Quota == nil {
			continue
		}
		for class, share := range n.State.Quota.Holds {
			if share > 0 && class < quota.Classes {
				holders[class] = append(holders[class], ShareHolder{n.Member.Node, share})
			}
		}
		for _, u := range n.State.Quota.Teams {
			sum := sums[u.Team]
			sum.GrantedRate += u.GrantedRate
			sum.ExceededRate += u.ExceededRate
			sum.UnavailableRate += u.UnavailableRate
			sums[u.Team] = sum
		}
	}
	for class := range holders {
		slices.SortFunc(holders[class], func(a, b ShareHolder) int { return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.Node, b.Node)) })
	}
	uses := []TeamUse{}
	for i := range teams {
		t := &teams[i]
		if t.Rate <= 0 {
			continue
		}
		sum := sums[t.Name]
		u := TeamUse{
			Team: t.Name, Rate: t.Rate, Burst: t.Burst, Granted: sum.GrantedRate, Exceeded: sum.ExceededRate, Unavailable: sum.UnavailableRate,
			Holders: holders[quota.ClassOf(t.Name)],
		}
		for _, h := range u.Holders {
			u.Held += h.Share
		}
		uses = append(uses, u)
	}
	slices.SortStableFunc(uses, func(a, b TeamUse) int { return cmp.Compare(b.requests(), a.requests()) })
	return uses
}

// requests returns the requests per second.
func (u *TeamUse) requests() float64 { return u.Granted + u.Exceeded + u.Unavailable }
