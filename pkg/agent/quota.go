package agent

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/quota"
	"github.com/lentilflow/lentilflow/pkg/settings"
	"github.com/lentilflow/lentilflow/pkg/sleep"
)

const (
	// quotaFleetInterval is the time between two checks whether the fleet or the state of
	// a node in it has changed, for the quotas, and quotaIdleInterval the same while no
	// team has a limit.
	quotaFleetInterval = 100 * time.Millisecond
	quotaIdleInterval  = time.Second
	// quotaLogInterval is the shortest time between two log lines about refused requests
	// of teams.
	quotaLogInterval = 10 * time.Second
	// maxNamedTeams is the number of teams that have metrics of their own: those with
	// the highest limits.
	maxNamedTeams = 20
)

// teamLimits are the limits of a configuration, indexed for the quotas. It is immutable.
type teamLimits struct {
	byHash map[uint64]quota.Limit
	named  []string // teams that have metrics of their own
}

func newTeamLimits(teams []config.Team) *teamLimits {
	l := &teamLimits{byHash: make(map[uint64]quota.Limit)}
	var limited []config.Team
	for i := range teams {
		if t := &teams[i]; t.Rate > 0 {
			l.byHash[quota.Hash(t.Name)] = quota.Limit{Rate: t.Rate, Burst: t.Burst}
			limited = append(limited, *t)
		}
	}
	slices.SortFunc(limited, func(a, b config.Team) int { return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Name, b.Name)) })
	for _, t := range limited[:min(len(limited), maxNamedTeams)] {
		l.named = append(l.named, t.Name)
	}
	return l
}

// quotas connects the quotas to the rest of the node.
type quotas struct {
	node   *quota.Node
	limits atomic.Pointer[teamLimits]
}

// newQuotas returns the quotas of a node. send sends a datagram, and storeSilence
// returns how long ago the store has responded.
func newQuotas(s *settings.Settings, self *fleet.Member, send func([]byte, netip.AddrPort), storeSilence func() time.Duration) *quotas {
	q := &quotas{}
	q.limits.Store(&teamLimits{})
	q.node = &quota.Node{
		Self: self.Node, Location: self.Location, FirstStart: s.FirstStart == "yes", Process: 1 + rand.Uint32N(1<<31), Clock: quota.BootClock,
		Bounds:  quota.Bounds{Window: time.Duration(s.Quota.Window), Overage: float64(s.Quota.Overage), Tolerance: float64(s.Quota.Tolerance)},
		Send:    send,
		Limited: func() bool { return len(q.limits.Load().byHash) > 0 },
		Limit: func(team uint64) (quota.Limit, bool) {
			l, ok := q.limits.Load().byHash[team]
			return l, ok
		},
		StoreSilence: storeSilence,
	}
	q.node.Init()
	return q
}

// reconfigure applies the limits of a configuration.
func (q *quotas) reconfigure(s *config.Snapshot) {
	if len(s.Teams) > 0 || q.node.Limited() {
		q.limits.Store(newTeamLimits(s.Teams))
		q.node.Wake()
	}
}

func (q *quotas) namedTeams() []string { return slices.Clone(q.limits.Load().named) }

// peersOf returns the nodes of a fleet. A node whose address is no IP address is left
// out: it cannot get a delegation, and counts for nobody.
func peersOf(f *fleet.Snapshot) []quota.Peer {
	states := make(map[model.NodeID]model.UpstreamNodeState, len(f.Members))
	services := make(map[string]bool)
	for _, m := range f.Members {
		if services[m.Service] {
			continue
		}
		services[m.Service] = true
		for _, u := range f.UpstreamNodes(m.Service) {
			states[u.Node] = u.State
		}
	}
	peers := make([]quota.Peer, 0, len(f.Members))
	for id, m := range f.Members {
		address, err := netip.ParseAddrPort(m.MessageAddress)
		if err != nil {
			continue
		}
		peers = append(peers, quota.Peer{Name: id, Location: m.Location, State: states[id], Address: address})
	}
	return peers
}

// followFleet passes the fleet and the states of its nodes on to the quotas.
func (a *Agent) followFleet(ctx context.Context) error {
	var last *fleet.Snapshot
	for ctx.Err() == nil {
		if f := a.fleetView.Current(); f != last && a.fleetView.Loaded() {
			a.quotas.node.SetFleet(peersOf(f))
			last = f
		}
		interval := quotaIdleInterval
		if a.quotas.node.Limited() {
			interval = quotaFleetInterval
		}
		sleep.For(ctx, interval)
	}
	return nil
}

// logQuotas logs the refusals of teams, all teams together in one line.
func (a *Agent) logQuotas(ctx context.Context) error {
	var last quota.Refusals
	for ctx.Err() == nil {
		sleep.For(ctx, quotaLogInterval)
		if !a.quotas.node.Limited() {
			continue
		}
		now := a.quotas.node.Refusals()
		exceeded, unavailable := now.Exceeded-last.Exceeded, now.Unavailable-last.Unavailable
		last = now
		if exceeded+unavailable > 0 {
			s := a.quotas.node.State()
			a.log.Info("requests beyond the limits of their teams, or whose limit was not available, were refused",
				zap.Uint64("exceeded", exceeded), zap.Uint64("unavailable", unavailable), zap.String("most_refused_team", now.MostRefused),
				zap.Float64("own_weight", s.Weight), zap.Bool("settled", s.Settled), zap.Float64s("holds", s.Holds))
		}
	}
	return nil
}
