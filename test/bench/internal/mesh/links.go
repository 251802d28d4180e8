package mesh

import (
	"sync"
	"time"

	"github.com/lentilflow/lentilflow/pkg/faultproxy"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// Links are the links between regions for one kind of traffic. Each pair of
// regions has one counted direction each way.
type Links struct {
	latency time.Duration // one way

	mu         sync.Mutex
	directions map[[2]model.Region]*faultproxy.Direction
	proxies    []link
}

type link struct {
	from, to model.Region
	proxy    *faultproxy.Proxy
}

// NewLinks returns links with a one-way latency.
func NewLinks(latency time.Duration) *Links {
	return &Links{latency: latency, directions: make(map[[2]model.Region]*faultproxy.Direction)}
}

// Via returns the address under which processes of region from reach target
// in region to.
func (l *Links) Via(from, to model.Region, target string) (string, error) {
	if from == to {
		return target, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p, err := faultproxy.New(faultproxy.Config{Target: target, Forward: l.direction(from, to), Backward: l.direction(to, from)})
	if err != nil {
		return "", err
	}
	l.proxies = append(l.proxies, link{from: from, to: to, proxy: p})
	return p.Addr(), nil
}

func (l *Links) direction(from, to model.Region) *faultproxy.Direction {
	key := [2]model.Region{from, to}
	d, ok := l.directions[key]
	if !ok {
		d = faultproxy.NewDirection()
		d.Set(faultproxy.Conditions{Latency: l.latency})
		l.directions[key] = d
	}
	return d
}

// Bytes returns the bytes carried between regions so far, in all directions.
func (l *Links) Bytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var n int64
	for _, d := range l.directions {
		n += d.Bytes()
	}
	return n
}

// Part loses everything from and to a region until it is called with false.
// Connections that were open then break, as after a long loss.
func (l *Links) Part(region model.Region, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, d := range l.directions {
		if key[0] == region || key[1] == region {
			d.Set(faultproxy.Conditions{Latency: l.latency, Blackhole: on})
		}
	}
	for _, p := range l.proxies {
		if !on && (p.from == region || p.to == region) {
			p.proxy.Reset()
		}
	}
}

// Close ends all links.
func (l *Links) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all sync.WaitGroup
	for _, p := range l.proxies {
		all.Go(p.proxy.Close)
	}
	all.Wait()
}
