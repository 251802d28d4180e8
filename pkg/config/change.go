package config

import (
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Change is the difference between one version and a later one. Successive
// versions differ in a few routes out of a thousand, so it is much smaller than
// a whole version.
type Change struct {
	Base     Version      `json:"base"`
	Version  Version      `json:"version"`
	Services []Service    `json:"services"`
	Callers  CallerLimits `json:"callers"`
	Set      []Route      `json:"set,omitempty"` // new or changed
	Removed  []RouteKey   `json:"removed,omitempty"`
	// Routes is the number of routes of the later version; Apply checks it.
	Routes int `json:"routes"`
	// SetTeams are the teams that are new or changed, RemovedTeams the names of
	// those that the later version lacks, and Teams the number of its teams, which
	// Apply checks.
	SetTeams     []Team   `json:"set_teams,omitempty"`
	RemovedTeams []string `json:"removed_teams,omitempty"`
	Teams        int      `json:"teams,omitempty"`
}

// RouteKey identifies a route within a configuration.
// No two routes of a configuration have the same key.
type RouteKey struct {
	Host    string `json:"host"`
	Prefix  string `json:"prefix"`
	Methods string `json:"methods,omitempty"` // joined by commas
}

// Key returns the key of r.
func (r *Route) Key() RouteKey { return RouteKey{r.Host, r.Prefix, strings.Join(r.Methods, ",")} }

// Diff returns the change that turns older into newer. The order of routes and of
// teams is not compared.
func Diff(older, newer *Configuration) *Change {
	c := &Change{
		Base: older.Version, Version: newer.Version, Services: newer.Services, Callers: newer.Callers, Routes: len(newer.Routes), Teams: len(newer.Teams),
	}
	c.SetTeams, c.RemovedTeams = diffTeams(older.Teams, newer.Teams)
	before := make(map[RouteKey]*Route, len(older.Routes))
	for i := range older.Routes {
		before[older.Routes[i].Key()] = &older.Routes[i]
	}
	for i := range newer.Routes {
		r := &newer.Routes[i]
		if b, ok := before[r.Key()]; !ok || !reflect.DeepEqual(b, r) {
			c.Set = append(c.Set, *r)
		}
		delete(before, r.Key())
	}
	for key := range before {
		c.Removed = append(c.Removed, key)
	}
	return c
}

// diffTeams returns the teams of newer that are new or changed, and the names of
// those that only older has.
func diffTeams(older, newer []Team) (set []Team, removed []string) {
	before := make(map[string]*Team, len(older))
	for i := range older {
		before[older[i].Name] = &older[i]
	}
	for i := range newer {
		t := &newer[i]
		if b, ok := before[t.Name]; !ok || !reflect.DeepEqual(b, t) {
			set = append(set, *t)
		}
		delete(before, t.Name)
	}
	return set, slices.Collect(maps.Keys(before))
}

// Apply returns the later version. It returns false if older is not the base of
// c, or if the result does not have the expected number of routes and teams.
func (c *Change) Apply(older *Configuration) (*Configuration, bool) {
	if older.Version != c.Base {
		return nil, false
	}
	set := make(map[RouteKey]*Route, len(c.Set))
	for i := range c.Set {
		set[c.Set[i].Key()] = &c.Set[i]
	}
	removed := make(map[RouteKey]bool, len(c.Removed))
	for _, key := range c.Removed {
		removed[key] = true
	}
	next := &Configuration{Version: c.Version, Services: c.Services, Callers: c.Callers}
	next.Routes = slices.Grow(next.Routes, len(older.Routes)+len(c.Set))
	for i := range older.Routes {
		r := &older.Routes[i]
		if removed[r.Key()] {
			continue
		}
		if s, ok := set[r.Key()]; ok {
			next.Routes = append(next.Routes, *s)
			delete(set, r.Key())
			continue
		}
		next.Routes = append(next.Routes, *r)
	}
	for i := range c.Set {
		if _, left := set[c.Set[i].Key()]; left {
			next.Routes = append(next.Routes, c.Set[i])
		}
	}
	next.Teams = c.applyTeams(older.Teams)
	return next, len(next.Routes) == c.Routes && len(next.Teams) == c.Teams
}

// applyTeams returns the teams of the later version.
func (c *Change) applyTeams(older []Team) []Team {
	replaced := make(map[string]bool, len(c.SetTeams)+len(c.RemovedTeams))
	for i := range c.SetTeams {
		replaced[c.SetTeams[i].Name] = true
	}
	for _, name := range c.RemovedTeams {
		replaced[name] = true
	}
	var next []Team
	for i := range older {
		if !replaced[older[i].Name] {
			next = append(next, older[i])
		}
	}
	return append(next, c.SetTeams...)
}
