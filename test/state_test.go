package test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/faultproxy"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/standin/store"
)

// applyTime is the bound of the users for a version to be in force where the
// store answers, and stretchTime what an unstable store adds at most.
const (
	applyTime   = 2 * time.Second
	stretchTime = 5 * time.Second
)

func version(v model.Version) *config.Configuration {
	c := routes(v)
	c.Routes[0].Name = "status-changed"
	return c
}

// Guards the way of a version to every node while the store is sound, turns a
// third of the nodes away, has lost its history, or answers slowly.
func TestVersionIsInForceEverywhere(t *testing.T) {
	c := start(t, 3)
	v := model.Version(1)
	for _, step := range []struct {
		name  string
		set   func()
		bound time.Duration
	}{
		{"sound", func() {}, applyTime},
		{"refuses some", func() {
			for _, n := range c.nodes[:2] {
				n.endpoint.Set(store.Fault{Status: http.StatusServiceUnavailable})
			}
		}, applyTime + stretchTime},
		{"silent for some", func() {
			for _, n := range c.nodes[:2] {
				n.endpoint.Set(store.Fault{Silent: true})
			}
		}, applyTime + stretchTime},
		{"slow", func() {
			for _, n := range c.nodes {
				n.endpoint.Set(store.Fault{Delay: 240 * time.Millisecond})
			}
		}, applyTime + stretchTime},
		{"without history", func() {
			for _, n := range c.nodes {
				n.endpoint.Set(store.Fault{})
			}
			c.store.Compact()
		}, applyTime + stretchTime},
	} {
		v += 3 // versions rise in uneven steps
		step.set()
		time.Sleep(300 * time.Millisecond)
		c.put(version(v))
		c.await(step.bound, step.name, func() bool { return c.inForce(v) })
		a := newCaller(c.nodes[0]).send(http.MethodGet, "/status/1", 3*time.Second)
		if a.header.Get("Lentilflow-Route") != "status-changed" || !a.served() {
			t.Errorf("%s: answer %+v", step.name, a)
		}
	}
}

// Guards against a faulty or older configuration that is taken, wholly or in
// part.
func TestFaultyConfigurationChangesNothing(t *testing.T) {
	is := is.New(t)
	c := start(t, 1)
	c.put(version(5))
	c.await(patience, "version 5", func() bool { return c.inForce(5) })
	bad := version(9)
	bad.Routes[0].Name = "bad"
	bad.Routes[1].Split[0].Service = "nobody"
	c.put(bad)
	old := routes(3)
	c.put(old)
	c.store.Put("op", "config", []byte("{not JSON"))
	c.store.Put("op", "other", []byte("x"))
	time.Sleep(1500 * time.Millisecond)
	for _, n := range c.nodes {
		s, err := n.state()
		is.NoErr(err)
		is.Equal(s.Version, model.Version(5))
		a := newCaller(n).send(http.MethodGet, "/status/1", 3*time.Second)
		is.Equal(a.header.Get("Lentilflow-Route"), "status-changed")
	}
	c.put(version(10))
	c.await(patience, "a sound version after faulty ones", func() bool { return c.inForce(10) })
}

// Guards against rows of other writers that hide the nodes behind them.
func TestForeignRowsAreIgnored(t *testing.T) {
	is := is.New(t)
	c := start(t, 2)
	for key, value := range map[string]string{
		"a": "", "b": "{", "c": "{}", "d": `{"node":"d","service":"acompanha"}`, "e": `{"node":7}`, "zz": `[]`,
	} {
		c.store.Put("lentilflow-nodes", key, []byte(value))
	}
	n := c.add(zones[2], services[0])
	n.run()
	c.await(patience, "the new node is known everywhere", func() bool { return c.ready(len(c.nodes)) })
	s, err := n.state()
	is.NoErr(err)
	is.Equal(s.Nodes, len(c.nodes))
}

// Guards the start of a process while the store is away: the nodes that live
// give it the configuration and the fleet.
func TestRestartWithStoreAway(t *testing.T) {
	is := is.New(t)
	c := start(t, 2)
	c.put(version(4))
	c.await(patience, "version 4", func() bool { return c.inForce(4) })
	for _, n := range c.nodes {
		n.endpoint.Set(store.Fault{Status: http.StatusServiceUnavailable})
	}
	n := c.nodes[0]
	n.kill()
	n.run()
	c.await(patience, "the restarted node is ready", func() bool { return n.isReady() })
	s, err := n.state()
	is.NoErr(err)
	is.Equal(s.Version, model.Version(4))
	c.await(patience, "the restarted node serves", func() bool {
		a := newCaller(n).send(http.MethodGet, "/status/1", time.Second)
		return a.served()
	})
}

// Guards the return after all processes died at once: nothing but the store
// holds the state.
func TestAllProcessesKilled(t *testing.T) {
	c := start(t, 2)
	c.put(version(4))
	c.await(patience, "version 4", func() bool { return c.inForce(4) })
	for _, n := range c.nodes {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range c.nodes {
		n.kill()
	}
	for _, n := range c.nodes {
		n.run()
	}
	c.await(patience, "all nodes serve again", func() bool {
		for _, n := range c.nodes {
			a := newCaller(n).send(http.MethodGet, "/status/1", time.Second)
			if !a.served() || a.header.Get("Lentilflow-Version") != "4" {
				return false
			}
		}
		return true
	})
}

// Guards against a connection to the store that is reset during a watch and
// keeps a node at an old version.
func TestStoreConnectionIsReset(t *testing.T) {
	c := &cluster{t: t, dir: t.TempDir(), store: store.New()}
	c.put(routes(1))
	t.Cleanup(c.end)
	n := c.add(zones[0], services[0])
	p, err := faultproxy.New(faultproxy.Config{Target: n.storeAddress})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	n.storeAddress = p.Addr()
	n.run()
	c.await(startTime, "node is ready", func() bool { return n.isReady() })
	p.Reset()
	c.put(version(2))
	c.await(applyTime+stretchTime, "version 2 after a reset", func() bool { return c.inForce(2) })
}

var storeAway = store.Fault{Status: http.StatusServiceUnavailable}
