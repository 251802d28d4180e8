package agent

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/rollout"
)

func (a *Agent) serveState(c echo.Context) error { return c.JSON(http.StatusOK, a.State()) }

// serveRollouts responds with what this node knows of rollouts.
func (a *Agent) serveRollouts(c echo.Context) error {
	now := time.Now()
	states := []rollout.State{}
	for _, v := range a.rollouts.Table.Current().All() {
		states = append(states, v.Sent(now))
	}
	return c.JSON(http.StatusOK, states)
}

// State returns the current state of this node. It may be called concurrently
// with Run.
func (a *Agent) State() model.NodeState {
	fleet := a.fleetView.Current()
	s := model.NodeState{
		Node: a.self.Node, Service: a.self.Service, Location: a.self.Location, Version: a.configHolder.Version(),
		FleetRevision: uint64(fleet.Position.Revision), FleetEra: uint64(fleet.Position.Era), Nodes: len(fleet.Members), MembersDigest: fleet.DigestText(),
		StoreAvailable: !a.configUnavailable.Load() && !a.fleetUnavailable.Load(), Recovered: a.gossip.Recovered(), Ready: a.ready(), Serving: a.local.Serving(),
	}
	lag := a.gossip.ConfigLag()
	s.BehindMillis, s.NewestKnown, s.NewestKnownFrom = lag.Total.Milliseconds(), model.Version(lag.Newest.Revision), lag.From
	s.StoreSilentMillis = a.platform.StoreSilence().Milliseconds()
	if at := a.inForceSince.Load(); at != nil {
		s.VersionAgeMillis = time.Since(*at).Milliseconds()
	}
	load, boot, known := a.local.State()
	s.Slots, s.Limit, s.Running, s.Waiting = load.Slots, load.Limit, load.Running, load.Waiting
	if load.RateLimit >= 0 {
		s.RateLimit = &load.RateLimit
	}
	if a.quotas.node.Limited() {
		s.Quota = a.quotas.node.State()
	}
	if known {
		s.Boot, s.Draining, s.Software = boot.ID, boot.Draining, boot.Software
	}
	return s
}
