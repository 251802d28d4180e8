package distribution

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lentilflow/lentilflow/pkg/distribution/wire"
	"github.com/lentilflow/lentilflow/pkg/membership"
)

// sourceGrace is how long a root stays without a parent before it sends
// heartbeats of its own. It is well below the time after which children leave.
func (t Timing) sourceGrace() time.Duration { return t.Stale / 3 }

// runSource announces whether this node is the publisher and sends heartbeats
// while it is the source of a tree: periodically, and at once for a new version.
func (r *Relay) runSource(ctx context.Context) {
	var last time.Time
	nudged := false
	for ctx.Err() == nil {
		publisher := r.cfg.IsPublisher()
		r.cfg.Roster.SetPublisher(publisher)
		now := time.Now()
		if r.isSource(publisher, now) && (nudged || now.Sub(last) >= r.cfg.Timing.Beat) {
			r.emitBeat(publisher, now)
			last = now
		}
		t := time.NewTimer(r.cfg.Timing.Beat / 8)
		select {
		case <-ctx.Done():
			nudged = false
		case <-r.beatNow:
			nudged = true
		case <-t.C:
			nudged = false
		}
		t.Stop()
	}
}

func (r *Relay) isSource(publisher bool, now time.Time) bool {
	if !r.settled.Load() {
		return false
	}
	p := r.attached()
	parentless := now.Sub(p.since)
	if p.open {
		parentless = 0
	}
	return source(publisher, r.isTop(), r.tree().IsZoneRoot(r.self.Node), parentless, r.cfg.Timing.sourceGrace())
}

// emitBeat sends a heartbeat of this node's own. Only the publisher knows that
// its version is the newest; another source repeats what it last heard.
func (r *Relay) emitBeat(publisher bool, now time.Time) {
	held := r.held()
	r.mu.Lock()
	b := wire.BeatFrame{Sequence: max(r.lastBeat.Sequence+1, uint64(now.UnixMilli())), Version: held.Number}
	if publisher {
		b.AsOf = r.cfg.AsOf().UnixMilli()
		r.asOf.observe(&b, held)
	} else if !r.asOf.at.IsZero() {
		b.AsOf = r.asOf.at.UnixMilli()
	}
	r.lastBeat = b
	r.mu.Unlock()
	r.hub.sendBeat(b)
}

// rowRetry separates attempts to use the roster rows.
const rowRetry = time.Second

// rowScan separates looks at the rows of other zones while none is known.
const rowScan = 30 * time.Second

// runRows writes the roster row while this node is the zone root.
func (r *Relay) runRows(ctx context.Context) {
	if r.cfg.Table == nil {
		return
	}
	rows := membership.NewRows(r.cfg.Roster, r.cfg.Table)
	var scanned time.Time
	wait := rowRetry
	for pause(ctx, wait) {
		wait = rowRetry
		tctx, cancel := context.WithTimeout(ctx, r.cfg.Timing.Store)
		err := rows.Write(tctx, time.Now())
		if err == nil && len(r.tree().ZoneRoots()) == 1 && time.Since(scanned) >= rowScan {
			scanned = time.Now()
			err = rows.Read(tctx)
		}
		cancel()
		if err != nil {
			r.log.Info("roster row not written: " + err.Error())
			wait = rowRetry + time.Duration(rand.Int64N(int64(4*rowRetry)))
		}
	}
}
