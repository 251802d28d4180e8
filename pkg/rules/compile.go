package rules

import (
	"strings"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// Configuration converts f to a configuration with the given version; routes are
// in file order. config.Compile accepts the result if the version is above 0.
func (f *File) Configuration(v model.Version) *config.Configuration {
	c := &config.Configuration{Version: v}
	for _, s := range f.Services {
		c.Services = append(c.Services, config.Service{Name: s.Name, MaxConnections: s.Connections})
	}
	for i := range f.Rules {
		r := &f.Rules[i]
		c.Routes = append(c.Routes, config.Route{
			Name: r.Name, Host: r.Match.Host, Prefix: strings.TrimSuffix(r.Match.Path, "/") + "/", Methods: r.Match.Methods,
			MatchSegments: true, Idempotent: r.Idempotent, Timeout: r.Deadline, TargetLatency: r.LatencyTarget, Rank: r.Rank,
			MaxAttempts: r.Retries + 1, Split: []config.Share{{Service: r.Service, Weight: 1}},
			Floor: r.Floor, Weight: r.Weight, MaxInFlight: r.MaxInFlight, Prefer: r.Prefer, Public: r.Public, AskedBy: r.AskedBy,
		})
	}
	for i := range f.Teams {
		t := &f.Teams[i]
		team := config.Team{Name: t.Name, Rank: t.Rank, Rate: t.Rate, Burst: t.Burst, AskedBy: t.AskedBy}
		for _, digits := range t.Keys {
			var d config.KeyDigest
			_ = d.UnmarshalText([]byte(digits)) // Parse accepts valid digests only
			team.Keys = append(team.Keys, d)
		}
		c.Teams = append(c.Teams, team)
	}
	return c
}
