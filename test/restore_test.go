package test

import (
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/standin/store"
)

const (
	// nodesTable is the table of the nodes' rows.
	nodesTable = "lentilflow-nodes"
	// rowReturnTimeout bounds the time from the return of a restored store until
	// the lost rows of living nodes are back in it. Two seconds are the bound of the
	// users; the store may also be unstable.
	rowReturnTimeout = 2*time.Second + unstableStoreDelay
	// departedRowTimeout bounds the time until the row of a node that has left is
	// removed again, after a restored store has brought it back.
	departedRowTimeout = 20 * time.Second
)

// restoreStore closes the connections of all nodes to the store, restores it
// from a copy, calls whileAway, and lets the nodes reach the store again.
func (c *cluster) restoreStore(from *store.Copy, whileAway func()) {
	for _, n := range c.nodes {
		n.endpoint.SetAway(true)
	}
	c.store.Restore(from)
	time.Sleep(300 * time.Millisecond)
	whileAway()
	for _, n := range c.nodes {
		n.endpoint.SetAway(false)
	}
}

// raiseVersion writes rows of another table until the store has given out the
// version v again.
func (c *cluster) raiseVersion(v uint64) {
	for i := 0; c.store.Version() < v; i++ {
		c.store.Put("other", fmt.Sprint("row-", i), []byte("x"))
	}
}

// addRunningNode adds a node and starts its upstream and its process.
func (c *cluster) addRunningNode(zone, service string) *node {
	n := c.addNodeWithUpstream(zone, service)
	n.startProcess()
	return n
}

// removeNode ends the upstream and the process of a node as when its VM is taken
// away, and forgets the node.
func (c *cluster) removeNode(n *node) {
	c.t.Helper()
	n.upstream.Drain()
	n.upstream.Leave()
	n.upstream.Crash()
	n.signal(syscall.SIGTERM)
	if !n.process.endsWithin(8 * time.Second) {
		c.t.Errorf("%s has not ended 8 s after SIGTERM", n.name)
		n.kill()
	}
	n.endpoint.Close()
	c.nodes = slices.DeleteFunc(c.nodes, func(other *node) bool { return other == n })
}

// sameFleet reports whether all nodes know the fleet that the store has, which
// consists of exactly these nodes.
func (c *cluster) sameFleet() bool {
	if keys := c.store.Keys(nodesTable); len(keys) != len(c.nodes) {
		return false
	}
	digest := ""
	for _, n := range c.nodes {
		s, err := n.state()
		if err != nil || s.Nodes != len(c.nodes) || digest != "" && s.MembersDigest != digest {
			return false
		}
		digest = s.MembersDigest
	}
	return true
}

func (c *cluster) describeFleets() string {
	text := fmt.Sprintf("rows in the store: %d", len(c.store.Keys(nodesTable)))
	for _, n := range c.nodes {
		s, err := n.state()
		text += fmt.Sprintf("; %s: %d nodes, digest %s, version %d, %v", n.name, s.Nodes, s.MembersDigest, s.Version, err)
	}
	return text
}

// awaitSameFleet waits until sameFleet, and fails the test after timeout.
func (c *cluster) awaitSameFleet(timeout time.Duration) {
	c.t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if c.sameFleet() {
			return
		}
	}
	c.t.Fatalf("the nodes do not know the same fleet after %s: %s", timeout, c.describeFleets())
}

// Guards against nodes that know different fleets for ever after the store was
// restored from an older copy: reads below the old revision were ignored, and
// changes were applied to a state that they did not belong to. It covers a zone in
// which every node follows the store and one with relays.
func TestNodesKnowSameFleetAfterRestore(t *testing.T) {
	t.Parallel()
	for name, zone := range map[string]string{"small zone": zones[2], "zone with relays": zones[0]} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, 2)
			for range 3 {
				c.addRunningNode(zones[0], services[0])
			}
			c.await(startTimeout, "all nodes ready", func() bool { return c.ready(len(c.nodes)) })
			from := c.store.Copy()
			lost := c.addRunningNode(zone, services[1])
			c.addRunningNode(zones[1], services[0])
			c.await(startTimeout, "all nodes ready", func() bool { return c.ready(len(c.nodes)) })
			c.restoreStore(from, func() {})
			c.addRunningNode(zone, services[0])
			c.awaitSameFleet(startTimeout)
			c.removeNode(lost)
			c.awaitSameFleet(startTimeout)
		})
	}
}

// Guards against the loss of a row that a restored store no longer has: its node
// must write it again, also if the store has given out the old revision again
// before any node reads, so that no read fails.
func TestLostRowReturnsUnderReusedRevision(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 2)
	from := c.store.Copy()
	n := c.addRunningNode(zones[1], services[0])
	c.await(startTimeout, "all nodes ready", func() bool { return c.ready(len(c.nodes)) })
	version := c.store.Version()
	c.restoreStore(from, func() { c.raiseVersion(version) })
	c.await(rowReturnTimeout, "the row of "+n.name+" is back", func() bool {
		_, ok := c.store.Get(nodesTable, n.name)
		return ok
	})
	c.awaitSameFleet(awaitTimeout)
}

