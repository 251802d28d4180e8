package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/routing"
)

// servePeer runs a call that another node took from its caller.
func (p *Proxy) servePeer(w http.ResponseWriter, r *http.Request) {
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	s := p.snapshot()
	j, seen, ok := peerJob(r)
	if !ok {
		p.refusePeer(w, s, j, refuse(model.BadRequest, model.NotRun, "the headers of the calling node cannot be read"))
		return
	}
	p.hint(s, seen)
	if ref := p.peerRefused(s); ref != nil {
		p.refusePeer(w, s, j, ref)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	j.body = newBody(r, p.cfg.Limits.Body, nil)
	if r.ContentLength != 0 {
		// Without it net/http reads the whole request before the answer.
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
	a, ref := p.runUpstream(ctx, j)
	if ref != nil {
		p.refusePeer(w, s, j, ref)
		return
	}
	complete := false
	defer func() { a.end(complete) }()
	h := w.Header()
	h[HeaderVersion] = []string{formatVersion(s)}
	h[HeaderBusy] = []string{strconv.FormatInt(a.busy.Microseconds(), 10)}
	if err := stream(w, a.resp, j.deadline, nil); err != nil {
		panic(http.ErrAbortHandler)
	}
	complete = true
}

// peerRefused returns the refusal when this node takes no calls of peers.
func (p *Proxy) peerRefused(s *routing.Snapshot) *refusal {
	switch {
	case p.refusing.Load():
		return refuse(model.NodeDraining, model.NotRun, "")
	case s == nil:
		return refuse(model.NoConfiguration, model.NotRun, "")
	case p.cfg.Upstream == "":
		return refuse(model.NoUpstream, model.NotRun, "the node has no upstream")
	case p.cfg.Membership != nil && !p.cfg.Membership.MayServePeers():
		return refuse(model.NoUpstream, model.NotRun, "the node has lost its lease")
	}
	return nil
}

// refusePeer sends a refusal that the calling node recognises.
func (p *Proxy) refusePeer(w http.ResponseWriter, s *routing.Snapshot, j *job, ref *refusal) {
	p.metrics.peer[ref.reason].Inc()
	if ref.reason == model.CallerGone {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	ref.mark(h)
	h[HeaderVersion] = []string{formatVersion(s)}
	if j.body != nil {
		answerEarly(w, j.in, j.body)
	}
	_ = ref.details(versionOf(s), j.rule).Write(w)
}

// answerEarly lets an answer go out before the request body has arrived, for
// which net/http would wait. It ends the connection when the rest of the body
// is long, unknown or broken.
func answerEarly(w http.ResponseWriter, r *http.Request, b *body) {
	if r.ProtoMajor != 1 || b.ended() {
		return
	}
	_ = http.NewResponseController(w).EnableFullDuplex()
	if n, chunked := b.length(); chunked || n > holdLimit || b.fault() != nil {
		w.Header()["Connection"] = []string{"close"}
	}
}

func formatVersion(s *routing.Snapshot) string {
	return strconv.FormatUint(uint64(versionOf(s)), 10)
}

// peerJob reads the headers that the calling node has set.
func peerJob(r *http.Request) (j *job, seen model.Version, ok bool) {
	h := r.Header
	n := numbers{ok: true}
	rank := n.read(h.Get(HeaderRank), 0, int64(model.MaxRank))
	left := n.read(h.Get(HeaderDeadline), 0, int64(24*time.Hour/time.Millisecond))
	depth := n.read(h.Get(HeaderDepth), 0, model.MaxDepth)
	worth := n.read(h.Get(HeaderWorth), 1, 1<<20)
	target := n.read(h.Get(HeaderTarget), 0, int64(time.Hour/time.Microsecond))
	version := n.read(h.Get(HeaderVersion), 0, 1<<62)
	j = &job{
		in: r, header: h, rule: h.Get(HeaderRule), rank: model.Rank(rank), worth: int(worth),
		target: time.Duration(target) * time.Microsecond, depth: int(depth),
		deadline: time.Now().Add(time.Duration(left) * time.Millisecond),
	}
	stripHop(h)
	stripOwn(h)
	return j, model.Version(version), n.ok && j.rule != ""
}

// numbers reads several numbers and remembers whether one was bad.
type numbers struct{ ok bool }

func (n *numbers) read(s string, low, high int64) int64 {
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil || v < low || v > high {
		n.ok = false
		return low
	}
	return v
}
