package distribution

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/lentilflow/lentilflow/pkg/distribution/wire"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// chunkOverhead is the framing of one HTTP/1.1 chunk.
const chunkOverhead = 7

func streamQuery(generation uint64, held model.VersionInfo) url.Values {
	q := versionQuery(held)
	q.Set("generation", strconv.FormatUint(generation, 10))
	return q
}

func versionQuery(held model.VersionInfo) url.Values {
	q := url.Values{}
	q.Set("have", strconv.FormatUint(uint64(held.Number), 10))
	if held.Digest != "" {
		q.Set("digest", held.Digest)
	}
	return q
}

// parseHeld reads the version that the asking node holds.
func parseHeld(q url.Values) (model.VersionInfo, error) {
	n, err := strconv.ParseUint(q.Get("have"), 10, 64)
	return model.VersionInfo{Number: model.Version(n), Digest: q.Get("digest")}, err
}

// serveStream answers GET stream.
func (r *Relay) serveStream(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	held, err := parseHeld(q)
	generation, gerr := strconv.ParseUint(q.Get("generation"), 10, 64)
	node := model.NodeID(q.Get("node"))
	if err != nil || gerr != nil || node == "" {
		http.Error(w, "stream needs node, generation and have", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	c := &child{
		node: node, generation: generation, region: r.regionOf(node), cancel: cancel,
		ready: make(chan struct{}, 1), entries: make(map[model.NodeID]model.Entry), reported: held.Number,
	}
	if !r.maySend() || !r.hub.admit(c, r.isProperChild) {
		r.refuse(w, wire.Stream, node)
		return
	}
	r.log.Debug("child attached: " + string(node))
	r.heard(node, generation)
	err = r.feed(ctx, w, c, held)
	if r.hub.remove(c) {
		r.lost(node, generation)
	}
	if err != nil {
		r.log.Debug("child " + string(node) + " lost: " + err.Error())
	}
}

// maySend reports whether this node accepts children: not before it knows
// which version it may hold, and not after its last announcement. A draining
// node still does, because it may be the publisher.
func (r *Relay) maySend() bool {
	return r.settled.Load() && r.cfg.Roster.Self().State != model.Gone
}

func (r *Relay) isProperChild(id model.NodeID) bool {
	parent, ok := r.tree().Parent(id)
	return ok && parent.Node == r.self.Node
}

// refuse names other nodes: own children, which have this node's versions.
func (r *Relay) refuse(w http.ResponseWriter, k wire.Kind, asking model.NodeID) {
	r.metrics.refusals.Inc()
	var out wire.Refusal
	t := r.tree()
	for _, c := range r.hub.list() {
		if e, ok := t.Entry(c.node); ok && c.node != asking && len(out.Candidates) < maxAlternatives {
			out.Candidates = append(out.Candidates, e)
		}
	}
	r.answer(w, k, r.regionOf(asking), http.StatusServiceUnavailable, out)
}

// feed writes frames to a child until ctx ends or a write fails.
func (r *Relay) feed(ctx context.Context, w http.ResponseWriter, c *child, held model.VersionInfo) error {
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.Header()["Date"] = nil
	w.WriteHeader(http.StatusOK)
	s := &sender{relay: r, child: c, w: w, control: http.NewResponseController(w), held: held}
	r.mu.Lock()
	if beat := r.lastBeat; beat.Sequence > 0 {
		c.mu.Lock()
		if c.beat == nil {
			c.beat = &beat
		}
		c.mu.Unlock()
	}
	r.mu.Unlock()
	for {
		if err := s.sendPending(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-c.ready:
		}
		if !pause(ctx, r.cfg.Timing.Batch/4) {
			return nil
		}
	}
}

// sender writes frames to one child.
type sender struct {
	relay   *Relay
	child   *child
	w       http.ResponseWriter
	control *http.ResponseController
	held    model.VersionInfo // by the child, once everything written arrives
}

// sendPending writes the version before the heartbeat that speaks of it.
func (s *sender) sendPending() error {
	if err := s.control.SetWriteDeadline(time.Now().Add(s.relay.cfg.Timing.WriteTimeout)); err != nil {
		return err
	}
	if active := s.relay.cfg.Holder.Active(); active != nil && active.Info.Number > s.held.Number {
		f, err := s.relay.frames.frame(active, s.held)
		if err != nil {
			return err
		}
		if err := s.write(wire.Frame{Version: f}); err != nil {
			return err
		}
		s.held = active.Info
	}
	entries, beat := s.child.take()
	if len(entries) > 0 {
		if err := s.write(wire.Frame{Entries: entries}); err != nil {
			return err
		}
	}
	if beat != nil {
		if err := s.write(wire.Frame{Beat: beat}); err != nil {
			return err
		}
	}
	return s.control.Flush()
}

func (s *sender) write(f wire.Frame) error {
	line, err := wire.EncodeFrame(f)
	if err != nil {
		return err
	}
	n, err := s.w.Write(line)
	s.relay.count(frameKind(&f), sent, s.child.region, n+chunkOverhead)
	return err
}

// frameKind is the metric label of a frame.
func frameKind(f *wire.Frame) wire.Kind {
	switch {
	case f.Version != nil:
		return wire.Version
	case f.Beat != nil:
		return wire.Stream // kind beat counts lease renewals
	default:
		return wire.Entries
	}
}
