package operator

import (
	"context"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// Teams are the teams of the configuration in force, sorted by name.
type Teams struct {
	Version model.Version `json:"version"`
	Teams   []config.Team `json:"teams"`
}

// Teams returns the teams of the configuration in force, or ErrNoConfiguration if
// there is none.
func (q *Queries) Teams(ctx context.Context) (Teams, error) {
	c, err := q.Store.InForce(ctx)
	if err != nil {
		return Teams{}, err
	}
	teams := slices.SortedFunc(slices.Values(c.Teams), func(a, b config.Team) int { return strings.Compare(a.Name, b.Name) })
	if teams == nil {
		teams = []config.Team{}
	}
	return Teams{Version: c.Version, Teams: teams}, nil
}

const (
	// digestPrefix may precede the digest of a key.
	digestPrefix = "sha256:"
	// minDigestDigits is the number of digits of a digest that the log shows.
	minDigestDigits = 8
)

// Caller says how the team of a call takes part in its handling.
type Caller struct {
	// Team is the team of the call, nil if it has none.
	Team *config.Team `json:"team,omitempty"`
	// NeedsKey says that calls of the route without a known key are answered 401.
	NeedsKey bool `json:"needs_key"`
	// Rank is the rank of the call: that of the team, or of the route if the team has
	// none.
	Rank model.Rank `json:"rank"`
	// Limited says that the call counts for the quota of its team.
	Limited bool `json:"limited"`
}

// Refused reports whether the call is answered 401.
func (c *Caller) Refused() bool { return c.NeedsKey && c.Team == nil }

// explainCaller returns how a call of a route is handled for a team.
func explainCaller(s *config.Snapshot, r *config.Route, t *config.Team) *Caller {
	if !s.HasTeams() {
		return nil
	}
	return &Caller{Team: t, NeedsKey: !r.Public, Rank: t.RankOf(r), Limited: t != nil && t.Rate > 0 && !r.Public}
}

// findTeam returns the team of the given name, or the one that has a key whose digest
// begins with the given digits. It returns nil if reference is empty, or if it has all
// digits of a digest and no team has the key.
func findTeam(s *config.Snapshot, reference string) (*config.Team, error) {
	if reference == "" {
		return nil, nil
	}
	if t, ok := s.Team(reference); ok {
		return t, nil
	}
	digits := strings.ToLower(strings.TrimPrefix(reference, digestPrefix))
	if len(digits) < minDigestDigits || strings.Trim(digits, "0123456789abcdef") != "" {
		return nil, merry.Errorf("team %q does not exist (accepted: name of a team, or at least %d digits of the digest of a key)", reference, minDigestDigits)
	}
	var found *config.Team
	for i := range s.Teams {
		for _, d := range s.Teams[i].Keys {
			if !strings.HasPrefix(d.Hex(), digits) {
				continue
			}
			if found != nil && found != &s.Teams[i] {
				return nil, merry.Errorf("keys of several teams have digests that begin with %q (accepted: more digits)", digits)
			}
			found = &s.Teams[i]
		}
	}
	return found, nil
}
