package routing

import (
	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/rules"
)

// ErrUndeclared means that a rule names a service that the file does not
// declare.
var ErrUndeclared = merry.Sentinel("rule names an undeclared service")

// ErrNoFile means that there is no checked rules file to compile.
var ErrNoFile = merry.Sentinel("no rules file to compile")

// Service is a service with the floors that its rules state.
type Service struct {
	model.Service
	// Floors is the percentage of an upstream's slots that each rank keeps,
	// from 0 to 100 and in sum at most 100.
	Floors [model.MaxRank + 1]int
}

// Route is a rule bound to its service.
type Route struct {
	Rule    model.Rule
	Service *Service
}

// Snapshot is one version of the rules in the form that decides calls. It is
// immutable and safe for concurrent use.
type Snapshot struct {
	info     model.VersionInfo
	services []*Service
	routes   []*Route
	service  map[string]*Service
	route    map[string]*Route
	hosts    map[string]*node
	anyHost  *node
}

// Compile binds the rules of f to its services and indexes them. It returns
// ErrNoFile for a nil file, and ErrUndeclared if a rule names a service that
// the file does not declare.
func Compile(info model.VersionInfo, f *rules.File) (*Snapshot, error) {
	if f == nil {
		return nil, merry.Wrap(ErrNoFile)
	}
	s := &Snapshot{
		info:     info,
		services: make([]*Service, 0, len(f.Services)),
		routes:   make([]*Route, 0, len(f.Rules)),
		service:  make(map[string]*Service, len(f.Services)),
		route:    make(map[string]*Route, len(f.Rules)),
		hosts:    make(map[string]*node),
		anyHost:  &node{},
	}
	for _, d := range f.Services {
		v := &Service{Service: d}
		s.services = append(s.services, v)
		s.service[d.Name] = v
	}
	for i := range f.Rules {
		if err := s.add(&f.Rules[i]); err != nil {
			return nil, err
		}
	}
	s.seal()
	return s, nil
}

func (s *Snapshot) add(rule *model.Rule) error {
	service, ok := s.service[rule.Service]
	if !ok {
		return merry.Wrap(ErrUndeclared, merry.AppendMessagef("rule %q, service %q", rule.Name, rule.Service))
	}
	service.Floors[rule.Rank] = rule.Floor
	r := &Route{Rule: *rule, Service: service}
	s.routes = append(s.routes, r)
	s.route[rule.Name] = r
	s.root(rule.Match.Host).add(r)
	return nil
}

// root returns the tree of a host, which it creates if need be.
func (s *Snapshot) root(host string) *node {
	if host == rules.AnyHost {
		return s.anyHost
	}
	n := s.hosts[host]
	if n == nil {
		n = &node{}
		s.hosts[host] = n
	}
	return n
}

func (s *Snapshot) seal() {
	s.anyHost.seal()
	for _, n := range s.hosts {
		n.seal()
	}
}

// Info returns the version that the snapshot was compiled from.
func (s *Snapshot) Info() model.VersionInfo { return s.info }

// Service returns the service of the given name.
func (s *Snapshot) Service(name string) (*Service, bool) {
	v, ok := s.service[name]
	return v, ok
}

// Services returns all services in file order. The caller must not change the
// slice.
func (s *Snapshot) Services() []*Service { return s.services }

// Rule returns the route of the rule with the given name.
func (s *Snapshot) Rule(name string) (*Route, bool) {
	r, ok := s.route[name]
	return r, ok
}

// Routes returns all routes in file order. The caller must not change the
// slice.
func (s *Snapshot) Routes() []*Route { return s.routes }

// Match returns the route of a call: exact host before any host, then the
// longer path, then a listed method before any method, then file order. The
// host is a Host header value with or without port, in any case; the path is
// decoded and matched on segment boundaries. A path that rules.ValidPath
// refuses matches nothing. The time depends on the length of host and path,
// not on the number of rules, and nothing is allocated.
func (s *Snapshot) Match(method, host, path string) (*Route, bool) {
	if !rules.ValidPath(path) {
		return nil, false
	}
	m := methodIndex(method)
	if n := s.host(rules.CutPort(host)); n != nil {
		if r := n.match(m, path); r != nil {
			return r, true
		}
	}
	r := s.anyHost.match(m, path)
	return r, r != nil
}

// maxHost is the longest host name in bytes (RFC 1035); longer hosts are in
// no rule.
const maxHost = 253

// host returns the tree of a host in any case, or nil.
func (s *Snapshot) host(name string) *node {
	var lower [maxHost]byte
	if len(name) > len(lower) {
		return nil
	}
	for i := range len(name) {
		c := name[i]
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		lower[i] = c
	}
	return s.hosts[string(lower[:len(name)])]
}
