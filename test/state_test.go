package test

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/faultproxy"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/standin/store"
)

// applyTimeout is the bound that the users set for a version to be in force while
// the store answers. unstableStoreDelay is the most that an unstable store may add.
const (
	applyTimeout       = 2 * time.Second
	unstableStoreDelay = 5 * time.Second
)

// changedConfiguration returns version v of a configuration whose first route has
// another name than in the base configuration.
func changedConfiguration(v model.Version) *config.Configuration {
	c := baseConfiguration(v)
	c.Routes[0].Name = "status-changed"
	return c
}

// Guards the distribution of a version to every node while the store works,
// refuses a third of the nodes or does not answer them, answers slowly, or has
// lost its history.
func TestVersionIsInForceEverywhere(t *testing.T) {
	c := startCluster(t, 3)
	v := model.Version(1)
	for _, step := range []struct {
		name  string
		set   func()
		bound time.Duration
	}{
		{"sound", func() {}, applyTimeout},
		{"refuses some", func() {
			for _, n := range c.nodes[:2] {
				n.endpoint.Set(store.Fault{Status: http.StatusServiceUnavailable})
			}
		}, applyTimeout + unstableStoreDelay},
		{"silent for some", func() {
			for _, n := range c.nodes[:2] {
				n.endpoint.Set(store.Fault{Silent: true})
			}
		}, applyTimeout + unstableStoreDelay},
		{"slow", func() {
			for _, n := range c.nodes {
				n.endpoint.Set(store.Fault{Delay: 240 * time.Millisecond})
			}
		}, applyTimeout + unstableStoreDelay},
		{"without history", func() {
			for _, n := range c.nodes {
				n.endpoint.Set(store.Fault{})
			}
			c.store.Compact()
		}, applyTimeout + unstableStoreDelay},
	} {
		v += 3 // versions need not be consecutive
		step.set()
		time.Sleep(300 * time.Millisecond)
		c.put(changedConfiguration(v))
		c.await(step.bound, step.name, func() bool { return c.inForce(v) })
		r := newCaller(c.nodes[0]).send(http.MethodGet, "/status/1", 3*time.Second)
		if r.header.Get("Lentilflow-Route") != "status-changed" || !r.served() {
			t.Errorf("%s: response %+v", step.name, r)
		}
	}
}

// Guards against an invalid or older configuration that comes into force, wholly
// or in part.
func TestFaultyConfigurationChangesNothing(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 1)
	c.put(changedConfiguration(5))
	c.await(awaitTimeout, "version 5", func() bool { return c.inForce(5) })
	bad := changedConfiguration(9)
	bad.Routes[0].Name = "bad"
	bad.Routes[1].Split[0].Service = "nobody"
	c.put(bad)
	old := baseConfiguration(3)
	c.put(old)
	c.store.Put("op", "config", []byte("{not JSON"))
	c.store.Put("op", "other", []byte("x"))
	time.Sleep(1500 * time.Millisecond)
	for _, n := range c.nodes {
		s, err := n.state()
		is.NoErr(err)
		is.Equal(s.Version, model.Version(5))
		r := newCaller(n).send(http.MethodGet, "/status/1", 3*time.Second)
		is.Equal(r.header.Get("Lentilflow-Route"), "status-changed")
	}
	c.put(changedConfiguration(10))
	c.await(awaitTimeout, "a valid version after invalid ones", func() bool { return c.inForce(10) })
}

// Guards against rows of other writers that keep a node from reading the rows
// after them.
func TestForeignRowsAreIgnored(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 2)
	for key, value := range map[string]string{
		"a": "", "b": "{", "c": "{}", "d": `{"node":"d","service":"acompanha"}`, "e": `{"node":7}`, "zz": `[]`,
	} {
		c.store.Put("lentilflow-nodes", key, []byte(value))
	}
	n := c.addNodeWithUpstream(zones[2], services[0])
	n.startProcess()
	c.await(awaitTimeout, "the new node is known everywhere", func() bool { return c.ready(len(c.nodes)) })
	s, err := n.state()
	is.NoErr(err)
	is.Equal(s.Nodes, len(c.nodes))
}

// Guards against a node that writes its own row again and again when another writer
// damages it, and against one that stays out of the fleet after the damage.
func TestDamagedRowOfANodeIsWrittenAgain(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 1)
	damaged := c.nodes[0]
	for _, value := range []string{"{", `{"node":"` + damaged.name + `","call_address":"10.0.0.1:99999"}`, strings.Repeat("[", 20_000)} {
		before := c.store.RequestCount("rows-tx")
		c.store.Put(nodesTable, damaged.name, []byte(value))
		c.await(awaitTimeout, "the row is written again", func() bool {
			r, ok := c.store.Get(nodesTable, damaged.name)
			return ok && string(r.Value) != value
		})
		c.awaitSameFleet(awaitTimeout)
		is.Equal(c.store.RequestCount("rows-tx")-before, 1)
	}
	before := c.store.RequestCount("rows-tx")
	for range 40 { // another writer that does not give up
		c.store.Put(nodesTable, damaged.name, []byte("{"))
		time.Sleep(100 * time.Millisecond)
	}
	is.True(c.store.RequestCount("rows-tx")-before <= 4)
}

// Guards the start of a process while the store is unavailable: the process gets
// the configuration and the fleet from the running nodes.
func TestRestartWhileStoreUnavailable(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 2)
	c.put(changedConfiguration(4))
	c.await(awaitTimeout, "version 4", func() bool { return c.inForce(4) })
	for _, n := range c.nodes {
		n.endpoint.Set(store.Fault{Status: http.StatusServiceUnavailable})
	}
	n := c.nodes[0]
	n.kill()
	n.startProcess()
	c.await(awaitTimeout, "the restarted node is ready", func() bool { return n.isReady() })
	s, err := n.state()
	is.NoErr(err)
	is.Equal(s.Version, model.Version(4))
	c.await(awaitTimeout, "the restarted node serves", func() bool {
		r := newCaller(n).send(http.MethodGet, "/status/1", time.Second)
		return r.served()
	})
}

// Guards the recovery after all processes were killed at once, when only the
// store still has the state.
func TestAllProcessesKilled(t *testing.T) {
	c := startCluster(t, 2)
	c.put(changedConfiguration(4))
	c.await(awaitTimeout, "version 4", func() bool { return c.inForce(4) })
	for _, n := range c.nodes {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range c.nodes {
		n.kill()
	}
	for _, n := range c.nodes {
		n.startProcess()
	}
	c.await(awaitTimeout, "all nodes serve again", func() bool {
		for _, n := range c.nodes {
			r := newCaller(n).send(http.MethodGet, "/status/1", time.Second)
			if !r.served() || r.header.Get("Lentilflow-Version") != "4" {
				return false
			}
		}
		return true
	})
}

// Guards against a node that stays at an old version after its connection to the
// store was reset during a watch.
func TestStoreConnectionIsReset(t *testing.T) {
	c := &cluster{t: t, dir: t.TempDir(), store: store.New()}
	c.put(baseConfiguration(1))
	t.Cleanup(c.shutdown)
	n := c.addNodeWithUpstream(zones[0], services[0])
	p, err := faultproxy.New(faultproxy.Config{Target: n.storeAddress})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	n.storeAddress = p.Addr()
	n.startProcess()
	c.await(startTimeout, "node is ready", func() bool { return n.isReady() })
	p.Reset()
	c.put(changedConfiguration(2))
	c.await(applyTimeout+unstableStoreDelay, "version 2 after a reset", func() bool { return c.inForce(2) })
}

var storeUnavailable = store.Fault{Status: http.StatusServiceUnavailable}
