package distribution

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lentilflow/lentilflow/pkg/distribution/wire"
	"github.com/lentilflow/lentilflow/pkg/membership"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/platform"
)

// Keys of the publisher's rows and objects.
const (
	headRow       = "head"
	versionObject = "versions/"
)

// Limits of one round of joining and asking.
const (
	joinAttempts = 4
	askAtOnce    = 12
	askRounds    = 8
)

// runStart joins the overlay and decides which version the process starts
// with. Until then it takes no version and accepts no children.
func (r *Relay) runStart(ctx context.Context) {
	joined := false
	var g errgroup.Group
	g.Go(func() error {
		joined = r.join(ctx)
		return nil
	})
	floor, ok := r.startFromStore(ctx)
	_ = g.Wait()
	for attempt := 0; !ok && ctx.Err() == nil; attempt++ {
		if ok = r.startFromPeers(ctx, floor); ok {
			break
		}
		if !pause(ctx, fullJitter(attempt, reconnectBase, reconnectCap, newRand())) {
			return
		}
		joined = r.join(ctx) || joined
		var head model.Version
		head, ok = r.startFromStore(ctx)
		floor = max(floor, head)
	}
	if ctx.Err() != nil {
		return
	}
	r.settle()
	for attempt := 0; !joined && ctx.Err() == nil; attempt++ {
		pause(ctx, fullJitter(attempt, reconnectBase, reconnectCap, newRand()))
		joined = r.join(ctx)
	}
}

func (r *Relay) settle() {
	r.setStarting("")
	r.settled.Store(true)
	r.log.Info(fmt.Sprintf("started with version %d", r.held().Number))
	wake(r.renewNow)
}

// join reads the roster row and joins through one live entry or seed. It
// reports whether there is nothing left to join.
func (r *Relay) join(ctx context.Context) bool {
	if r.cfg.Table != nil && len(r.cfg.Roster.View().All()) == 1 {
		tctx, cancel := context.WithTimeout(ctx, r.cfg.Timing.Store)
		if err := membership.NewRows(r.cfg.Roster, r.cfg.Table).Read(tctx); err != nil {
			r.log.Info("roster rows not read: " + err.Error())
		}
		cancel()
	}
	targets := r.joinTargets()
	for i, t := range targets {
		if i == 2*joinAttempts || ctx.Err() != nil {
			break
		}
		var out wire.JoinAnswer
		if err := r.post(ctx, t, wire.Join, wire.JoinRequest{Entry: r.cfg.Roster.Self()}, &out); err != nil {
			continue
		}
		if out.Node == r.self.Node {
			continue // a seed of its own
		}
		r.mergeValid(out.Node, out.Entries, time.Now())
		r.versionSeenAt(out.Version, t)
		return true
	}
	return len(targets) == 0
}

// joinTargets returns some known nodes, those of the own zone first, and the
// seeds.
func (r *Relay) joinTargets() []target {
	var near, far, seeds []target
	for _, e := range r.cfg.Roster.View().All() {
		switch {
		case e.Node == r.self.Node || e.State >= model.Draining:
		case e.Location.AvailabilityZone == r.self.Location.AvailabilityZone:
			near = append(near, r.targetOf(&e))
		default:
			far = append(far, r.targetOf(&e))
		}
	}
	for _, address := range r.cfg.Seeds {
		if address != r.self.Address {
			seeds = append(seeds, target{address: address})
		}
	}
	var out []target
	for _, list := range [][]target{near, far, seeds} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		out = append(out, list[:min(len(list), joinAttempts)]...)
	}
	return out
}

