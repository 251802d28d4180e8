package mesh

import (
	"sync"
	"time"

	"github.com/lentilflow/lentilflow/pkg/faultproxy"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/test/bench/internal/report"
)

// Latency is the one-way latency between regions of both users.
const Latency = 12 * time.Millisecond

// Links are the links between regions for one kind of traffic. Each pair of
// regions has one counted direction each way.
type Links struct {
	mu         sync.Mutex
	directions map[[2]model.Region]*faultproxy.Direction
	proxies    []proxy
}

type proxy struct {
	*faultproxy.Proxy
	from, to model.Region
}

// NewLinks returns links without connections.
func NewLinks() *Links {
	return &Links{directions: make(map[[2]model.Region]*faultproxy.Direction)}
}

// Via returns the address under which processes of region from reach target
// in region to.
func (l *Links) Via(from, to model.Region, target string) string {
	if from == to {
		return target
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p := report.Get(faultproxy.New(faultproxy.Config{Target: target, Forward: l.direction(from, to), Backward: l.direction(to, from)}))
	l.proxies = append(l.proxies, proxy{p, from, to})
	return p.Addr()
}

func (l *Links) direction(from, to model.Region) *faultproxy.Direction {
	key := [2]model.Region{from, to}
	d, ok := l.directions[key]
	if !ok {
		d = faultproxy.NewDirection()
		d.Set(faultproxy.Conditions{Latency: Latency})
		l.directions[key] = d
	}
	return d
}

// Bytes returns the bytes carried between regions so far, in all directions.
func (l *Links) Bytes() (n float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range l.directions {
		n += float64(d.Bytes())
	}
	return n
}

// Part loses everything from and to a region until it is called with false,
// which also breaks its connections, as after a long loss.
func (l *Links) Part(region model.Region, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, d := range l.directions {
		if key[0] == region || key[1] == region {
			d.Set(faultproxy.Conditions{Latency: Latency, Blackhole: on})
		}
	}
	for _, p := range l.proxies {
		if !on && (p.from == region || p.to == region) {
			p.Reset()
		}
	}
}

// Close ends all links.
func (l *Links) Close() { report.Each(len(l.proxies), 64, func(i int) { l.proxies[i].Close() }) }
