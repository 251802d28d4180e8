package gateway

import (
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/upstream"
)

// bootStatement is what a boot has stated about itself in a response. The local
// node of the upstream adds it to the response for the remote node, which sends it
// along with its next attempts: after a restart, the local node knows nothing of
// what its upstream has stated before.
type bootStatement struct {
	boot upstream.Boot // only ID and Start are set
	upstream.Statement
}

// notable reports whether the statement affects further requests.
func (s *bootStatement) notable() bool { return s.Limited || s.Leaving }

// String returns the content of Lentilflow-Upstream: the start of the boot, its
// rate limit or "-", 1 if it is leaving, and its ID, which may contain spaces.
func (s *bootStatement) String() string {
	limit := "-"
	if s.Limited {
		limit = strconv.FormatFloat(s.RateLimit, 'f', -1, 64)
	}
	return strings.Join([]string{s.boot.Start.String(), limit, flag(s.Leaving), s.boot.ID}, " ")
}

func parseBootStatement(text string) (s bootStatement, ok bool) {
	parts := strings.SplitN(text, " ", 4)
	if len(parts) != 4 || parts[3] == "" {
		return s, false
	}
	startedAt, err := strconv.ParseInt(parts[0], 10, 64)
	if err != nil {
		return s, false
	}
	if parts[1] != "-" {
		s.RateLimit, err = strconv.ParseFloat(parts[1], 64)
		if err != nil || !upstream.ValidRateLimit(s.RateLimit) {
			return s, false
		}
		s.Limited = true
	}
	s.Leaving = parts[2] == "1"
	s.boot = upstream.Boot{ID: parts[3], Start: upstream.StartedAt(startedAt)}
	return s, true
}

// remoteStatements holds the newest notable statement of each remote upstream, by
// the address of its node. It is safe for concurrent use; reads take no lock.
type remoteStatements struct {
	byAddress atomic.Pointer[map[string]remoteStatement]
	mu        sync.Mutex
}

type remoteStatement struct {
	bootStatement
	since time.Time // when the first response with this statement arrived
}

// get returns the statement of the upstream behind an address.
func (r *remoteStatements) get(address string) (remoteStatement, bool) {
	all := r.byAddress.Load()
	if all == nil {
		return remoteStatement{}, false
	}
	s, ok := (*all)[address]
	return s, ok
}

// anyLimited reports whether one of the upstreams states a rate limit.
func (r *remoteStatements) anyLimited(entries []model.UpstreamNode) bool {
	if r.byAddress.Load() == nil {
		return false
	}
	for i := range entries {
		if s, ok := r.get(entries[i].Address); ok && s.Limited {
			return true
		}
	}
	return false
}

// observe applies a response to a request that was sent at sentAt. text is its
// Lentilflow-Upstream field, "" if it has none. A response without a statement
// removes the last one only if its request was sent after that one was known,
// because responses may arrive in another order than they were sent in.
func (r *remoteStatements) observe(address, text string, sentAt time.Time) {
	old, known := r.get(address)
	s, ok := parseBootStatement(text)
	switch {
	case !ok && (!known || sentAt.Before(old.since)):
		return
	case ok && known && old.bootStatement == s:
		return
	}
	r.update(func(all map[string]remoteStatement) {
		if ok {
			all[address] = remoteStatement{bootStatement: s, since: time.Now()}
		} else {
			delete(all, address)
		}
	})
}

// retain removes the statements of all addresses for which used returns false.
func (r *remoteStatements) retain(used func(address string) bool) {
	if r.byAddress.Load() == nil {
		return
	}
	r.update(func(all map[string]remoteStatement) {
		for address := range all {
			if !used(address) {
				delete(all, address)
			}
		}
	})
}

// update replaces the map by a copy that change has changed.
func (r *remoteStatements) update(change func(map[string]remoteStatement)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := make(map[string]remoteStatement)
	if old := r.byAddress.Load(); old != nil {
		for address, s := range *old {
			next[address] = s
		}
	}
	change(next)
	if len(next) == 0 {
		r.byAddress.Store(nil)
		return
	}
	r.byAddress.Store(&next)
}