// startFromStore takes the version of the head row, which is authoritative. It
// returns the number of that version, also when its text cannot be read.
func (r *Relay) startFromStore(ctx context.Context) (model.Version, bool) {
	if r.cfg.Table == nil {
		return 0, false
	}
	r.setStarting("the store has not answered")
	tctx, cancel := context.WithTimeout(ctx, r.cfg.Timing.Store)
	defer cancel()
	read := time.Now()
	row, err := r.cfg.Table.Get(tctx, headRow)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, true // no version has been accepted yet
	}
	var info model.VersionInfo
	if err == nil {
		err = json.Unmarshal(row.Value, &info)
	}
	if err != nil {
		r.log.Info("head row not read: " + err.Error())
		return 0, false
	}
	if !r.takeHead(ctx, info) {
		r.setStarting(fmt.Sprintf("the text of version %d cannot be read", info.Number))
		return info.Number, false
	}
	r.mu.Lock()
	r.asOf.raise(read)
	r.mu.Unlock()
	return info.Number, true
}

// takeHead gets the text of the head version from the object store, or that
// version or a newer one from other nodes.
func (r *Relay) takeHead(ctx context.Context, info model.VersionInfo) bool {
	if r.cfg.Objects != nil {
		octx, cancel := context.WithTimeout(ctx, r.cfg.Timing.Store)
		obj, err := r.cfg.Objects.Get(octx, versionObject+info.Digest)
		cancel()
		if err == nil {
			err = r.cfg.Holder.Apply(model.VersionedText{Info: info, Text: obj.Body})
			r.setApplyError(err)
		}
		if err != nil {
			r.log.Info("version object not used: " + err.Error())
		}
	}
	for i, t := range r.joinTargets() {
		if r.held().Number >= info.Number || i == joinAttempts {
			break
		}
		_ = r.fetchFrom(ctx, t, model.VersionInfo{}, info.Number) // the next node may have it
	}
	return r.held().Number >= info.Number
}

// startFromPeers takes the highest version of enough other nodes, see
// membership.Tree.Enough, which must not be below floor.
func (r *Relay) startFromPeers(ctx context.Context, floor model.Version) bool {
	versions := make(map[model.NodeID]model.Version)
	answered := make(map[model.NodeID]bool)
	for round := 0; round < askRounds && ctx.Err() == nil; round++ {
		s := r.tree().Enough(r.self.Node, r.self.Location.AvailabilityZone, answered)
		if s.Missing == "" {
			return r.takeHighest(ctx, versions, floor)
		}
		r.setStarting("the store does not answer and " + s.Missing)
		if r.ask(ctx, s.Ask, answered, versions) == 0 {
			return false
		}
	}
	return false
}

// ask requests the short state of some nodes and returns about how many it
// learned something new. A node that is starting itself does not count as an
// answer.
func (r *Relay) ask(ctx context.Context, from []model.Entry, answered map[model.NodeID]bool, versions map[model.NodeID]model.Version) int {
	if len(from) > 1 {
		rest := from[1:]
		rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	}
	var mu sync.Mutex
	var g errgroup.Group
	n := 0
	for _, e := range from[:min(len(from), askAtOnce)] {
		g.Go(func() error {
			b, err := r.brief(ctx, r.targetOf(&e))
			mu.Lock()
			defer mu.Unlock()
			if err != nil || b.Node != e.Node || !b.Settled {
				if _, again := answered[e.Node]; !again {
					answered[e.Node] = false
					n++
				}
				return nil
			}
			answered[e.Node], versions[e.Node] = true, b.Version
			n++
			return nil
		})
	}
	_ = g.Wait()
	return n
}

// takeHighest fetches the highest version that was reported, or the stated one
// if that is higher.
func (r *Relay) takeHighest(ctx context.Context, versions map[model.NodeID]model.Version, highest model.Version) bool {
	for _, v := range versions {
		highest = max(highest, v)
	}
	for id, v := range versions {
		if r.held().Number >= highest {
			break
		}
		e, ok := r.tree().Entry(id)
		if v < highest || !ok {
			continue
		}
		if err := r.fetchFrom(ctx, r.targetOf(&e), model.VersionInfo{}, highest); err != nil {
			r.log.Info("version not fetched at start: " + err.Error())
		}
	}
	if r.held().Number < highest {
		r.setStarting(fmt.Sprintf("version %d cannot be fetched", highest))
		return false
	}
	return true
}