// Guards against a living node whose row is removed by a write of before a restore
// that takes effect late: the revision that it expects was given out again.
func TestRowRemovedByALateWriteReturns(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 2)
	c.restoreStore(c.store.Copy(), func() {})
	n := c.nodes[0]
	c.store.Delete(nodesTable, n.name)
	c.await(rowReturnTimeout, "the row of "+n.name+" is back", func() bool {
		_, ok := c.store.Get(nodesTable, n.name)
		return ok
	})
	c.awaitSameFleet(awaitTimeout)
}

// Guards against a restore that a node does not notice because its requests to
// the store still wait for a change and no connection ends.
func TestRestoreWithOpenConnectionsIsNoticed(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 2)
	from := c.store.Copy()
	n := c.addRunningNode(zones[1], services[0])
	c.await(startTimeout, "all nodes ready", func() bool { return c.ready(len(c.nodes)) })
	c.store.Restore(from)
	c.put(changedConfiguration(4))
	c.await(rowReturnTimeout, "the row of "+n.name+" is back", func() bool {
		_, ok := c.store.Get(nodesTable, n.name)
		return ok
	})
	c.awaitSameFleet(awaitTimeout)
}

// Guards against the return of a node that has left: a restored store brings its
// row back, and its own process that could remove it has ended. In a zone with
// relays most nodes have not read the row themselves.
func TestDepartedNodeLeavesAgainAfterRestore(t *testing.T) {
	t.Parallel()
	for name, more := range map[string]int{"small zones": 0, "zone with relays": 4} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, 2)
			for range more {
				c.addRunningNode(zones[0], services[0])
			}
			gone := c.addRunningNode(zones[0], services[0])
			c.await(startTimeout, "all nodes ready", func() bool { return c.ready(len(c.nodes)) })
			from := c.store.Copy()
			c.removeNode(gone)
			c.awaitSameFleet(awaitTimeout)
			c.restoreStore(from, func() {})
			c.await(departedRowTimeout, "the row of "+gone.name+" is removed", func() bool {
				_, ok := c.store.Get(nodesTable, gone.name)
				return !ok
			})
			c.awaitSameFleet(awaitTimeout)
		})
	}
}

// Guards against a configuration that goes back after a restore, at a process
// that was running and at one that starts then, and against a version that the
// operator writes again, or the next one, not being in force in time.
func TestConfigurationStaysNewestAfterRestore(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 2)
	from := c.store.Copy()
	c.put(changedConfiguration(4))
	c.await(applyTimeout, "version 4 in force", func() bool { return c.inForce(4) })
	c.restoreStore(from, func() {})
	restarted := c.nodes[0]
	restarted.kill()
	restarted.startProcess()
	c.await(startTimeout, "version 4 in force at all", func() bool { return c.ready(len(c.nodes)) && c.inForce(4) })
	c.put(changedConfiguration(4))
	c.put(baseConfiguration(6))
	c.await(applyTimeout+unstableStoreDelay, "version 6 in force", func() bool { return c.inForce(6) })
	for _, n := range c.nodes {
		r := newCaller(n).send(http.MethodGet, "/status/1", 3*time.Second)
		if r.header.Get("Lentilflow-Route") != "status" {
			t.Errorf("%s: response %+v", n.name, r)
		}
	}
}

// Guards against two restores in a row, the second while the first is being
// worked on and with nodes that do not reach the store in between.
func TestNodesKnowSameFleetAfterTwoRestores(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3)
	first := c.store.Copy()
	c.addRunningNode(zones[1], services[0])
	c.await(startTimeout, "all nodes ready", func() bool { return c.ready(len(c.nodes)) })
	second := c.store.Copy()
	c.addRunningNode(zones[2], services[1])
	c.put(changedConfiguration(model.Version(4)))
	c.await(startTimeout, "all nodes ready", func() bool { return c.ready(len(c.nodes)) && c.inForce(4) })
	version := c.store.Version()
	cutOff := c.nodes[1].endpoint
	c.restoreStore(second, func() {})
	cutOff.Set(store.Fault{Reset: true})
	time.Sleep(200 * time.Millisecond)
	c.restoreStore(first, func() { c.raiseVersion(version) })
	cutOff.Set(store.Fault{Silent: true})
	c.awaitSameFleet(awaitTimeout)
	cutOff.Set(store.Fault{})
	c.put(changedConfiguration(model.Version(7)))
	c.await(applyTimeout+unstableStoreDelay, "version 7 in force", func() bool { return c.inForce(7) })
	c.awaitSameFleet(awaitTimeout)
}
