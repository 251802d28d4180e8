package distribution

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/lentilflow/lentilflow/pkg/distribution/wire"
	"github.com/lentilflow/lentilflow/pkg/membership"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// Register adds the handlers of the peer listener to mux.
func (r *Relay) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET "+wire.Stream.Path(), r.serveStream)
	mux.HandleFunc("GET "+wire.Version.Path(), r.serveVersion)
	mux.HandleFunc("GET "+wire.State.Path(), r.serveState)
	mux.HandleFunc("POST "+wire.Join.Path(), handle(r, wire.Join, r.answerJoin))
	mux.HandleFunc("POST "+wire.Beat.Path(), handle(r, wire.Beat, r.answerBeat))
	mux.HandleFunc("POST "+wire.Entries.Path(), handle(r, wire.Entries, r.answerEntries))
	mux.HandleFunc("POST "+wire.Sync.Path(), handle(r, wire.Sync, r.answerSync))
}

// reply is the status and body of an answer, and who asked.
type reply struct {
	status int
	body   any
	node   model.NodeID
}

// handle decodes a request, answers it and counts its bytes.
func handle[T any](r *Relay, k wire.Kind, answer func(in *T, now time.Time) reply) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, wire.MaxBody))
		if err != nil {
			http.Error(w, "request body could not be read", http.StatusBadRequest)
			return
		}
		var in T
		if err := wire.Unmarshal(body, req.Header.Get("Content-Encoding") == wire.Encoding, &in); err != nil {
			http.Error(w, "request body is not a "+string(k)+" message", http.StatusBadRequest)
			return
		}
		now := time.Now()
		r.touch(now)
		out := answer(&in, now)
		region := r.regionOf(out.node)
		r.count(k, received, region, len(body)+requestSize(req))
		r.answer(w, k, region, out.status, out.body)
	}
}

// answer writes a JSON body, compressed if it is large.
func (r *Relay) answer(w http.ResponseWriter, k wire.Kind, region model.Region, status int, body any) {
	data, compressed, err := wire.Marshal(body)
	if err != nil {
		http.Error(w, "answer could not be encoded", http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h["Date"] = nil // saves 37 bytes a message
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(data)))
	if compressed {
		h.Set("Content-Encoding", wire.Encoding)
	}
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", "1")
	}
	r.count(k, sent, region, len(data)+headerSize(h)+len("HTTP/1.1 200 OK\r\n\r\n"))
	w.WriteHeader(status)
	_, _ = w.Write(data) // the caller sees a short answer as an error
}

// answerJoin takes a node in and gives it the whole roster.
func (r *Relay) answerJoin(in *wire.JoinRequest, now time.Time) reply {
	select {
	case r.joins <- struct{}{}:
		defer func() { <-r.joins }()
	default:
		return reply{http.StatusServiceUnavailable, wire.Refusal{Candidates: r.someEntries()}, in.Entry.Node}
	}
	if err := wire.CheckEntry(&in.Entry, now); err != nil {
		return reply{http.StatusBadRequest, wire.Refusal{}, in.Entry.Node}
	}
	r.cfg.Roster.MergeFrom(in.Entry.Node, []model.Entry{in.Entry})
	return reply{http.StatusOK, wire.JoinAnswer{
		Node: r.self.Node, Entries: r.cfg.Roster.Entries(nil), Version: r.held().Number,
	}, in.Entry.Node}
}

func (r *Relay) someEntries() []model.Entry {
	all := r.cfg.Roster.View().All()
	out := make([]model.Entry, 0, maxAlternatives)
	for _, i := range newRand().Perm(len(all)) {
		if len(out) == maxAlternatives {
			break
		}
		out = append(out, all[i])
	}
	return out
}

// answerBeat grants a lease, unless the roster knows a newer process of the
// node.
func (r *Relay) answerBeat(in *wire.BeatRequest, now time.Time) reply {
	r.versionSeenAt(in.Version, r.known(in.Node))
	out := wire.BeatAnswer{Version: r.held().Number, Digest: r.cfg.Roster.View().Digest()}
	e, ok := r.cfg.Roster.Get(in.Node)
	switch {
	case !ok || e.Generation < in.Generation:
		out.Unknown = true
	case e.Generation > in.Generation:
		out.Entry = &e
		return reply{http.StatusOK, out, in.Node}
	case e.State == model.Suspect || e.State == model.Gone:
		out.Entry = &e
	}
	out.Lease = min(in.Lease, membership.LeaseDuration.Milliseconds())
	r.heard(in.Node, in.Generation)
	if c, ok := r.hub.get(in.Node); ok {
		c.report(in.Version)
	}
	return reply{http.StatusOK, out, in.Node}
}

func (r *Relay) answerEntries(in *wire.EntriesRequest, now time.Time) reply {
	return reply{http.StatusOK, wire.EntriesAnswer{Accepted: r.mergeValid(in.Node, in.Entries, now)}, in.Node}
}

// mergeValid merges the plausible entries and counts the others.
func (r *Relay) mergeValid(from model.NodeID, entries []model.Entry, now time.Time) int {
	entries, invalid := wire.ValidEntries(entries, now)
	if invalid > 0 {
		r.metrics.dropped.WithLabelValues(dropBadEntry).Add(float64(invalid))
	}
	if len(entries) == 0 {
		return 0
	}
	return len(r.cfg.Roster.MergeFrom(from, entries))
}

func (r *Relay) answerSync(in *wire.SyncRequest, now time.Time) reply {
	r.versionSeenAt(in.Version, r.known(in.Node))
	r.mergeValid(in.Node, in.Entries, now)
	view := r.cfg.Roster.View()
	out := wire.SyncAnswer{Digest: view.Digest(), Version: r.held().Number}
	switch {
	case in.Buckets != nil:
		out.Entries = r.cfg.Roster.Entries(in.Buckets)
	case in.Digest != out.Digest:
		out.Buckets = wire.EncodeDigests(view.Digests())
	}
	return reply{http.StatusOK, out, in.Node}
}

// serveVersion answers GET version: the frame that brings the asking node to
// the version in force, or 204 if it is there.
func (r *Relay) serveVersion(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	region := r.regionOf(model.NodeID(q.Get("node")))
	r.count(wire.Version, received, region, requestSize(req))
	held, err := parseHeld(q)
	if err != nil {
		http.Error(w, "have is not a version number", http.StatusBadRequest)
		return
	}
	active := r.cfg.Holder.Active()
	if active == nil || active.Info.Number <= held.Number {
		w.Header().Set(wire.VersionHeader, strconv.FormatUint(uint64(r.held().Number), 10))
		w.WriteHeader(http.StatusNoContent)
		return
	}
	f, err := r.frames.frame(active, held)
	if err != nil {
		http.Error(w, "version could not be encoded", http.StatusInternalServerError)
		return
	}
	r.answer(w, wire.Version, region, http.StatusOK, f)
}

// serveState answers GET state; with the parameter brief only what a probe
// needs.
func (r *Relay) serveState(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	region := r.regionOf(model.NodeID(q.Get("node")))
	r.count(wire.State, received, region, requestSize(req))
	r.touch(time.Now())
	if q.Has("brief") {
		r.answer(w, wire.State, region, http.StatusOK, wire.Brief{
			Node: r.self.Node, Generation: r.generation(), Version: r.held().Number, Settled: r.settled.Load(),
		})
		return
	}
	r.answer(w, wire.State, region, http.StatusOK, r.State())
}
