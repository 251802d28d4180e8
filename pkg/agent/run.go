package agent

import (
	"context"
	"errors"
	"math/rand/v2"
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
)

const (
	// fleetPause is the least time between two answers of the watch of the
	// fleet, so that changes in quick succession share a call: each wakes every
	// node. Nodes tell each other directly whether they take work, so a change
	// of the rows is only urgent for the use of new VMs.
	fleetWatchInterval = 2500 * time.Millisecond
	// exitMargin is kept of the longest stop, for what ends the process.
	exitMargin = 800 * time.Millisecond
	// verdictMargin before the end of a stop, jobs that wait elsewhere are taken
	// back; the answers take a way between regions and back.
	withdrawMargin = 250 * time.Millisecond
	// clipMargin is what is left after the deadlines of calls that are taken
	// during a stop, and after those that were taken before are given up, for the
	// answers of other nodes and the way to the callers. A call whose upstream is
	// at work may be given up in the last sixth of the longest stop only.
	responseMargin = 100 * time.Millisecond
	// stopPoll is the pause between two looks at what is left while the node
	// stops.
	stopPollInterval = 20 * time.Millisecond
	// settingsPeriod is the pause between two looks at the settings file,
	// which may change without a signal.
	settingsPollInterval = 2 * time.Second
	// tidyPeriod is the pause between two clean-ups of what was kept for nodes
	// that are gone.
	cleanUpInterval = 10 * time.Second
)

// Run works until ctx ends, then stops gracefully, or until a part fails.
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
	a.addLoop(&g, "follow configuration", a.follower("configuration", a.platform.ConfigSource(a.configHolder, func(v config.Version, at follow.Revision) {
		a.onConfigInForce(v, zap.Uint64("revision", uint64(at)))
	}), 0, a.gossip.ConfigSchedule(a.firstStart()), func(ok bool) { a.configUnavailable.Store(!ok); a.updateStoreAvailability() }))
	a.addLoop(&g, "follow fleet", a.follower("fleet", &fleet.Source{Registry: a.registry, View: a.fleetView, OnChange: a.onFleetChange}, fleetWatchInterval,
		a.delayFirstRead(a.gossip.FleetSchedule()), func(ok bool) { a.fleetUnavailable.Store(!ok); a.updateStoreAvailability() }))
	a.addLoop(&g, "exchange digests", a.gossip.Run)
	a.addLoop(&g, "probe nodes", a.gossip.Probe)
	a.addLoop(&g, "send beacons", a.gossip.RunBeacons)
	a.addLoop(&g, "read datagrams", a.gossip.ReadDatagrams)
	a.addLoop(&g, "keep row", a.maintainRow)
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

func (a *Agent) follower(name string, s follow.Source, pause time.Duration, schedule follow.Schedule, onAvailability func(bool)) func(context.Context) error {
	f := &follow.Follower{Name: name, Source: s, Pause: pause, Schedule: schedule, Log: a.log, OnAvailability: onAvailability}
	return f.Run
}

// gathering is how long a node waits for the rows of others when the whole
// deployment starts for the first time: processes start within 0.3 s of each
// other, and the smallest VMs have a sixth of a core. A node that reads the
// fleet before the others have written their rows takes itself for a relay.
const firstStartDelay = 1500 * time.Millisecond

func (a *Agent) firstStart() bool { return a.settings.FirstStart == "yes" }

// firstTurn lets a node of a deployment that starts for the first time write
// its row and wait for those of others before it reads the fleet.
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

// Next implements follow.Turns.
func (d *delayedSchedule) Next(ctx context.Context) bool {
	sleep(ctx, time.Until(d.until))
	return d.Schedule.Next(ctx)
}

