package test

import (
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/relay"
	"github.com/lentilflow/lentilflow/pkg/standin/store"
)

// stableWindow is how long after the end of an impairment a change must be in force in
// time again.
const stableWindow = 3 * time.Second

// awaitVersions puts versions one after the other and fails the test if one of them
// is not in force on all nodes within applyTimeout.
func (c *cluster) awaitVersions(from, count model.Version) {
	c.t.Helper()
	for v := from; v < from+count; v++ {
		c.put(changedConfiguration(v))
		c.await(applyTimeout, "version is in force on all nodes", func() bool { return c.inForce(v) })
		time.Sleep(100 * time.Millisecond)
	}
}

// silence makes the store silent to all nodes except one, on open connections too.
func (c *cluster) silence(except *node) {
	for _, n := range c.nodes {
		if n != except {
			n.endpoint.Set(store.Fault{Silent: true})
		}
	}
}

// Guards against versions that are late at nodes to which the store falls silent: an
// open watch without a response counted as "nothing new" for 27 s, and a node that
// learned of a newer version asked random nodes for it. All nodes can reach the one
// node that has the version. It covers zones in which every node follows the store
// and one with relays, and a node that the store serves in each of them.
func TestVersionIsInForceWhenStoreIsSilent(t *testing.T) {
	t.Parallel()
	for name, servedZone := range map[string]string{"small zone": zones[2], "zone with relays": zones[0]} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, 3)
			for range 2 {
				for _, service := range services {
					c.addRunningNode(zones[0], service)
				}
			}
			c.await(startTimeout, "all nodes ready", func() bool { return c.ready(len(c.nodes)) })
			c.awaitVersions(2, 1)
			time.Sleep(3 * time.Second)        // after that every follower watches again
			served := c.inOrder(servedZone)[0] // follows the configuration
			c.silence(served)
			c.awaitVersions(3, 6)
		})
	}
}

// Guards against a version that no node sees, because the store is silent to all nodes
// that follow it for the others, although it serves most nodes.
func TestVersionIsInForceWhenStoreIsSilentToRelays(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3)
	for _, zone := range zones {
		for i := range 3 {
			c.addRunningNode(zone, services[i%2])
		}
	}
	c.await(startTimeout, "all nodes ready", func() bool { return c.ready(len(c.nodes)) })
	c.awaitVersions(2, 1)
	time.Sleep(3 * time.Second)
	for _, zone := range zones {
		for _, n := range c.inOrder(zone)[:relay.PerZone] {
			n.endpoint.Set(store.Fault{Silent: true})
		}
	}
	for v := model.Version(3); v < 6; v++ {
		c.put(changedConfiguration(v))
		c.await(applyTimeout+unstableStoreDelay, "version is in force on all nodes", func() bool { return c.inForce(v) })
	}
}

// inOrder returns the nodes of a zone in the order in which they become relays.
func (c *cluster) inOrder(zone string) (ordered []*node) {
	var ids []model.NodeID
	for _, n := range c.nodes {
		if n.zone == zone {
			ids = append(ids, model.NodeID(n.name))
		}
	}
	for _, id := range relay.Order(ids) {
		ordered = append(ordered, c.nodeByName(string(id)))
	}
	return ordered
}

// Guards against a connection to the store that falls silent without a reset: a node
// that has heard of a newer version must notice it, and read the store on another
// connection.
func TestSilentConnectionToStoreIsReplaced(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 1)
	time.Sleep(3 * time.Second)
	n := c.nodes[0]
	n.endpoint.Set(store.Fault{SilentConnections: true})
	c.awaitVersions(2, 1)
	reads := c.store.RequestCount("rows-get")
	c.await(awaitTimeout, "the node reads the store on another connection", func() bool { return c.store.RequestCount("rows-get") > reads })
	c.awaitVersions(3, 1)
}

