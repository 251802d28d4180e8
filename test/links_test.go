package test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lentilflow/lentilflow/pkg/faultproxy"
)

// linkLatency is the latency between regions, each way.
const linkLatency = 12 * time.Millisecond

// links are the connections between the regions: for each node one proxy per
// other region, and one to the store per region without it.
type links struct {
	node    map[string]*faultproxy.Proxy // by region that connects and node
	store   map[string]*faultproxy.Proxy // by region that connects
	own     string                       // address of the store in its own region
	regions map[*faultproxy.Proxy][2]string
}

func connect(t *testing.T, c *cluster) *links {
	t.Helper()
	l := &links{
		node: make(map[string]*faultproxy.Proxy), store: make(map[string]*faultproxy.Proxy),
		own: c.storeAddress(), regions: make(map[*faultproxy.Proxy][2]string),
	}
	home := c.d.regions[0]
	for i, region := range c.d.regions {
		if region != home {
			listen := fmt.Sprintf("%s.0.1:%d", c.block, storePort+i)
			l.store[region] = l.open(t, listen, l.own, region, home)
		}
		for _, n := range c.nodes {
			if n.zone.region != region {
				l.node[region+"/"+n.id] = l.open(t, n.address(linkPort+i), n.address(peerPort), region, n.zone.region)
			}
		}
	}
	return l
}

func (l *links) open(t *testing.T, listen, target, from, to string) *faultproxy.Proxy {
	t.Helper()
	p, err := faultproxy.New(faultproxy.Config{Listen: listen, Target: target})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	for _, d := range []*faultproxy.Direction{p.Forward, p.Backward} {
		d.Set(faultproxy.Conditions{Latency: linkLatency})
	}
	l.regions[p] = [2]string{from, to}
	return p
}

// toNode returns the peer address of n for nodes of another region.
func (l *links) toNode(n *node, region string) string { return l.node[region+"/"+n.id].Addr() }

// toStore returns the address of the store for nodes of a region.
func (l *links) toStore(region string) string {
	if p, ok := l.store[region]; ok {
		return p.Addr()
	}
	return l.own
}

// cut separates a region from the others and from the store: no byte arrives
// any more, and nothing is told about it.
func (l *links) cut(region string) { l.set(region, true) }

// heal ends a cut. The connections of the time before are reset, as a path
// that returns with new state would do.
func (l *links) heal(region string) { l.set(region, false) }

func (l *links) set(region string, cut bool) {
	for p, ends := range l.regions {
		if ends[0] != region && ends[1] != region {
			continue
		}
		if !cut {
			p.Reset()
		}
		for _, d := range []*faultproxy.Direction{p.Forward, p.Backward} {
			d.Set(faultproxy.Conditions{Latency: linkLatency, Blackhole: cut})
		}
	}
}
