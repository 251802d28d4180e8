package test

import (
	"testing"
	"time"

	"github.com/lentilflow/lentilflow/pkg/faultproxy"
)

// link is a proxy between a node and its store or upstream.
type link struct{ *faultproxy.Proxy }

// links are the proxies of one node.
type links struct{ store, upstream link }

// newLinks puts proxies between a node that has not started yet and its store
// and upstream. The upstream then reports the address of its proxy.
func newLinks(t *testing.T, n *node) *links {
	t.Helper()
	proxy := func(target string) link {
		p, err := faultproxy.New(faultproxy.Config{Target: target})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Close)
		return link{p}
	}
	l := &links{store: proxy(n.storeAddress), upstream: proxy(n.upstreamListen)}
	n.storeAddress, n.upstreamAddress = l.store.Addr(), l.upstream.Addr()
	return l
}

// setConditions changes the conditions of one direction of a link.
func (l link) setConditions(c faultproxy.Conditions, forward bool) {
	if forward {
		l.Forward.Set(c)
	} else {
		l.Backward.Set(c)
	}
}

func (l *links) reset() {
	l.store.Reset()
	l.upstream.Reset()
}

func (l *links) clearFaults() {
	for _, one := range []link{l.store, l.upstream} {
		one.Forward.Set(faultproxy.Conditions{})
		one.Backward.Set(faultproxy.Conditions{})
	}
}

// randomConditions returns conditions that delay, blackhole, cut or limit one
// direction of a link.
func (s *soak) randomConditions() faultproxy.Conditions {
	all := []faultproxy.Conditions{
		{Latency: 40 * time.Millisecond}, {Blackhole: true}, {CutAfter: int64(1 + s.rnd.IntN(4000))}, {Bandwidth: 20_000},
	}
	return all[s.rnd.IntN(len(all))]
}