// Guards against a version that no node sees, because all open connections to the store
// have fallen silent and every node follows the store: nobody can announce the version.
// Found by the review of 2026-12-05 (review/4).
func TestSilenceOfAllConnectionsIsNoticed(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3)
	c.awaitVersions(2, 1)
	time.Sleep(3 * time.Second) // after that every node watches again
	for _, n := range c.nodes {
		n.endpoint.Set(store.Fault{SilentConnections: true})
	}
	time.Sleep(stableWindow)
	c.awaitVersions(3, 1)
}

// awaitBurst waits until several watches have ended one after the other, for a while at
// most, and returns at the end of the burst.
func (c *cluster) awaitBurst() {
	const (
		burst    = 2500 * time.Millisecond
		calm     = 600 * time.Millisecond
		longest  = 12 * time.Second
		interval = 20 * time.Millisecond
	)
	var requests []time.Time // to watch
	count := c.store.RequestCount("rows-feed")
	for end := time.Now().Add(longest); time.Now().Before(end); time.Sleep(interval) {
		now := time.Now()
		for ; count < c.store.RequestCount("rows-feed"); count++ {
			requests = append(requests, now)
		}
		recent := slices.DeleteFunc(slices.Clone(requests), func(at time.Time) bool { return now.Sub(at) > burst })
		if len(recent) >= len(c.nodes)-1 && now.Sub(recent[len(recent)-1]) > calm {
			return
		}
	}
}

// Guards against a version that no node sees in time, because all open connections to the
// store have fallen silent after the nodes were restarted in turn: the ends of their
// watches were spread from their starts, and followed each other closely after the reverse
// order. Found by the review of 2026-12-07 (review/9).
func TestSilenceOfAllConnectionsIsNoticedAfterRestarts(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3)
	c.awaitVersions(2, 1)
	var ids []model.NodeID
	for _, n := range c.nodes {
		ids = append(ids, model.NodeID(n.name))
	}
	ordered := relay.Order(ids)
	slices.Reverse(ordered)
	for _, id := range ordered {
		began := time.Now()
		c.nodeByName(string(id)).restartProcess(syscall.SIGTERM)
		time.Sleep(time.Until(began.Add(1600 * time.Millisecond)))
	}
	c.await(startTimeout, "all nodes ready", func() bool { return c.ready(len(c.nodes)) })
	time.Sleep(stableWindow)
	c.awaitBurst()
	for _, n := range c.nodes {
		n.endpoint.Set(store.Fault{SilentConnections: true})
	}
	time.Sleep(stableWindow)
	c.awaitVersions(3, 3)
}

// Guards against a process that starts with an older configuration, because the store
// returns an old state to it, and serves with that although its neighbours have a
// newer one.
func TestStartWithStaleStoreTakesNeighboursVersion(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, 2)
	old := c.store.Copy()
	c.awaitVersions(2, 3)
	n := c.nodes[0]
	n.kill()
	n.endpoint.Set(store.Fault{Stale: old})
	n.startProcess()
	c.await(startTimeout, "the node has a configuration", func() bool {
		s, err := n.state()
		return err == nil && s.Version > 0
	})
	c.await(applyTimeout, "the node has the version of its neighbours", func() bool { return c.inForce(4) })
	r := newCaller(n).send(http.MethodGet, "/status/1", 3*time.Second)
	is.Equal(r.header.Get("Lentilflow-Version"), "4")
}

// Guards against a version that only some nodes see: it is followed by a row that
// cannot be used before others read the store. They must take it from the nodes that
// have it.
func TestVersionBeforeUnusableRowReachesAllNodes(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 2)
	time.Sleep(3 * time.Second)
	late := c.nodes[0]
	late.endpoint.Set(store.Fault{Status: http.StatusServiceUnavailable})
	c.put(changedConfiguration(2))
	c.await(applyTimeout, "version 2 at the other nodes", func() bool {
		for _, n := range c.nodes[1:] {
			if s, err := n.state(); err != nil || s.Version != 2 {
				return false
			}
		}
		return true
	})
	c.store.Put("op", "config", []byte("{not JSON"))
	late.endpoint.Set(store.Fault{})
	c.await(applyTimeout, "version 2 at the node that could not read it", func() bool { return c.inForce(2) })
}
