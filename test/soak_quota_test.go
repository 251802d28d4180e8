package test

import (
	"fmt"
	"net/http"

	"github.com/lentilflow/lentilflow/pkg/config"
)

const (
	// limitedTeam has a limit in every version. It sends limitedSent requests a second
	// through all nodes together.
	limitedTeam               = "limited"
	limitedRate, limitedBurst = 20, 20
	limitedSent               = 60
)

// addLimitedTeam adds the team with a limit to a configuration.
func addLimitedTeam(c *config.Configuration) {
	c.Teams = append(c.Teams, config.Team{
		Name: limitedTeam, Rate: limitedRate, Burst: limitedBurst, Keys: []config.KeyDigest{config.DigestOfKey(keyMark + limitedTeam)},
	})
}

// checkQuota compares the requests of the team with a limit with the runs.
func (s *soak) checkQuota(requests []quotaRequest) (violations []string) {
	bound := (limitedRate*quotaWindow.Seconds()+limitedBurst)*(1+quotaOverage) + quotaTolerance
	if most := s.mostInWindow(requests); float64(most) > bound {
		violations = append(violations, fmt.Sprintf("%d requests of team %s arrived in a window, at most %.0f are permitted", most, limitedTeam, bound))
	}
	served := 0
	for _, r := range requests {
		if r.served() {
			served++
		}
		if r.refused() && s.ledger.Count(r.id) > 0 {
			violations = append(violations, fmt.Sprintf("request %s was answered %d, which states that it has not run, but it ran", r.id, r.status))
		}
	}
	if served == 0 {
		violations = append(violations, fmt.Sprintf("no request of team %s was served", limitedTeam))
	}
	s.t.Logf("team %s: %d of %d requests served, %d got 429", limitedTeam, served, len(requests), count(requests, http.StatusTooManyRequests))
	return violations
}
