package distribution

import (
	"context"
	"errors"
	"time"

	"github.com/lentilflow/lentilflow/pkg/delta"
	"github.com/lentilflow/lentilflow/pkg/distribution/wire"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/rules"
)

// textOf returns the whole text of a frame, given the text held.
func textOf(f *wire.VersionFrame, held []byte) ([]byte, error) {
	if len(f.Full) > 0 {
		return delta.Decompress(f.Full, rules.MaxSize)
	}
	return delta.Apply(held, f.Delta)
}

// applyFrame brings the version of a frame into force. It reports whether the
// whole text has to be requested.
func (r *Relay) applyFrame(f *wire.VersionFrame) (needFull bool) {
	r.VersionSeen(f.Info.Number)
	v := judgeFrame(r.held(), f)
	if v != frameApplies {
		r.metrics.dropped.WithLabelValues(string(v)).Inc()
		return v == frameNotBased || v == frameEmpty
	}
	var held []byte
	if a := r.cfg.Holder.Active(); a != nil {
		held = a.Text
	}
	text, err := textOf(f, held)
	if err == nil {
		err = r.cfg.Holder.Apply(model.VersionedText{Info: f.Info, Text: text})
	}
	if errors.Is(err, ErrOlder) {
		return false // a newer version came by another way meanwhile
	}
	r.setApplyError(err)
	if err != nil {
		r.metrics.dropped.WithLabelValues(dropDamaged).Inc()
		r.log.Warn("version not applied: " + err.Error())
	}
	return err != nil && !errors.Is(err, ErrRefused) && len(f.Full) == 0
}

// takeBeat passes on a newer heartbeat of the parent.
func (r *Relay) takeBeat(b wire.BeatFrame, now time.Time) {
	r.VersionSeen(b.Version) // the frame or a request to the parent brings it
	r.mu.Lock()
	r.lastBeat = b
	r.asOf.observe(&b, r.held())
	r.mu.Unlock()
	r.hub.sendBeat(b)
	r.touch(now)
}

// runVersions announces each version that comes into force to the children.
func (r *Relay) runVersions(ctx context.Context) {
	for {
		changed := r.cfg.Holder.Changed()
		if a := r.cfg.Holder.Active(); a != nil {
			r.frames.remember(a)
			r.mu.Lock()
			r.asOf.raise(a.Info.AcceptedAt)
			r.mu.Unlock()
			r.hub.wakeAll()
			wake(r.beatNow)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// Limits of the requests that one hint of a higher version causes.
const (
	hintGrace    = 100 * time.Millisecond // the frame is probably on its way
	hintAttempts = 6
)

// runFetch asks for versions that hints speak of and no frame brings.
func (r *Relay) runFetch(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hinted:
		}
		if !r.settled.Load() {
			continue // the start-up read decides first
		}
		for attempt := 0; attempt < hintAttempts && r.behind(); attempt++ {
			if !pause(ctx, hintGrace+fullJitter(attempt, reconnectBase, reconnectCap, newRand())) {
				return
			}
			if r.behind() {
				r.fetch(ctx, attempt)
			}
		}
		r.hint.Store(uint64(r.held().Number)) // heartbeats repeat a true hint
	}
}

func (r *Relay) behind() bool { return model.Version(r.hint.Load()) > r.held().Number }

// fetch asks the node that the hint came from, then the parent, then others.
func (r *Relay) fetch(ctx context.Context, attempt int) {
	r.mu.Lock()
	t := r.hintFrom
	r.hintFrom = target{}
	p := r.parent
	r.mu.Unlock()
	if t.address == "" && p.open && attempt < 3 {
		t = r.targetOf(&p.entry)
	}
	if t.address == "" {
		candidates := r.tree().Candidates(r.self.Node, newRand())
		if len(candidates) == 0 {
			candidates = r.tree().ZoneRoots()
		}
		if len(candidates) == 0 {
			return
		}
		t = r.targetOf(&candidates[attempt%len(candidates)])
	}
	if err := r.fetchFrom(ctx, t, r.held(), 0); err != nil {
		r.log.Debug("version request failed: " + err.Error())
	}
}

// fetchFrom requests a newer version from one node and applies it if its
// number is atLeast; a delta that does not apply is followed by a request for
// the whole text.
func (r *Relay) fetchFrom(ctx context.Context, t target, held model.VersionInfo, atLeast model.Version) error {
	var f wire.VersionFrame
	if err := r.get(ctx, t, wire.Version, versionQuery(held), &f); err != nil {
		return err
	}
	if f.Info.Number == 0 || f.Info.Number < atLeast {
		return nil // it has nothing newer
	}
	if r.applyFrame(&f) && held.Number > 0 {
		return r.fetchFrom(ctx, t, model.VersionInfo{}, atLeast)
	}
	return nil
}
