package agent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/h1"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/sleep"
)

const (
	// fleetWatchInterval is the shortest time between a response to the watch of
	// the fleet and the next watch. With it, changes in quick succession share one
	// response, which matters because the effect of each response reaches every
	// node. A change of the rows is urgent only for the use of new VMs, because
	// nodes inform each other directly whether their upstreams are serving.
	fleetWatchInterval = 2500 * time.Millisecond
	// settingsPollInterval is the time between two checks of the settings file,
	// which may change without a signal.
	settingsPollInterval = 2 * time.Second
	// storeSilenceLimit is how long the watch of the fleet must have been without a
	// response for it to be verified when the store does not respond to the watch of
	// the configuration.
	storeSilenceLimit = time.Second
	// cleanUpInterval is the time between two removals of state that belongs to
	// nodes that are gone.
	cleanUpInterval = 10 * time.Second
)

// Run runs the node until ctx ends or a signal to stop arrives, then stops it
// gracefully. It returns an error if a listener cannot be opened or a component
// fails. It must be called at most once.
func (a *Agent) Run(ctx context.Context) error {
	callAddress, peerAddress := a.settings.Listeners.Calls, a.settings.Listeners.Peers
	callListener, err := net.Listen("tcp", string(callAddress))
	if err != nil {
		return merry.Prepend(err, "listeners.calls")
	}
	peerListener, err := net.Listen("tcp", string(peerAddress))
	if err != nil {
		return merry.Prepend(err, "listeners.peers")
	}
	if a.gossip.Datagrams, err = listenDatagrams(string(a.settings.Listeners.Messages)); err != nil {
		return merry.Prepend(err, "listeners.messages")
	}
	defer func() { _ = a.gossip.Datagrams.Close() }()
	var g run.Group
	a.addStop(ctx, &g, callListener)
	configFollower := a.follower("configuration", a.platform.ConfigSource(a.configHolder, func(v config.Version, at follow.Position) {
		a.onConfigInForce(v, zap.Inline(at))
	}, a.rollouts.onOrders, a.gossip.WatchTime), 0, a.gossip.ConfigSchedule(a.firstStart()))
	fleetFollower := a.follower("fleet", &fleet.Source{Registry: a.registry, View: a.fleetView, Log: a.log, OnChange: a.onFleetChange}, fleetWatchInterval,
		a.delayFirstRead(a.gossip.FleetSchedule()))
	fleetFollower.Urgent = a.rollouts.awaitsUpstreams
	configFollower.OnAvailability = func(ok bool) {
		a.configUnavailable.Store(!ok)
		a.updateStoreAvailability()
		if !ok {
			fleetFollower.Verify(time.Now().Add(-storeSilenceLimit))
		}
	}
	fleetFollower.OnAvailability = func(ok bool) { a.fleetUnavailable.Store(!ok); a.updateStoreAvailability() }
	configFollower.OnResponse, configFollower.OnSilence = a.gossip.RecordStoreResponse, a.gossip.RecordSilence
	a.gossip.OnStoreSuspected = configFollower.Verify
	a.gossip.OnContactDue = configFollower.Renew
	a.gossip.OnConnectionsSilent = func(at time.Time) {
		renewed, fleetRenewed := configFollower.Renew(at), fleetFollower.Renew(at)
		if renewed || fleetRenewed {
			a.log.Info("open connections to the store may have fallen silent; watches are renewed", zap.Bool("configuration", renewed),
				zap.Bool("fleet", fleetRenewed), zap.Duration("silence_noticed_for", time.Since(at)))
		}
	}
	a.addLoop(&g, "follow configuration", configFollower.Run)
	a.addLoop(&g, "follow fleet", fleetFollower.Run)
	a.addLoop(&g, "exchange digests", a.gossip.Run)
	a.addLoop(&g, "catch up", a.gossip.RunCatchUp)
	a.addLoop(&g, "keep contact with the store", a.gossip.RunContact)
	a.addLoop(&g, "probe nodes", a.gossip.Probe)
	a.addLoop(&g, "send beacons", a.gossip.RunBeacons)
	a.addLoop(&g, "read datagrams", a.gossip.ReadDatagrams)
	a.addLoop(&g, "share quotas", a.quotas.node.Run)
	a.addLoop(&g, "follow fleet for quotas", a.followFleet)
	a.addLoop(&g, "log quotas", a.logQuotas)
	a.addLoop(&g, "recover records", a.recoverRecords)
	a.addLoop(&g, "hand over departures", a.gossip.RunHandOver)
	a.addLoop(&g, "keep row", a.maintainRow)
	a.addLoop(&g, "reconcile rows", a.reconcileRows)
	a.addLoop(&g, "take part in rollouts", a.rollouts.run)
	a.addLoop(&g, "watch settings", a.watchSettings)
	a.addLoop(&g, "tidy", a.cleanUp)
	a.addEcho(&g, a.messageEcho, string(a.settings.Listeners.Messages))
	a.addEcho(&g, a.reportEcho, string(a.settings.Listeners.Reports))
	a.addEcho(&g, a.readinessEcho, string(a.settings.Listeners.Readiness))
	addHTTP1Server(&g, a.peerServer, peerListener)
	addHTTP1Server(&g, a.callServer, callListener)
	a.log.Info("node started", zap.String("service", a.self.Service), zap.Any("location", a.self.Location),
		zap.String("calls", string(callAddress)), zap.String("peers", string(peerAddress)),
		zap.String("messages", a.self.MessageAddress), zap.String("store", string(a.settings.Store.Address)))
	err = g.Run()
	a.log.Info("node stopped", zap.Error(err))
	return err
}

