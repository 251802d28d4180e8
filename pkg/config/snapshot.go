package config

import (
	"math/bits"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Snapshot is one configuration, indexed for matching calls. It is safe for
// concurrent use.
type Snapshot struct {
	*Configuration
	hosts    map[string]paths
	services map[string]*Service
	teams    teamIndex
}

// paths holds the routes of one host. prefixes has them by prefix with its last
// slash; withoutSlash has routes with MatchSegments by prefix without it. Routes
// that list methods come first.
type paths struct{ prefixes, withoutSlash map[string][]*RouteState }

// RouteState is a route and its state at this node. It is safe for concurrent
// use.
type RouteState struct {
	*Route
	totalWeight   uint64
	splitPosition atomic.Uint64
	inFlight      atomic.Int64
	// Inner says that upstreams make the calls of the route while they run other calls.
	Inner bool
}

// TryAcquire counts one more call of the route in flight. It returns false, and
// counts nothing, if MaxInFlight calls are in flight. Each TryAcquire that
// returned true must be followed by Release.
func (t *RouteState) TryAcquire() bool {
	if n := t.inFlight.Add(1); t.MaxInFlight > 0 && n > int64(t.MaxInFlight) {
		t.inFlight.Add(-1)
		return false
	}
	return true
}

// Release ends a call that TryAcquire counted.
func (t *RouteState) Release() { t.inFlight.Add(-1) }

// Compile checks c and returns its indexed form, which refers to c. The error is
// a *Fault.
func Compile(c *Configuration) (*Snapshot, error) {
	if f := c.Check(); f != nil {
		return nil, f
	}
	s := &Snapshot{
		Configuration: c,
		hosts:         make(map[string]paths),
		services:      make(map[string]*Service, len(c.Services)),
		teams:         indexTeams(c.Teams),
	}
	for i := range c.Services {
		s.services[c.Services[i].Name] = &c.Services[i]
	}
	innerTarget := maxInnerTarget(c.Routes)
	for i := range c.Routes {
		t := &RouteState{Route: &c.Routes[i]}
		t.Inner = t.Public && t.TargetLatency > 0 && t.TargetLatency <= innerTarget
		for _, share := range t.Split {
			t.totalWeight += uint64(share.Weight)
		}
		t.splitPosition.Store(rand.Uint64())
		s.add(t)
	}
	return s, nil
}

// maxInnerTarget returns the longest latency target of routes for calls that upstreams
// make: half of the shortest one of the routes that need a key. Such calls come without
// a key, and several of them fit into the target of a caller. Other public routes are
// for callers without a key.
func maxInnerTarget(routes []Route) time.Duration {
	shortest := time.Duration(0)
	for i := range routes {
		if t := routes[i].TargetLatency; !routes[i].Public && t > 0 && (shortest == 0 || t < shortest) {
			shortest = t
		}
	}
	return shortest / 2
}

func (s *Snapshot) add(t *RouteState) {
	p, ok := s.hosts[t.Host]
	if !ok {
		p = paths{prefixes: make(map[string][]*RouteState), withoutSlash: make(map[string][]*RouteState)}
		s.hosts[t.Host] = p
	}
	p.prefixes[t.Prefix] = insertByMethod(p.prefixes[t.Prefix], t)
	if t.MatchSegments {
		without := strings.TrimSuffix(t.Prefix, "/")
		p.withoutSlash[without] = insertByMethod(p.withoutSlash[without], t)
	}
}

// insertByMethod inserts t so that routes that list methods come before those
// that do not.
func insertByMethod(list []*RouteState, t *RouteState) []*RouteState {
	at := len(list)
	for at > 0 && len(t.Methods) > 0 && len(list[at-1].Methods) == 0 {
		at--
	}
	return slices.Insert(list, at, t)
}

// Service returns the service of the given name. It returns false if there is
// none.
func (s *Snapshot) Service(name string) (*Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// Match returns the route of a call, or false if none matches. The exact host
// takes precedence over any host, then the longest prefix of the path, then a
// listed method over any method. The host may have a port and be in any case;
// the path must be decoded.
func (s *Snapshot) Match(method, host, path string) (*RouteState, bool) {
	for _, name := range [...]string{HostName(host), AnyHost} {
		p, ok := s.hosts[name]
		if !ok {
			continue
		}
		if t := p.match(method, path); t != nil {
			return t, true
		}
	}
	return nil, false
}

func (p *paths) match(method, path string) *RouteState {
	if t := firstMatch(p.withoutSlash[path], method, path); t != nil {
		return t
	}
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] != '/' {
			continue
		}
		if t := firstMatch(p.prefixes[path[:i+1]], method, path); t != nil {
			return t
		}
	}
	return nil
}

func firstMatch(list []*RouteState, method, path string) *RouteState {
	for _, t := range list {
		if len(t.Methods) > 0 && !slices.Contains(t.Methods, method) || t.MatchSegments && !isNormalised(path) {
			continue
		}
		return t
	}
	return nil
}

// isNormalised reports whether a path has no empty, "." or ".." segment. A
// trailing slash is allowed.
func isNormalised(path string) bool {
	path = strings.TrimSuffix(path, "/")
	for segment := range strings.SplitSeq(strings.TrimPrefix(path, "/"), "/") {
		if segment == "" && path != "" || segment == "." || segment == ".." {
			return false
		}
	}
	return true
}

// HostName returns the host of a Host header value in lower case, without its
// port and without a dot at the end.
func HostName(value string) string {
	if name, _, err := net.SplitHostPort(value); err == nil {
		value = name
	}
	return strings.ToLower(strings.TrimSuffix(value, "."))
}

// goldenStep is 2^64 divided by the golden ratio. Its multiples modulo 2^64 are
// evenly distributed (Kronecker sequence), so the split of every short sequence
// of calls is close to the weights. That of random numbers is not.
const goldenStep = 0x9e3779b97f4a7c15

// ChooseService returns the service of the next call, in proportion to the
// weights of the split.
func (t *RouteState) ChooseService() string {
	if len(t.Split) == 1 {
		return t.Split[0].Service
	}
	point, _ := bits.Mul64(t.splitPosition.Add(goldenStep), t.totalWeight)
	for _, s := range t.Split {
		if point < uint64(s.Weight) {
			return s.Service
		}
		point -= uint64(s.Weight)
	}
	return t.Split[len(t.Split)-1].Service
}
