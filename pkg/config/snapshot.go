package config

import (
	"math/bits"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
)

// Snapshot is one configuration in the form that decides calls. It is safe for
// concurrent use.
type Snapshot struct {
	*Configuration
	hosts    map[string]map[string]*Target // by host and prefix
	services map[string]*Service
}

// Target is a route with the state of its traffic split.
type Target struct {
	*Route
	total uint64
	drawn atomic.Uint64
}

// Compile checks and indexes c. The error is a *Fault.
func Compile(c *Configuration) (*Snapshot, error) {
	if f := c.Check(); f != nil {
		return nil, f
	}
	s := &Snapshot{
		Configuration: c,
		hosts:         make(map[string]map[string]*Target),
		services:      make(map[string]*Service, len(c.Services)),
	}
	for i := range c.Services {
		s.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		t := &Target{Route: &c.Routes[i]}
		for _, share := range t.Split {
			t.total += uint64(share.Weight)
		}
		t.drawn.Store(rand.Uint64())
		if s.hosts[t.Host] == nil {
			s.hosts[t.Host] = make(map[string]*Target)
		}
		s.hosts[t.Host][t.Prefix] = t
	}
	return s, nil
}

// Service returns the service of the given name.
func (s *Snapshot) Service(name string) (*Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// Match returns the route with the longest prefix of path among those of the
// host, which may carry a port and be in any case.
func (s *Snapshot) Match(host, path string) (*Target, bool) {
	prefixes := s.hosts[HostName(host)]
	if prefixes == nil {
		return nil, false
	}
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] != '/' {
			continue
		}
		if t, ok := prefixes[path[:i+1]]; ok {
			return t, true
		}
	}
	return nil, false
}

// HostName returns the host of a Host header value in lower case and without
// its port.
func HostName(value string) string {
	if name, _, err := net.SplitHostPort(value); err == nil {
		value = name
	}
	return strings.ToLower(value)
}

// goldenStep is 2^64 divided by the golden ratio. Its multiples spread evenly
// over the circle (Kronecker sequence), so every short run of calls is near
// the weights, which random draws are not.
const goldenStep = 0x9e3779b97f4a7c15

// Choose returns the service of the next call, in the proportion of the
// weights.
func (t *Target) Choose() string {
	if len(t.Split) == 1 {
		return t.Split[0].Service
	}
	point, _ := bits.Mul64(t.drawn.Add(goldenStep), t.total)
	for _, s := range t.Split {
		if point < uint64(s.Weight) {
			return s.Service
		}
		point -= uint64(s.Weight)
	}
	return t.Split[len(t.Split)-1].Service
}
