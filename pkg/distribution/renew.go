package distribution

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lentilflow/lentilflow/pkg/distribution/wire"
	"github.com/lentilflow/lentilflow/pkg/membership"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// renewAttempts is the number of candidates that a node without a parent asks
// for a lease in one round.
const renewAttempts = 3

// renewal is the state of the renewal loop.
type renewal struct {
	regenerated bool // since the lease lapsed
	differing   int  // heartbeats in a row whose answer had another digest
	parent      model.NodeID
}

// runRenew renews the own lease.
func (r *Relay) runRenew(ctx context.Context) {
	var s renewal
	for {
		r.renewOnce(ctx, &s)
		if !pauseOr(ctx, around(r.cfg.Timing.Renew), r.renewNow) {
			return
		}
	}
}

// renewOnce asks for a lease. A node whose lease has lapsed asks with a new
// generation, because others may have taken it for gone.
func (r *Relay) renewOnce(ctx context.Context, s *renewal) {
	lease := r.cfg.Roster.Lease()
	if lease.Ever && !lease.Held && !s.regenerated {
		s.regenerated = true
		r.metrics.losses.Inc()
		r.log.Warn("lease has lapsed; returning with a new generation")
		r.cfg.Roster.Regenerate()
	}
	r.rootHeard.Store(false)
	if r.renewAny(ctx, s) {
		s.regenerated = false
		return
	}
	ex := membership.Exemption{
		OtherLive:     len(r.cfg.Roster.View().All()) - 1,
		Root:          r.tree().IsZoneRoot(r.self.Node),
		RootReachable: r.rootHeard.Load(),
	}
	if ctx.Err() == nil && r.settled.Load() && ex.Exempt() {
		r.cfg.Roster.Renewed(time.Now(), membership.LeaseDuration)
		r.metrics.exemptions.Inc()
		s.regenerated = false
	}
}

// renewAny asks the parent, then the grantor of a root or other candidates,
// and at last every other root.
func (r *Relay) renewAny(ctx context.Context, s *renewal) bool {
	t := r.tree()
	if p := r.attached(); p.open {
		if r.renewAt(ctx, p.entry, s) {
			return true
		}
	}
	if g, ok := t.Grantor(r.self.Node); ok && (r.isTop() || t.IsZoneRoot(r.self.Node)) {
		if r.renewAt(ctx, g, s) {
			return true
		}
	}
	for i, e := range t.Candidates(r.self.Node, newRand()) {
		if i == renewAttempts || ctx.Err() != nil {
			break
		}
		if r.renewAt(ctx, e, s) {
			return true
		}
	}
	return (r.isTop() || t.IsZoneRoot(r.self.Node)) && r.renewAtRoots(ctx, t.ZoneRoots(), s)
}

// renewAtRoots asks all other roots at once.
func (r *Relay) renewAtRoots(ctx context.Context, roots []model.Entry, s *renewal) bool {
	results := make([]bool, len(roots))
	var g errgroup.Group
	for i, e := range roots {
		if e.Node == r.self.Node {
			continue
		}
		g.Go(func() error {
			results[i] = r.renewAt(ctx, e, &renewal{})
			return nil
		})
	}
	_ = g.Wait()
	for _, ok := range results {
		if ok {
			return true
		}
	}
	return false
}

// renewAt sends one heartbeat. The lease counts from before it was sent.
func (r *Relay) renewAt(ctx context.Context, e model.Entry, s *renewal) bool {
	sentAt := time.Now()
	digest := r.cfg.Roster.View().Digest()
	in := wire.BeatRequest{
		Node: r.self.Node, Generation: r.generation(), Version: r.held().Number,
		Digest: digest, Lease: membership.LeaseDuration.Milliseconds(),
	}
	var out wire.BeatAnswer
	if err := r.post(ctx, r.targetOf(&e), wire.Beat, in, &out); err != nil {
		return false
	}
	if r.tree().IsZoneRoot(e.Node) {
		r.rootHeard.Store(true)
	}
	r.versionSeenAt(out.Version, r.targetOf(&e))
	r.heard(e.Node, e.Generation)
	if out.Unknown {
		r.up.add([]model.Entry{r.cfg.Roster.Self()})
	}
	if out.Entry != nil && out.Entry.Node == r.self.Node {
		r.cfg.Roster.MergeFrom(e.Node, []model.Entry{*out.Entry}) // refutes
	}
	if out.Lease <= 0 {
		return false
	}
	r.compare(s, e, out.Digest == digest)
	r.cfg.Roster.Renewed(sentAt, time.Duration(out.Lease)*time.Millisecond)
	r.metrics.renewals.Inc()
	return true
}

// compare asks for a comparison of the rosters after the first heartbeat to
// a parent, and when two answers in a row had another digest; one may be due
// to changes on their way.
func (r *Relay) compare(s *renewal, e model.Entry, equal bool) {
	first := s.parent != e.Node
	s.parent = e.Node
	if equal {
		s.differing = 0
		return
	}
	if s.differing++; first || s.differing >= 2 {
		s.differing = 0
		wake(r.syncNow)
	}
}