func addHTTP1Server(g *run.Group, s *h1.Server, l net.Listener) {
	ended := make(chan struct{})
	g.Add(func() error {
		if err := s.Serve(l); err != nil {
			return err
		}
		<-ended // a graceful stop closes the listener before the last answers
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

// addLoop runs a loop that ends with the context it is given, and begins anew
// after a panic.
func (a *Agent) addLoop(g *run.Group, name string, loop func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	loop = a.guard.Loop(name, loop)
	g.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}

// addStop ends the group after a graceful stop, which begins when parent ends.
func (a *Agent) addStop(parent context.Context, g *run.Group, listener net.Listener) {
	failed, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		select {
		case <-parent.Done():
			a.stop(listener)
		case <-failed.Done():
		}
		return nil
	}, func(error) { cancel() })
}

// stop lets the platform and the callers know that this node goes and serves
// on while they still come. Then it takes no further jobs of other nodes, and
// no calls but those that end in time, and ends when nothing is left to answer.
func (a *Agent) stop(listener net.Listener) {
	start := time.Now()
	drain := a.drain.Load()
	deadline := start.Add(time.Duration(drain.Finish) - exitMargin)
	a.log.Info("node stops", zap.Int("calls", a.callServer.Active()), zap.Int("jobs", a.peerServer.Active()), zap.Time("until", deadline))
	a.stopping.Store(true)
	a.gateway.CapDeadlines(deadline.Add(-responseMargin))
	a.callServer.Drain()
	withdraw := time.AfterFunc(time.Until(deadline.Add(-withdrawMargin)), func() {
		a.guard.Do("withdraw jobs", func() { a.gateway.Withdraw(context.Background()) })
	})
	defer withdraw.Stop()
	giveUp := time.AfterFunc(time.Until(deadline.Add(-responseMargin)), func() {
		a.guard.Do("give calls up", func() {
			a.log.Info("calls without an answer are given up", zap.Int("calls", a.callServer.Active()))
			a.callServer.AbortBodyReads()
			a.gateway.CancelCalls()
		})
	})
	defer giveUp.Stop()
	if _, _, known := a.local.State(); !known {
		go a.removeRow()
	}
	time.Sleep(time.Duration(drain.Announce))
	// The upstream still serves until here: its slots are missed by all others.
	a.local.Stop()
	a.gateway.RefuseCallsEndingAfter(deadline)
	a.await(deadline, func() bool { return a.peerServer.Active() == 0 && !a.local.Busy() })
	a.gateway.RefuseCallsEndingAfter(time.Now())
	a.callServer.Close(listener)
	a.await(deadline, func() bool {
		a.callServer.CloseIdle()
		return a.callServer.Active() == 0
	})
	a.log.Info("node has answered what it could", zap.Duration("took", time.Since(start)),
		zap.Int("calls_cut", a.callServer.Active()), zap.Int("jobs_cut", a.peerServer.Active()))
}

// await waits until a condition holds or a time has come.
func (a *Agent) await(deadline time.Time, condition func() bool) {
	for !condition() && time.Now().Before(deadline) {
		time.Sleep(stopPollInterval)
	}
}

// storeChanged passes on whether the store answers this node.
func (a *Agent) updateStoreAvailability() {
	a.gossip.SetStoreAvailable(!a.configUnavailable.Load() && !a.fleetUnavailable.Load())
}

// fleetChanged follows a change of the fleet.
func (a *Agent) onFleetChange(removed []model.NodeID) {
	members := a.fleetView.Current().Members
	a.gateway.ReleaseIfReady()
	a.gossip.FleetUpdated()
	if a.configHolder.Current() == nil {
		a.gossip.TriggerSync() // another node has the configuration sooner than the next beacon comes
	}
	a.log.Info("fleet changed", zap.Uint64("revision", uint64(a.fleetView.Current().Revision)),
		zap.Int("nodes", len(members)), zap.Any("removed", removed))
	a.budgets.SetNodeCount(len(members))
	for _, id := range removed {
		a.gossip.RemoveNode(id)
	}
	if !a.stopping.Load() && members[a.self.Node] != a.self {
		select {
		case a.rowOutdated <- struct{}{}:
		default:
		}
	}
}

const (
	// rowTime bounds one write of the row of this node, and rowDelay is the
	// pause after a failed one.
	rowWriteTimeout = 3 * time.Second
	rowRetryDelay   = time.Second
)

// keepRow writes the row of this node whenever the store does not have it.
func (a *Agent) maintainRow(ctx context.Context) error {
	failing := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.rowOutdated:
		}
		for !a.stopping.Load() && ctx.Err() == nil {
			writeCtx, cancel := context.WithTimeout(ctx, rowWriteTimeout)
			err := a.registry.Register(writeCtx, a.self)
			cancel()
			if err == nil {
				a.log.Info("row of this node is written")
				failing = false
				break
			}
			if !failing {
				a.log.Warn("row of this node cannot be written", zap.Error(err))
			}
			failing = true
			sleep(ctx, rowRetryDelay)
		}
	}
}

// withdraw removes the row of this node. A node whose upstream lives is about
// to start again and keeps its row, which spares two writes and the answers
// that they cause at every other node.
func (a *Agent) removeRow() {
	ctx, cancel := context.WithTimeout(context.Background(), rowWriteTimeout)
	defer cancel()
	if err := a.registry.Deregister(ctx, a.self.Node); err != nil {
		a.log.Warn("row of this node cannot be removed", zap.Error(err))
	}
}

// tidy drops what was kept for nodes that are gone.
func (a *Agent) cleanUp(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, cleanUpInterval)
		used := make(map[string]bool)
		for _, m := range a.fleetView.Current().Members {
			used[m.CallAddress] = true
		}
		a.gateway.Remote.CloseUnusedPools(func(address string) bool { return used[address] })
		a.removeLostNodes(ctx)
	}
	return nil
}

// removeLost removes the rows of nodes that are gone for good.
func (a *Agent) removeLostNodes(ctx context.Context) {
	for _, id := range a.fleetView.NodesToRemove(time.Now(), rand.Float64()) {
		writeCtx, cancel := context.WithTimeout(ctx, rowWriteTimeout)
		err := a.registry.Deregister(writeCtx, id)
		cancel()
		if err != nil {
			a.log.Warn("row of a lost node cannot be removed", zap.String("other", string(id)), zap.Error(err))
			continue
		}
		a.log.Info("row of a lost node is removed", zap.String("other", string(id)), zap.Duration("unreachable_for_at_least", fleet.LostAfter))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
