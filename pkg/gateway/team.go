package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/quota"
)

// QuotaLimiter decides whether a request is within the quota of its team. Its
// method is called concurrently.
type QuotaLimiter interface {
	// Admit takes one request of a team from its quota. It blocks until ctx or wait
	// ends at the latest.
	Admit(ctx context.Context, t *config.Team, wait time.Duration) quota.Decision
}

const (
	// bearerScheme is the authentication scheme of keys; its case does not matter
	// (RFC 9110, section 11.1).
	bearerScheme = "Bearer"
	// authenticate is the content of WWW-Authenticate in a response with status 401.
	authenticate = `Bearer realm="lentilflow"`
	// maxQuotaWait and quotaWaitShare bound the wait for a token of a quota; the
	// share is that of the time left. The rest is left for running the call.
	maxQuotaWait   = 300 * time.Millisecond
	quotaWaitShare = 0.25
)

// keyFault says why a request has no key that could be looked up.
type keyFault string

const (
	keyMissing   keyFault = "no Authorization field"
	keyRepeated  keyFault = "several Authorization fields"
	keyNotBearer keyFault = "the Authorization field is not Bearer and a key"
	keyUnknown   keyFault = "no team has the key"
	keyWithdrawn keyFault = "the key was withdrawn before the next attempt"
)

// bearerKey returns the key in the values of Authorization, or why there is none.
// Only a single field with the scheme Bearer, one or more spaces and a key is
// accepted, so that the node and an upstream cannot disagree about the key.
func bearerKey(values []string) (string, keyFault) {
	switch {
	case len(values) == 0:
		return "", keyMissing
	case len(values) > 1:
		return "", keyRepeated
	}
	scheme, key, found := strings.Cut(values[0], " ")
	key = strings.Trim(key, " ")
	if !found || key == "" || !strings.EqualFold(scheme, bearerScheme) {
		return "", keyNotBearer
	}
	return key, ""
}

// identity is what is known of the team of a call. It does not contain the key.
type identity struct {
	team *config.Team // nil if there is none
	// digest is that of the key; hasDigest is false without a key.
	digest    config.KeyDigest
	hasDigest bool
	fault     keyFault // why there is no team
}

// identify looks up the team of a request by the values of its Authorization field.
func identify(s *config.Snapshot, values []string) *identity {
	key, fault := bearerKey(values)
	if fault != "" {
		return &identity{fault: fault}
	}
	id := &identity{digest: config.DigestOfKey(key), hasDigest: true}
	if team, ok := s.TeamOfDigest(id.digest); ok {
		id.team = team
	} else {
		id.fault = keyUnknown
	}
	return id
}

// team returns the team of a call, nil if it has none.
func (c *call) team() *config.Team {
	if c.identity == nil {
		return nil
	}
	return c.identity.team
}

// teamName returns the name of the team of a call, "" if it has none.
func (c *call) teamName() string {
	if t := c.team(); t != nil {
		return t.Name
	}
	return ""
}

// checkKey looks up the team of a call if the configuration has teams, and removes
// its key. It returns a refusal if the route needs a key and the call has none that
// belongs to a team.
func (g *Gateway) checkKey(c *call, s *config.Snapshot) *Refusal {
	if !s.HasTeams() {
		return nil
	}
	h := c.x.Request.Header
	c.identity = identify(s, h[g.Names.Authorization])
	delete(h, g.Names.Authorization)
	if c.identity.team == nil && !c.route.Public {
		return newRefusal(model.UnknownKey)
	}
	return nil
}

// recheckKey refuses the next attempt of a call if the version now in force lacks its
// key. The versions between may have lacked it for as long as the call has run. A
// call whose key moved to another team keeps the team that it began with.
func (g *Gateway) recheckKey(c *call) *Refusal {
	s := g.Config.Current()
	if c.team() == nil || c.route.Public || s.Version == c.version || !s.HasTeams() {
		return nil
	}
	if _, ok := s.TeamOfDigest(c.identity.digest); ok {
		return nil
	}
	req := c.x.Request
	if t, ok := s.Match(req.Method, req.Host, req.URL.Path); ok && t.Public {
		return nil
	}
	c.identity.fault, c.version = keyWithdrawn, s.Version // which has decided
	return newRefusal(model.UnknownKey)
}

// setTeam replaces the name of a team that a request states by team, or removes it
// if team is "". It also removes a key.
func (n *HeaderNames) setTeam(h http.Header, team string) {
	delete(h, n.Authorization)
	delete(h, n.Team)
	if team != "" {
		h[n.Team] = []string{team}
	}
}

// applyTeam makes an attempt of a remote node carry the name of its team and no key.
// The caller's node has done so already, unless it has an older configuration
// without teams. Without teams in the configurations of both nodes the fields stay
// as they are.
func (g *Gateway) applyTeam(h http.Header, team string) {
	s := g.Config.Current()
	if team != "" || s != nil && s.HasTeams() {
		g.Names.setTeam(h, team)
	}
}

// takeQuota takes a call from the quota of its team. It returns a refusal if the
// quota is used, or if that is not known in time. Calls of public routes and of
// teams without a rate have no quota.
func (g *Gateway) takeQuota(c *call) *Refusal {
	t := c.team()
	if g.Quota == nil || t == nil || t.Rate <= 0 || c.route.Public {
		return nil
	}
	wait := min(time.Duration(quotaWaitShare*float64(time.Until(c.attempt.Deadline))), maxQuotaWait)
	if wait <= 0 {
		return newRefusal(model.DeadlineExceeded)
	}
	d := g.Quota.Admit(c.ctx, t, wait)
	if d.Verdict == quota.Granted {
		return nil
	}
	r := newRefusal(model.QuotaUnavailable)
	if d.Verdict == quota.Exceeded {
		r.Reason = model.QuotaExceeded
	}
	if c.ctx.Err() != nil {
		r.Reason = endedReason(c.ctx)
	}
	r.RetryAfter = d.RetryAfter
	if r.RetryAfter <= 0 {
		r.RetryAfter = defaultRetryAfter
	}
	return r
}
