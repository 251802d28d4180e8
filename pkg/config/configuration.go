package config

import (
	"fmt"
	"strings"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// Version is the number of a configuration.
type Version = model.Version

// Configuration is one accepted version. It is immutable, so it is safe for
// concurrent use.
type Configuration struct {
	Version  Version      `json:"version"`
	Services []Service    `json:"services"`
	Routes   []Route      `json:"routes"`
	Callers  CallerLimits `json:"callers"`
	// Teams are the teams whose keys are accepted. Without teams, calls need no key.
	Teams []Team `json:"teams,omitempty"`
	// TeamsUnknown says that the copy comes from a node of an earlier release, which
	// leaves out the teams and which routes are public. A complete copy of the same
	// version replaces it.
	TeamsUnknown bool `json:"-"`
}

// Service is a service to which routes may send calls.
type Service struct {
	Name string `json:"name"`
	// HealthPath is the path at which an upstream responds with status 200 while
	// it is healthy and not leaving; empty if it is not known.
	HealthPath string `json:"health_path,omitempty"`
	// MaxConnections is the number of connections that one upstream accepts from
	// all callers together, 0 if not stated.
	MaxConnections int `json:"connections,omitempty"`
}

// CallerLimits bounds what a caller may send. Zero stands for the default of
// h1.Limits.
type CallerLimits struct {
	MaxHeaderBytes int64         `json:"header_bytes,omitempty"`
	MaxBodyBytes   int64         `json:"body_bytes,omitempty"`
	HeaderTimeout  time.Duration `json:"header_ns,omitempty"` // from the first byte of a request header to its end
	IdleTimeout    time.Duration `json:"idle_ns,omitempty"`   // between two requests on a connection
}

// Route determines how calls to one host below one path prefix are handled.
type Route struct {
	Name   string `json:"name"`   // name of the rule
	Host   string `json:"host"`   // lower case, without port
	Prefix string `json:"prefix"` // begins and ends with a slash
	// Idempotent says that a call may run more than once.
	Idempotent bool `json:"idempotent"`
	// Download says that responses are large, hundreds of kilobytes or more.
	Download bool `json:"bulk,omitempty"`
	// Timeout is the longest time that a caller waits for the response; 0 means
	// that only the caller's deadline applies.
	Timeout time.Duration `json:"timeout_ns,omitempty"`
	// TargetLatency is the latency target, 0 if there is none.
	TargetLatency time.Duration `json:"target_ns,omitempty"`
	Rank          model.Rank    `json:"rank"` // 0 is the most urgent
	// MaxAttempts is the largest number of upstreams that may receive one call.
	MaxAttempts int `json:"attempts"`
	// Split divides the calls of the route between services.
	Split []Share `json:"split"`

	// Methods lists the methods that the route matches, in upper case; empty
	// means every method.
	Methods []string `json:"methods,omitempty"`
	// MatchSegments makes the route also match its prefix without the last
	// slash. The route then matches no path with an empty, "." or ".." segment,
	// because an upstream may normalise it to another path.
	MatchSegments bool `json:"segments,omitempty"`
	// Floor is the percentage of an upstream's slots that are reserved for the
	// rank; 0 stands for the default.
	Floor int `json:"floor,omitempty"`
	// Weight is the weight among the routes of one rank; 0 stands for 1.
	Weight int `json:"worth,omitempty"`
	// MaxInFlight is the largest number of calls in flight at one node; 0 means
	// no limit.
	MaxInFlight int `json:"max_in_flight,omitempty"`
	// Prefer is the area whose upstreams are used before those further away;
	// empty stands for the availability zone.
	Prefer model.Preference `json:"prefer,omitempty"`
	// Public makes the route accept calls without a key.
	Public bool `json:"public,omitempty"`
	// AskedBy is the person who requested the rule, empty if not stated.
	AskedBy string `json:"asked_by,omitempty"`
}

// AnyHost is the host of a route that matches calls to every host.
const AnyHost = "*"

// Share is the share of a route's calls that is sent to one service.
type Share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"` // relative to the other shares of the route
}

// Fault is the error because of which a configuration is rejected as a whole.
type Fault struct {
	Version Version
	Field   string // of the configuration, for example "route r-1 split"
	Message string
}

// Error implements error.
func (f *Fault) Error() string {
	return fmt.Sprintf("configuration %d: %s: %s", f.Version, f.Field, f.Message)
}

// Check returns the first fault of c, or nil.
func (c *Configuration) Check() *Fault {
	fault := func(field, format string, args ...any) *Fault {
		return &Fault{Version: c.Version, Field: field, Message: fmt.Sprintf(format, args...)}
	}
	if c.Version == 0 {
		return fault("version", "must be above 0")
	}
	services := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		switch {
		case s.Name == "":
			return fault("services", "a service has no name")
		case services[s.Name]:
			return fault("services", "service %q is stated twice", s.Name)
		}
		services[s.Name] = true
	}
	type matchKey struct{ host, prefix, methods string }
	seen := make(map[matchKey]string, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		key := matchKey{r.Host, r.Prefix, strings.Join(r.Methods, ",")}
		if other, ok := seen[key]; ok {
			return fault("route "+r.Name, "same host, prefix and methods as route %q", other)
		}
		seen[key] = r.Name
		if message := r.check(services); message != "" {
			return fault("route "+r.Name, "%s", message)
		}
	}
	if field, message := c.checkTeams(); message != "" {
		return fault(field, "%s", message)
	}
	return nil
}

// check returns a message about the first fault of r, or "".
func (r *Route) check(services map[string]bool) string {
	switch {
	case r.Host == "":
		return "has no host"
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Sprintf("prefix %q does not begin and end with a slash", r.Prefix)
	case r.Timeout < 0 || r.TargetLatency < 0:
		return "has a negative timeout or latency target"
	case r.Floor < 0 || r.Floor > 100 || r.Weight < 0 || r.MaxInFlight < 0:
		return "has a floor, worth or max_in_flight out of range"
	case r.MaxAttempts < 1:
		return "does not allow any attempt"
	case len(r.Split) == 0:
		return "has no service in its split"
	}
	total := 0
	for _, s := range r.Split {
		if !services[s.Service] {
			return fmt.Sprintf("names the unknown service %q", s.Service)
		}
		if s.Weight < 0 {
			return fmt.Sprintf("gives service %q a negative weight", s.Service)
		}
		total += s.Weight
	}
	if total == 0 {
		return "gives all services the weight 0"
	}
	return ""
}
