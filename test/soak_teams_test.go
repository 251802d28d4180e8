package test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/standin/upstream"
)

const (
	// teamStream separates the random numbers of the callers with keys from those of the
	// faults.
	teamStream = 41
	// steadyTeam has a key that no version withdraws, rotatingTeam one whose keys are
	// replaced every keyVersions versions. A new key is valid together with the one
	// before it.
	steadyTeam, rotatingTeam = "steady", "rotating"
	keyVersions              = 4
	// unknownKey is a key that no version contains.
	unknownKey = "never"
)

// publicPath is below the public route of the soak.
const publicPath = "/stock/1"

// rotatingKey returns the key of a generation.
func rotatingKey(generation model.Version) string { return fmt.Sprint("rotating-", generation) }

// teamOf returns the team that every version with a key gives it, "" for other keys.
func teamOf(key string) string {
	switch {
	case key == steadyTeam:
		return steadyTeam
	case strings.HasPrefix(key, rotatingTeam):
		return rotatingTeam
	}
	return ""
}

// soakTeams returns the teams of a version by key, nil for version 0.
func soakTeams(v model.Version) map[string]string {
	if v == 0 {
		return nil
	}
	generation := v/keyVersions + 1
	return map[string]string{
		steadyTeam: steadyTeam, rotatingKey(generation): rotatingTeam, rotatingKey(generation - 1): rotatingTeam,
	}
}

// addTeams adds the teams of its version to a configuration, and makes the route of
// publicPath public.
func addTeams(c *config.Configuration) {
	keys := make(map[string][]config.KeyDigest)
	for key, team := range soakTeams(c.Version) {
		keys[team] = append(keys[team], config.DigestOfKey(keyMark+key))
	}
	for team, digests := range keys {
		c.Teams = append(c.Teams, config.Team{Name: team, Keys: digests, Rank: new(model.Rank(len(digests)))})
	}
	for i := range c.Routes {
		c.Routes[i].Public = strings.HasPrefix(publicPath, c.Routes[i].Prefix)
	}
}

// startKeyCallers sends requests with keys of the newest version, of earlier and later
// ones and of none, and without a key, to every node until stop is called. All claim to
// be of another team.
func (s *soak) startKeyCallers(seed uint64) (stop func()) {
	ended := make(chan struct{})
	var wait sync.WaitGroup
	for i, n := range s.nodes {
		rnd, caller, generation := rand.New(rand.NewPCG(seed+uint64(i), teamStream)), newCaller(n), s.generations[n.name]
		wait.Go(func() {
			for {
				select {
				case <-ended:
					return
				case <-time.After(30 * time.Millisecond * time.Duration(len(s.nodes)) / minSoakNodes):
				}
				s.mu.Lock()
				newest := s.version/keyVersions + 1
				s.mu.Unlock()
				keys := []string{steadyTeam, unknownKey, "", rotatingKey(newest + 1), rotatingKey(newest), rotatingKey(newest - 1)}
				if newest > 2 {
					keys = append(keys, rotatingKey(newest-2), rotatingKey(1+model.Version(rnd.Uint64N(uint64(newest-2)))))
				}
				o := observed{key: keys[rnd.IntN(len(keys))], path: "/status/1", changesKeys: true, node: n.name, generation: generation.Load(), sentAt: time.Now()}
				if rnd.IntN(3) == 0 {
					o.path = publicPath
				}
				fields := []string{"X-Tenant", "forged"}
				if o.key != "" {
					fields = append(fields, bearer(o.key)...)
				}
				o.response = caller.send(http.MethodGet, o.path, 2*time.Second, fields...)
				o.receivedAt = time.Now()
				o.sameProcess = generation.Load() == o.generation
				s.mu.Lock()
				s.observations = append(s.observations, o)
				s.mu.Unlock()
			}
		})
	}
	return func() {
		close(ended)
		wait.Wait()
	}
}

// decidingVersion returns the version that decided a request, 0 if the response does
// not state it.
func (o *observed) decidingVersion() model.Version {
	if v, err := strconv.ParseUint(o.header.Get("Lentilflow-Version"), 10, 64); err == nil {
		return model.Version(v)
	}
	var d struct {
		Version model.Version `json:"version"`
	}
	_ = json.Unmarshal([]byte(o.body), &d)
	return d.Version
}

