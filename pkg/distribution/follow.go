package distribution

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/distribution/wire"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// rolePoll is how often a node looks whether it has become or ceased to be the
// top, or has another proper parent.
const rolePoll = 250 * time.Millisecond

// opened is a stream whose answer has begun.
type opened struct {
	entry  model.Entry
	resp   *http.Response
	cancel context.CancelCauseFunc
	ctx    context.Context // of this stream
	run    context.Context // of the relay
}

// streamEnd is the cause with which a stream's context is cancelled.
type streamEnd endCause

func (e streamEnd) Error() string { return string(e) }

// search is the state of the search for a parent.
type search struct {
	tried map[model.NodeID]bool // in this round
	round int                   // rounds in which every candidate failed
	extra []model.Entry         // alternatives that a full node named
}

// next returns the node to try: an alternative, or the first candidate that
// was not tried in this round. Each candidate has its turn before the delays
// grow.
func (s *search) next(candidates []model.Entry, rnd *rand.Rand) (model.Entry, bool) {
	for len(s.extra) > 0 {
		i := rnd.IntN(len(s.extra))
		e := s.extra[i]
		s.extra = append(s.extra[:i:i], s.extra[i+1:]...)
		if !s.tried[e.Node] {
			return s.try(e), true
		}
	}
	for _, e := range candidates {
		if !s.tried[e.Node] {
			return s.try(e), true
		}
	}
	s.tried = nil
	s.round++
	return model.Entry{}, false
}

func (s *search) try(e model.Entry) model.Entry {
	if s.tried == nil {
		s.tried = make(map[model.NodeID]bool)
	}
	s.tried[e.Node] = true
	return e
}

// runFollow keeps a stream from a parent open.
func (r *Relay) runFollow(ctx context.Context) {
	for !r.settled.Load() {
		if !pause(ctx, 20*time.Millisecond) {
			return
		}
	}
	var s search
	for ctx.Err() == nil {
		if r.isTop() {
			s = search{}
			pause(ctx, rolePoll/5)
			continue
		}
		o, err := r.openNext(ctx, &s)
		if err == nil {
			r.followFrom(o, &s)
		}
		pause(ctx, fullJitter(s.round, reconnectBase, reconnectCap, newRand()))
	}
}

// followFrom consumes a stream and those that succeed it.
func (r *Relay) followFrom(o *opened, s *search) {
	for o != nil {
		began := time.Now()
		cause, successor := r.consume(o)
		r.metrics.reconnects.WithLabelValues(string(cause)).Inc()
		r.log.Debug("stream ended", zap.String("parent", string(o.entry.Node)), zap.String("cause", string(cause)))
		if time.Since(began) >= 2*r.cfg.Timing.Stale {
			*s = search{}
			if cause == endStale {
				s.try(o.entry)
			}
		}
		if o = successor; o != nil && r.isTop() {
			o.cancel(streamEnd(endTop))
			o.resp.Body.Close()
			return
		}
	}
}

// openNext opens the stream of the next candidate.
func (r *Relay) openNext(ctx context.Context, s *search) (*opened, error) {
	rnd := newRand()
	e, ok := s.next(r.tree().Candidates(r.self.Node, rnd), rnd)
	if !ok {
		return nil, ErrPeer
	}
	o, err := r.open(ctx, e)
	if full, ok := isFull(err); ok {
		r.metrics.reconnects.WithLabelValues(string(endRefused)).Inc()
		s.extra, _ = wire.ValidEntries(full.candidates, time.Now())
	} else if err != nil {
		r.metrics.reconnects.WithLabelValues(string(endFailed)).Inc()
	}
	return o, err
}

// open opens the stream of one node, within the request limit.
func (r *Relay) open(ctx context.Context, e model.Entry) (*opened, error) {
	if e.Node == r.self.Node {
		return nil, ErrPeer
	}
	sctx, cancel := context.WithCancelCause(ctx)
	guard := time.AfterFunc(2*r.cfg.Timing.Request, func() { cancel(streamEnd(endFailed)) })
	resp, err := r.openStream(sctx, r.targetOf(&e))
	if !guard.Stop() || err != nil {
		cancel(streamEnd(endFailed))
		if err == nil {
			resp.Body.Close()
			err = ErrPeer
		}
		return nil, err
	}
	return &opened{entry: e, resp: resp, cancel: cancel, ctx: sctx, run: ctx}, nil
}

