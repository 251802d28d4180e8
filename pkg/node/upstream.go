package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// Watching of the upstream. Health endpoints lag or mislead, so only the lack
// of any answer counts, and only several times in a row.
const (
	healthInterval = 2 * time.Second
	healthTimeout  = 1 * time.Second
	healthFailures = 3
)

// upstreamState announces whether the upstream beside the node is reachable,
// as seen by calls and by health requests.
type upstreamState struct {
	announce func(model.EntryState)
	log      *zap.Logger

	mu                sync.Mutex
	lost, unanswering bool // by calls and by health requests
	leaving           bool
}

func (u *upstreamState) seenByCalls(reachable bool) {
	u.change(func() { u.lost = !reachable })
}

func (u *upstreamState) seenByHealth(answers bool) {
	u.change(func() { u.unanswering = !answers })
}

// leave announces that the node drains; later changes are not announced.
func (u *upstreamState) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = true
	u.announce(model.Draining)
}

func (u *upstreamState) change(apply func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	before := u.state()
	apply()
	after := u.state()
	if before == after || u.leaving {
		return
	}
	u.log.Info("upstream " + after.String())
	u.announce(after)
}

func (u *upstreamState) state() model.EntryState {
	if u.lost || u.unanswering {
		return model.Suspect
	}
	return model.Ready
}

// watch sends health requests to the upstream until ctx ends.
func (u *upstreamState) watch(ctx context.Context, url string) error {
	client := &http.Client{Timeout: healthTimeout}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	failures := 0
	for {
		switch {
		case answers(ctx, client, url):
			failures = 0
			u.seenByHealth(true)
		case ctx.Err() == nil:
			failures++
			if failures >= healthFailures {
				u.seenByHealth(false)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func answers(ctx context.Context, client *http.Client, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return true
}