// follower returns a follower that keeps the state of s up to date. pause is the
// shortest time between a response of the store and the next request.
func (a *Agent) follower(name string, s follow.Source, pause time.Duration, schedule follow.Schedule) *follow.Follower {
	return &follow.Follower{Name: name, Source: s, Pause: pause, Schedule: schedule, Log: a.log}
}

// firstStartDelay is how long a node waits for the rows of other nodes when the
// whole deployment starts for the first time. Processes start within 0.3 s of
// each other, and the smallest VMs have a sixth of a core. A node that reads the
// fleet before the other nodes have written their rows does not see them, and
// acts as a relay even if enough of them rank before it.
const firstStartDelay = 1500 * time.Millisecond

func (a *Agent) firstStart() bool { return a.settings.FirstStart == "yes" }

// delayFirstRead delays the first use of a schedule if the whole deployment
// starts for the first time: the node writes its row at once, and waits for the
// rows of other nodes before it reads the fleet.
func (a *Agent) delayFirstRead(schedule follow.Schedule) follow.Schedule {
	if !a.firstStart() {
		return schedule
	}
	a.rowOutdated <- struct{}{}
	return &delayedSchedule{Schedule: schedule, until: time.Now().Add(firstStartDelay)}
}

type delayedSchedule struct {
	follow.Schedule
	until time.Time
}

// Next implements follow.Schedule.
func (d *delayedSchedule) Next(ctx context.Context) bool {
	sleep.For(ctx, time.Until(d.until))
	return d.Schedule.Next(ctx)
}

func addHTTP1Server(g *run.Group, s *h1.Server, l net.Listener) {
	ended := make(chan struct{})
	g.Add(func() error {
		if err := s.Serve(l); err != nil {
			return err
		}
		<-ended // a graceful stop closes the listener before the last responses are sent
		return nil
	}, func(error) {
		close(ended)
		_ = l.Close()
		s.CloseAll()
	})
}

func listenDatagrams(address string) (*net.UDPConn, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
}

func (a *Agent) addEcho(g *run.Group, e *echo.Echo, address string) {
	g.Add(func() error {
		err := e.Start(address)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return merry.Prepend(err, address)
	}, func(error) { _ = e.Close() })
}

// addLoop adds a loop to the group. The loop must return when its context ends;
// it is restarted after a panic.
func (a *Agent) addLoop(g *run.Group, name string, loop func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	loop = a.guard.Loop(name, loop)
	g.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}

// updateStoreAvailability passes on to the gossip whether the store is
// available to this node, for both the configuration and the fleet.
func (a *Agent) updateStoreAvailability() {
	a.gossip.SetStoreAvailable(!a.configUnavailable.Load() && !a.fleetUnavailable.Load())
}

// onFleetChange handles a change of the fleet. removed lists the nodes that
// are no longer part of it.
func (a *Agent) onFleetChange(removed []model.NodeID) {
	f := a.fleetView.Current()
	members := f.Members
	a.noteRegistration(f)
	a.gateway.ReleaseIfReady()
	a.gossip.FleetUpdated()
	if a.configHolder.Current() == nil {
		a.gossip.TriggerSync() // do not wait for the next beacon to fetch the configuration from another node
	}
	a.log.Info("fleet changed", zap.Inline(f.Position), zap.Int("nodes", len(members)), zap.Int("unconfirmed", f.Unconfirmed()),
		zap.String("members_digest", f.DigestText()), zap.Any("removed", removed))
	a.budgets.SetNodeCount(len(members))
	for _, id := range removed {
		a.gossip.RemoveNode(id)
	}
	if !a.stopping.Load() && !a.rowIsWritten() {
		select {
		case a.rowOutdated <- struct{}{}:
		default:
		}
	}
}

// cleanUp periodically removes the state that belongs to nodes that are gone,
// and the rows of lost nodes.
func (a *Agent) cleanUp(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep.For(ctx, cleanUpInterval)
		used := make(map[string]bool)
		for _, m := range a.fleetView.Current().Members {
			used[m.CallAddress] = true
		}
		a.gateway.Remote.CloseUnusedPools(func(address string) bool { return used[address] })
		a.removeLostNodes(ctx)
	}
	return nil
}
