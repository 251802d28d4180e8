package config

import (
	"cmp"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lentilflow/lentilflow/pkg/model"
)

func drawConfiguration(t *rapid.T, v Version) *Configuration {
	c := &Configuration{Version: v, Services: []Service{{Name: "a"}, {Name: "b"}}}
	seen := make(map[RouteKey]bool)
	for range rapid.IntRange(0, 8).Draw(t, "routes") {
		r := Route{
			Name: "r", Host: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "host"),
			Prefix: fmt.Sprintf("/%d/", rapid.IntRange(0, 3).Draw(t, "prefix")), MaxAttempts: rapid.IntRange(1, 2).Draw(t, "attempts"),
			Split: []Share{{Service: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"), Weight: 1}},
		}
		if rapid.Bool().Draw(t, "method") {
			r.Methods = []string{"GET"}
		}
		if !seen[r.Key()] {
			seen[r.Key()] = true
			c.Routes = append(c.Routes, r)
		}
	}
	c.Teams = drawTeams(t)
	return c
}

func drawTeams(t *rapid.T) (teams []Team) {
	for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 0, 4, rapid.ID).Draw(t, "teams") {
		team := Team{Name: name, Rate: float64(rapid.IntRange(0, 2).Draw(t, "rate"))}
		for i := range rapid.IntRange(0, 2).Draw(t, "keys") {
			team.Keys = append(team.Keys, DigestOfKey(fmt.Sprint(name, i)))
		}
		if rapid.Bool().Draw(t, "ranked") {
			team.Rank = new(model.Rank(rapid.IntRange(0, 1).Draw(t, "rank")))
		}
		teams = append(teams, team)
	}
	return teams
}

func sortedTeams(c *Configuration) []Team {
	return slices.SortedFunc(slices.Values(c.Teams), func(a, b Team) int { return cmp.Compare(a.Name, b.Name) })
}

func sortedRoutes(c *Configuration) []Route {
	routes := slices.Clone(c.Routes)
	slices.SortFunc(routes, func(a, b Route) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Prefix, b.Prefix), cmp.Compare(len(a.Methods), len(b.Methods)))
	})
	return routes
}

func sameRoute(a, b Route) bool { return reflect.DeepEqual(a, b) }

// Guards against a version that differs between nodes because one received it as
// a Change and another as a whole Configuration.
func TestDiffAndApplyRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		older, newer := drawConfiguration(t, 3), drawConfiguration(t, 7)
		text, err := json.Marshal(Diff(older, newer))
		if err != nil {
			t.Fatal(err)
		}
		var c Change
		if err := json.Unmarshal(text, &c); err != nil {
			t.Fatal(err)
		}
		got, ok := c.Apply(older)
		if !ok || got.Version != 7 || !slices.EqualFunc(sortedRoutes(got), sortedRoutes(newer), sameRoute) || !reflect.DeepEqual(got.Services, newer.Services) ||
			!reflect.DeepEqual(sortedTeams(got), sortedTeams(newer)) {
			t.Fatalf("got %+v, want %+v", got, newer)
		}
		if _, ok := c.Apply(&Configuration{Version: 4}); ok {
			t.Fatal("a change was applied to a version that is not its base")
		}
		if len(older.Routes) > 0 {
			if _, ok := c.Apply(&Configuration{Version: 3}); ok && len(c.Set) < len(newer.Routes) {
				t.Fatal("a change was applied to a version without the routes of its base")
			}
		}
	})
}

// Guards the recent versions: their number is bounded, and those that other
// nodes may have are kept.
func TestRecentVersions(t *testing.T) {
	is := is.New(t)
	h := NewHolder()
	for v := Version(1); v <= 3*recentVersions; v++ {
		_, err := h.Offer(&Configuration{Version: v, Services: []Service{{Name: "a"}}})
		is.NoErr(err)
	}
	is.Equal(h.Recent(1), nil)
	is.Equal(h.Recent(3*recentVersions).Version, Version(3*recentVersions))
	is.Equal(h.Recent(3*recentVersions-1).Version, Version(3*recentVersions-1))
	is.True(len(h.recent) <= recentVersions)
}