// consume reads a stream to its end and returns the cause, and the stream of
// the proper parent if the node returns to it.
func (r *Relay) consume(o *opened) (endCause, *opened) {
	defer o.resp.Body.Close()
	r.setParent(o.entry, true)
	defer r.setParent(o.entry, false)
	wake(r.renewNow) // the first heartbeat compares the rosters
	wake(r.up.ready)
	stale := time.AfterFunc(r.cfg.Timing.Stale, func() { o.cancel(streamEnd(endStale)) })
	defer stale.Stop()
	successor := make(chan *opened, 1)
	go func() { successor <- r.superviseParent(o) }()
	cause := r.readFrames(o, stale)
	o.cancel(streamEnd(cause))
	if cause != endReturned && cause != endTop {
		r.lost(o.entry.Node, o.entry.Generation)
	}
	return cause, <-successor
}

func (r *Relay) setParent(e model.Entry, open bool) {
	r.mu.Lock()
	changed := open && r.parent.entry.Node != e.Node
	r.parent = attachment{open: open, entry: e, since: time.Now()}
	r.mu.Unlock()
	if changed {
		r.metrics.parentChanges.Inc()
	}
}

// readFrames handles frames until the stream ends.
func (r *Relay) readFrames(o *opened, stale *time.Timer) endCause {
	in := wire.NewFrames(o.resp.Body)
	fresh := freshness{since: time.Now()}
	for {
		f, size, err := in.Next()
		if err != nil {
			return streamCause(o.ctx, err)
		}
		now := time.Now()
		r.count(frameKind(&f), received, o.entry.Location.Region, size+chunkOverhead)
		if f.Version != nil && r.applyFrame(f.Version) {
			go func() { _ = r.fetchFrom(o.ctx, r.targetOf(&o.entry), model.VersionInfo{}, 0) }()
		}
		if len(f.Entries) > 0 {
			r.mergeValid(o.entry.Node, f.Entries, now)
		}
		if f.Beat == nil {
			continue
		}
		if !fresh.accept(f.Beat, now) {
			r.metrics.dropped.WithLabelValues(dropBeat).Inc()
			continue
		}
		stale.Reset(r.cfg.Timing.Stale)
		r.takeBeat(*f.Beat, now)
	}
}

// streamCause names the end of a stream.
func streamCause(ctx context.Context, err error) endCause {
	var end streamEnd
	if errors.As(context.Cause(ctx), &end) {
		return endCause(end)
	}
	switch {
	case errors.Is(err, wire.ErrFrame):
		return endDamaged
	case errors.Is(err, io.ErrUnexpectedEOF):
		return endCut
	default:
		return endClosed
	}
}

// superviseParent ends the stream when the node becomes the top, and moves to
// the proper parent once that is due. The new stream is opened before the old
// one ends, so that a parent that cannot be reached costs nothing.
func (r *Relay) superviseParent(o *opened) *opened {
	var since time.Time
	wait := r.returnDelay(o.entry)
	for pause(o.ctx, rolePoll) {
		if r.isTop() {
			o.cancel(streamEnd(endTop))
			return nil
		}
		t := r.tree()
		proper, ok := t.Parent(r.self.Node)
		if !ok || proper.Node == o.entry.Node || !t.Serves(&proper) {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = time.Now()
		}
		if time.Since(since) < wait {
			continue
		}
		if next, err := r.open(o.run, proper); err == nil {
			o.cancel(streamEnd(endReturned))
			return next
		}
		since, wait = time.Now(), 2*wait
	}
	return nil
}

// returnDelay is how long a node stays with another parent than its proper
// one. Nodes inside a zone are in no hurry, because each departure of an old
// node shifts the positions of all younger ones.
func (r *Relay) returnDelay(parent model.Entry) time.Duration {
	d := r.cfg.Timing.Return
	if r.tree().IsZoneRoot(r.self.Node) || parent.Location.Region != r.self.Location.Region {
		d = r.cfg.Timing.ReturnRoot
	}
	return d + time.Duration(rand.Int64N(int64(2*d)))
}
