package distribution

import (
	"context"
	"net/url"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lentilflow/lentilflow/pkg/distribution/wire"
	"github.com/lentilflow/lentilflow/pkg/membership"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// Guards against judging others when this node is the one in trouble.
const (
	// pauseLimit is the lateness of a look from which the process must have
	// been paused: its timeouts say nothing about others.
	pauseLimit = 2 * time.Second
	// isolationLimit is the time without any exchange from which a node that
	// watches several others takes itself for cut off.
	isolationLimit = 4 * time.Second
)

func (r *Relay) heard(id model.NodeID, generation uint64) {
	now := time.Now()
	r.touch(now)
	r.watchMu.Lock()
	defer r.watchMu.Unlock()
	r.watch.Heard(id, generation, now)
}

func (r *Relay) lost(id model.NodeID, generation uint64) {
	r.watchMu.Lock()
	defer r.watchMu.Unlock()
	r.watch.Lost(id, generation, time.Now())
}

// runWatch looks after the nodes that this one has to judge.
func (r *Relay) runWatch(ctx context.Context) {
	last := time.Now()
	for pause(ctx, r.cfg.Timing.Watch) {
		now := time.Now()
		if now.Sub(last) > r.cfg.Timing.Watch+pauseLimit {
			r.watchMu.Lock()
			r.watch = membership.NewWatch()
			r.watchMu.Unlock()
		}
		r.look(ctx, now)
		r.cfg.Roster.Expire()
		last = time.Now()
	}
}

// look probes the targets without a sign of life and announces verdicts.
func (r *Relay) look(ctx context.Context, now time.Time) {
	var attached model.NodeID
	if p := r.attached(); p.open {
		attached = p.entry.Node
	}
	targets := r.tree().Targets(r.self.Node, attached)
	r.watchMu.Lock()
	probes := r.watch.Plan(targets, now)
	r.watchMu.Unlock()
	r.probeAll(ctx, probes)
	if len(targets) > 1 && time.Since(time.Unix(0, r.contact.Load())) > isolationLimit {
		return
	}
	r.watchMu.Lock()
	verdicts := r.watch.Judge(targets, r.self.Location.Region, time.Now())
	r.watchMu.Unlock()
	for _, v := range verdicts {
		r.log.Info("node " + string(v.Node) + " is " + v.State.String())
		r.cfg.Roster.Mark(v.Node, v.Generation, v.State)
	}
}

func (r *Relay) probeAll(ctx context.Context, probes []model.Entry) {
	var g errgroup.Group
	g.SetLimit(maxParallelCalls)
	for _, e := range probes {
		g.Go(func() error {
			r.probe(ctx, e)
			return nil
		})
	}
	_ = g.Wait()
}

// probe asks a node for its short state. Only the generation that answers is
// alive.
func (r *Relay) probe(ctx context.Context, e model.Entry) {
	began := time.Now()
	brief, err := r.brief(ctx, r.targetOf(&e))
	took := time.Since(began)
	switch {
	case err == nil && brief.Node == e.Node && brief.Generation >= e.Generation:
		r.heard(e.Node, e.Generation)
		r.versionSeenAt(brief.Version, r.targetOf(&e))
		if e.State == model.Suspect && brief.Generation == e.Generation {
			r.remind(ctx, e)
		}
	case ctx.Err() == nil && took < 2*r.cfg.Timing.Request+pauseLimit:
		r.watchMu.Lock()
		r.watch.Failed(e.Node, e.Generation, time.Now())
		r.watchMu.Unlock()
	}
}

// remind sends a live node the suspicion about it, so that it refutes.
func (r *Relay) remind(ctx context.Context, e model.Entry) {
	_ = r.postEntries(ctx, r.targetOf(&e), []model.Entry{e}) // repeated by the next probe
}

func (r *Relay) brief(ctx context.Context, t target) (wire.Brief, error) {
	var out wire.Brief
	err := r.get(ctx, t, wire.State, url.Values{"brief": {"1"}}, &out)
	return out, err
}
