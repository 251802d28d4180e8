package quota

import (
	"context"
	"time"

	"github.com/lentilflow/lentilflow/pkg/config"
)

// Admit takes one request of a team from its quota. It blocks until ctx or wait ends at
// the latest; wait is at most MaxWait.
func (n *Node) Admit(ctx context.Context, team *config.Team, wait time.Duration) Decision {
	now := n.Clock()
	t, d, ok := n.begin(team.Name, Limit{team.Rate, team.Burst}, now+min(wait, MaxWait), now)
	if ok {
		return d
	}
	done := make(chan Decision, 1)
	w := &waiter{deadline: now + min(wait, MaxWait), resolve: func(d Decision) { done <- d }}
	n.wait(t, w, now)
	select {
	case d := <-done:
		return d
	case <-ctx.Done():
		t.mu.Lock()
		t.cancel(w)
		t.mu.Unlock()
		return Decision{Verdict: Unavailable, RetryAfter: unavailableRetry}
	}
}
