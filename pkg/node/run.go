package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// Limits of the stop, beside the drain times of the settings.
const (
	flushTimeout = 2 * time.Second
	drainMargin  = 1 * time.Second
)

// Run works until ctx ends or a part fails, then stops gracefully. The parts
// stop in the order in which they are added: the listeners last, after the
// relay has closed its streams, which would hold up their shutdown.
func (n *Node) Run(ctx context.Context) error {
	defer n.closePlatform()
	messages := http.NewServeMux()
	n.relay.Register(messages)
	peers := n.proxy.PeerServer(messages)
	peers.Handler = n.callers.watch(peers.Handler)

	var g run.Group
	n.addStop(&g, ctx)
	addLoop(&g, n.publish)
	addLoop(&g, n.relay.Run)
	addLoop(&g, n.claims.Run)
	addLoop(&g, n.watchNotices)
	addLoop(&g, n.watchUpstream)
	addLoop(&g, trimMemory)
	addServer(&g, n.proxy.CallServer(), n.proxy.LimitCallers(n.listeners.calls))
	addServer(&g, peers, n.listeners.peer)
	addServer(&g, n.adminServer(), n.listeners.admin)
	n.log.Info("node started",
		zap.String("calls", n.listeners.calls.Addr().String()),
		zap.String("peer", n.listeners.peer.Addr().String()),
		zap.String("admin", n.listeners.admin.Addr().String()))
	err := g.Run()
	n.log.Info("node stopped", zap.Error(err))
	return err
}

func addServer(g *run.Group, server *http.Server, l net.Listener) {
	g.Add(func() error { return serve(server, l) }, func(error) { shutdown(server) })
}

// addLoop runs a loop that ends with the context it is given.
func addLoop(g *run.Group, loop func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		if err := loop(ctx); !errors.Is(err, context.Canceled) {
			return err
		}
		return nil
	}, func(error) { cancel() })
}

// addStop drains the node when ctx ends. Its return stops the other parts.
func (n *Node) addStop(g *run.Group, ctx context.Context) {
	failed := make(chan struct{})
	g.Add(func() error {
		select {
		case <-ctx.Done():
			n.drain()
		case <-failed:
		}
		return nil
	}, func(error) { close(failed) })
}

// drain takes the node out of the mesh: no new calls come in once the others
// know, and calls in flight finish within the times of the settings.
func (n *Node) drain() {
	n.log.Info("draining")
	n.upstream.leave()
	close(n.leaving)
	n.flush()
	limit := time.Duration(n.settings.Drain.Announce) + time.Duration(n.settings.Drain.Finish) + drainMargin
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := n.proxy.Drain(ctx); err != nil {
		n.log.Warn("calls were cut off", zap.Error(err))
	}
	n.roster.SetState(model.Gone)
	n.flush()
}

// flush waits until the own entry has been sent.
func (n *Node) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	n.relay.Flush(ctx)
}

// publish takes part in publishing until the drain starts, so that the lease
// is handed over while this node can still relay versions.
func (n *Node) publish(ctx context.Context) error {
	working, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-n.leaving:
			cancel()
		case <-working.Done():
		}
	}()
	err := n.publisher.Run(working)
	if errors.Is(err, context.Canceled) {
		<-ctx.Done()
	}
	return err
}

func (n *Node) watchNotices(ctx context.Context) error {
	return n.notices.Run(ctx, func(err error) { n.log.Debug("crash notices not read", zap.Error(err)) })
}

func (n *Node) watchUpstream(ctx context.Context) error {
	return n.upstream.watch(ctx, "http://"+string(n.settings.Upstream.Address)+n.settings.Upstream.HealthPath)
}

func (n *Node) closePlatform() {
	n.tables.Close()
	n.objects.Close()
}