// checkKeys compares the responses to requests with the teams of the version that decided
// them, and the runs with the key of their request.
func checkKeys(observations []observed, runs []upstream.Run) (violations []string) {
	report := func(o *observed, format string, args ...any) {
		violations = append(violations, fmt.Sprintf("request %s with key %q for %s: ", o.id, o.key, o.path)+fmt.Sprintf(format, args...))
	}
	byID := make(map[string][]upstream.Run)
	for _, r := range runs {
		byID[r.ID] = append(byID[r.ID], r)
	}
	for i := range observations {
		o := &observations[i]
		v := o.decidingVersion()
		_, known := soakTeams(v)[o.key]
		public := o.path == publicPath
		switch {
		case o.status == http.StatusUnauthorized && (known || public):
			report(o, "answered 401 by version %d, which accepts it", v)
		case o.served() && !known && !public:
			report(o, "served by version %d, which does not accept it", v)
		case o.status == http.StatusUnauthorized && len(byID[o.id]) > 0:
			report(o, "answered 401, which states that it has not run, but it ran")
		}
		for _, r := range byID[o.id] {
			team := strings.Join(r.Header.Values("X-Tenant"), ",")
			switch {
			case r.Header.Get("Authorization") != "":
				report(o, "reached boot %s with its key", r.Boot)
			case !public && team == "", team != "" && team != teamOf(o.key):
				report(o, "ran for the team %q", team)
			case public && o.served() && (team != "") != known:
				report(o, "ran for the team %q, version %d", team, v)
			}
		}
	}
	slices.Sort(violations)
	return violations
}

// keysInLogs returns a text for each log that contains a key.
func (s *soak) keysInLogs() (violations []string) {
	for _, n := range s.nodes {
		if text, err := os.ReadFile(n.logFile); err != nil || strings.Contains(string(text), keyMark) {
			violations = append(violations, fmt.Sprintf("the log of %s contains a key, or cannot be read: %v", n.name, err))
		}
	}
	return violations
}

// Guards checkKeys: it detects each violation that it is meant for.
func TestKeyCheckDetectsViolations(t *testing.T) {
	old, now := rotatingKey(1), rotatingKey(2)
	got := func(key, path string, status int, version model.Version) observed {
		o := observed{key: key, path: path, response: response{id: "1", status: status}}
		if status == http.StatusOK {
			o.body, o.header = "ran 1", http.Header{"Lentilflow-Version": {fmt.Sprint(version)}}
		} else {
			o.body = fmt.Sprintf(`{"version":%d}`, version)
		}
		return o
	}
	run := func(fields ...string) upstream.Run {
		h := http.Header{}
		for i := 0; i < len(fields); i += 2 {
			h.Add(fields[i], fields[i+1])
		}
		return upstream.Run{ID: "1", Boot: "b", Header: h}
	}
	rotating := run("X-Tenant", rotatingTeam)
	for name, c := range map[string]struct {
		observed   observed
		runs       []upstream.Run
		violations int
	}{
		"served":                  {got(old, "/status/1", 200, keyVersions), []upstream.Run{rotating}, 0},
		"withdrawn":               {got(old, "/status/1", 401, 2*keyVersions), nil, 0},
		"not yet valid":           {got(now, "/status/1", 401, 1), nil, 0},
		"public":                  {got(unknownKey, publicPath, 200, 1), []upstream.Run{run()}, 0},
		"public with a key":       {got(now, publicPath, 200, keyVersions), []upstream.Run{rotating}, 0},
		"no configuration":        {got(steadyTeam, "/status/1", 503, 0), nil, 0},
		"lost response":           {got(steadyTeam, "/status/1", 0, 0), []upstream.Run{run("X-Tenant", steadyTeam)}, 0},
		"withdrawn and served":    {got(old, "/status/1", 200, 2*keyVersions), []upstream.Run{rotating}, 1},
		"too early":               {got(rotatingKey(3), "/status/1", 200, keyVersions), []upstream.Run{rotating}, 1},
		"unknown and served":      {got(unknownKey, "/status/1", 200, 1), []upstream.Run{run()}, 2},
		"unknown, response lost":  {got(unknownKey, "/status/1", 0, 0), []upstream.Run{run()}, 1},
		"denied":                  {got(steadyTeam, "/status/1", 401, 1), nil, 1},
		"denied on a public path": {got("", publicPath, 401, 1), nil, 1},
		"untrue 401":              {got(unknownKey, "/status/1", 401, 1), []upstream.Run{rotating}, 2},
		"key at the upstream":     {got(steadyTeam, "/status/1", 200, 1), []upstream.Run{run("X-Tenant", steadyTeam, "Authorization", "Bearer x")}, 1},
		"forged":                  {got(steadyTeam, "/status/1", 200, 1), []upstream.Run{run("X-Tenant", "forged")}, 1},
		"forged beside":           {got(steadyTeam, "/status/1", 200, 1), []upstream.Run{run("X-Tenant", steadyTeam, "X-Tenant", "forged")}, 1},
		"forged on a public path": {got("", publicPath, 200, 1), []upstream.Run{run("X-Tenant", "forged")}, 1},
		"no team":                 {got(steadyTeam, "/status/1", 0, 0), []upstream.Run{run()}, 1},
	} {
		if v := checkKeys([]observed{c.observed}, c.runs); len(v) != c.violations {
			t.Errorf("%s: %q, want %d", name, v, c.violations)
		}
	}
}
