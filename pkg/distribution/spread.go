package distribution

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lentilflow/lentilflow/pkg/distribution/wire"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// outbox holds the roster changes that wait to be sent up, the newest one of
// each node.
type outbox struct {
	ready chan struct{}

	mu      sync.Mutex
	entries map[model.NodeID]model.Entry
	sending bool
}

func newOutbox() *outbox {
	return &outbox{ready: make(chan struct{}, 1), entries: make(map[model.NodeID]model.Entry)}
}

// keepNewest adds entries that wait to be sent; of each node the newest stays.
func keepNewest(waiting map[model.NodeID]model.Entry, entries []model.Entry) {
	for _, e := range entries {
		if old, ok := waiting[e.Node]; !ok || e.Newer(&old) {
			waiting[e.Node] = e
		}
	}
}

func (o *outbox) add(entries []model.Entry) {
	o.mu.Lock()
	keepNewest(o.entries, entries)
	o.mu.Unlock()
	wake(o.ready)
}

func (o *outbox) take() []model.Entry {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []model.Entry
	for _, e := range o.entries {
		out = append(out, e)
	}
	clear(o.entries)
	o.sending = len(out) > 0
	return out
}

func (o *outbox) sent() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sending = false
}

func (o *outbox) empty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.entries) == 0 && !o.sending
}

// spread passes roster changes on: up unless they came from the parent, and
// down to every child but the one they came from. The own entry goes
// everywhere, because a refutation answers the node that suspects.
func (r *Relay) spread(from model.NodeID, changes []model.Entry) {
	var own, others []model.Entry
	for _, e := range changes {
		if e.Node == r.self.Node {
			own = append(own, e)
		} else {
			others = append(others, e)
		}
	}
	if len(own) > 0 {
		r.up.add(own)
		r.hub.sendEntries("", own)
		if own[0].State >= model.Draining {
			go r.notifyCallers(own)
		}
	}
	if len(others) == 0 {
		return
	}
	if p := r.attached(); !p.open || p.entry.Node != from {
		r.up.add(others)
	}
	r.hub.sendEntries(from, others)
}

// notifyCallers tells the nodes that recently sent calls of the own departure,
// without waiting for the tree.
func (r *Relay) notifyCallers(own []model.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*r.cfg.Timing.Request)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(maxParallelCalls)
	t := r.tree()
	for i, id := range r.cfg.RecentCallers() {
		if i == maxDrainNotices {
			break
		}
		e, ok := t.Entry(id)
		if !ok || id == r.self.Node {
			continue
		}
		g.Go(func() error {
			// A lost notice is covered by the tree and by the refusal "draining".
			_ = r.postEntries(ctx, r.targetOf(&e), own)
			return nil
		})
	}
	_ = g.Wait()
}

func (r *Relay) postEntries(ctx context.Context, t target, entries []model.Entry) error {
	var out wire.EntriesAnswer
	return r.post(ctx, t, wire.Entries, wire.EntriesRequest{Node: r.self.Node, Entries: entries}, &out)
}

// runUp sends roster changes to the parent, and to other candidates while
// there is no parent.
func (r *Relay) runUp(ctx context.Context) {
	attempt := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.up.ready:
		}
		if !pause(ctx, r.cfg.Timing.Batch) {
			return
		}
		entries := r.up.take()
		if len(entries) == 0 {
			continue
		}
		if err := r.sendUp(ctx, entries, attempt); err == nil {
			attempt = 0
			r.up.sent()
			continue
		}
		attempt++
		r.up.add(entries)
		if !pause(ctx, fullJitter(attempt, reconnectBase, reconnectCap/2, newRand())) {
			return
		}
	}
}

// sendUp sends entries one step up. The top has nowhere to send them.
func (r *Relay) sendUp(ctx context.Context, entries []model.Entry, attempt int) error {
	if p := r.attached(); p.open && attempt < 2 {
		return r.postEntries(ctx, r.targetOf(&p.entry), entries)
	}
	candidates := r.tree().Candidates(r.self.Node, newRand())
	if len(candidates) == 0 {
		return nil
	}
	return r.postEntries(ctx, r.targetOf(&candidates[attempt%len(candidates)]), entries)
}

// Flush waits until announced changes have been sent, at most until ctx ends.
// A leaving node calls it after its last announcement.
func (r *Relay) Flush(ctx context.Context) {
	for !r.up.empty() && pause(ctx, 5*time.Millisecond) {
	}
	pause(ctx, 2*r.cfg.Timing.Batch) // the children's streams
}
