package distribution

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lentilflow/lentilflow/pkg/distribution/wire"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// seedRounds is the number of rounds after which a seed is asked as well, so
// that two groups that started apart find each other.
const seedRounds = 6

// rejoinAfter is the time without any exchange after which a node joins again
// through whatever it knows: its part of the tree may have died around it.
const rejoinAfter = 2 * isolationLimit

// While a part of the tree hears no publisher, its roots compare their rosters
// more often, with several nodes.
const (
	partitionedSync  = 4 // times as often
	partitionedPeers = 3 // nodes of other regions in a round
)

// runSync compares rosters and versions with other nodes.
func (r *Relay) runSync(ctx context.Context) {
	next := time.Now().Add(around(r.cfg.Timing.Sync))
	for round := 1; ; round++ {
		if !pauseOr(ctx, time.Until(next), r.syncNow) {
			return
		}
		if p := r.attached(); p.open && time.Now().Before(next) {
			r.syncWith(ctx, r.targetOf(&p.entry)) // asked for by the heartbeats
			if !pause(ctx, 5*r.cfg.Timing.Batch) {
				return
			}
			continue
		}
		period := r.cfg.Timing.Sync
		if r.partitioned(time.Now()) {
			period /= partitionedSync
		}
		next = time.Now().Add(around(period))
		if time.Since(time.Unix(0, r.contact.Load())) > rejoinAfter {
			r.join(ctx)
		}
		for _, e := range r.syncPeers() {
			r.syncWith(ctx, r.targetOf(&e))
		}
		if len(r.cfg.Seeds) > 0 && round%seedRounds == 0 {
			r.syncWith(ctx, target{address: r.cfg.Seeds[rand.IntN(len(r.cfg.Seeds))]})
		}
	}
}

// partitioned reports whether this node heads a part of the tree that has not heard
// of the publisher for some time.
func (r *Relay) partitioned(now time.Time) bool {
	return r.age(now) > rejoinAfter && !r.cfg.IsPublisher() && (r.isTop() || !r.attached().open)
}

// syncPeers returns a random node of the own region and, for a region root, a
// random root of another region. When all roots of a region die at once, no one
// there tells the other regions, and what they take for its roots is dead. A
// partitioned node therefore asks any nodes of other regions.
func (r *Relay) syncPeers() []model.Entry {
	partitioned, root := r.partitioned(time.Now()), r.tree().IsRegionRoot(r.self.Node)
	var near, far []model.Entry
	for _, e := range r.cfg.Roster.View().All() {
		switch {
		case e.Node == r.self.Node || e.State >= model.Draining:
		case e.Location.Region == r.self.Location.Region:
			near = append(near, e)
		case partitioned && e.State == model.Ready, root && !partitioned && r.tree().IsZoneRoot(e.Node):
			far = append(far, e)
		}
	}
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	count := 1
	if partitioned {
		count = partitionedPeers
	}
	out := far[:min(count, len(far))]
	if len(near) > 0 {
		out = append(out, near[rand.IntN(len(near))])
	}
	return out
}

// syncWith compares rosters with one node: digests first, then the entries of
// the buckets that differ, both ways.
func (r *Relay) syncWith(ctx context.Context, t target) {
	view := r.cfg.Roster.View()
	in := wire.SyncRequest{Node: r.self.Node, Digest: view.Digest(), Version: r.held().Number}
	var out wire.SyncAnswer
	if err := r.post(ctx, t, wire.Sync, in, &out); err != nil {
		return // another node is asked in the next round
	}
	r.versionSeenAt(out.Version, t)
	theirs, ok := wire.DecodeDigests(out.Buckets)
	if !ok {
		return // equal
	}
	differing := view.Digests().Differing(theirs)
	if len(differing) == 0 {
		return
	}
	r.metrics.sync.Inc()
	in.Buckets, in.Entries = differing, r.cfg.Roster.Entries(differing)
	out = wire.SyncAnswer{}
	if err := r.post(ctx, t, wire.Sync, in, &out); err != nil {
		return
	}
	r.mergeValid(t.node, out.Entries, time.Now())
}
