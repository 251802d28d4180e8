package distribution

import (
	"maps"
	"slices"
	"time"

	"github.com/lentilflow/lentilflow/pkg/distribution/wire"
	"github.com/lentilflow/lentilflow/pkg/membership"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// run is one tick of a running node: what the loops of Relay do.
func (s *sim) run(n *simNode) {
	if n.slept {
		n.slept = false
		n.watch = membership.NewWatch()
	}
	if len(n.tree().ZoneRoots()) == 1 || s.now.Sub(n.contact) > rejoinAfter {
		s.join(n)
	}
	if !n.settled {
		s.start(n)
	}
	if n.settled {
		s.source(n)
		s.follow(n)
	}
	s.serve(n)
	s.sendUp(n)
	s.renew(n)
	s.look(n)
	s.sync(n)
	if n.settled && n.hint > n.held().Number && s.variant != noFetch {
		from := n.hintFrom
		if n.hintFrom = ""; from == "" {
			from = n.parent
		}
		if c := n.tree().Candidates(n.id, s.rnd); from == "" || s.chance(30) && len(c) > 0 {
			if len(c) == 0 {
				return
			}
			from = c[s.rnd.IntN(len(c))].Node
		}
		s.fetch(n, s.byID(from), n.held())
	}
}

// join goes through any running node, as through a seed or a roster row.
func (s *sim) join(n *simNode) {
	for _, seed := range s.running() {
		if effect, ok := s.call(n, seed); effect {
			s.merge(seed, n.id, []model.Entry{n.core.Own()})
			if ok {
				s.merge(n, seed.id, seed.core.Entries(nil))
			}
			return
		}
	}
}

func (s *sim) start(n *simNode) {
	if s.storeUp {
		if len(s.accepted) > 0 {
			_ = n.holder.Apply(s.accepted[len(s.accepted)-1])
			n.frames.remember(n.holder.Active())
		}
		n.settled = true
		return
	}
	answered := make(map[model.NodeID]bool)
	var best *simNode
	for range 4 {
		sources := n.tree().Enough(n.id, n.loc.AvailabilityZone, answered)
		if sources.Missing == "" || s.variant == startFromAnyNode && best != nil {
			if best != nil && best.held().Number > 0 {
				if s.fetch(n, best, model.VersionInfo{}); n.held().Number < best.held().Number {
					return
				}
			}
			n.settled = true
			return
		}
		for _, e := range sources.Ask {
			if o := s.byID(e.Node); o != nil {
				_, ok := s.call(n, o)
				answered[o.id] = ok && o.settled
				if answered[o.id] {
					if best == nil || o.held().Number > best.held().Number {
						best = o
					}
					if s.variant == startFromAnyNode {
						break
					}
				}
			}
		}
	}
}

func (s *sim) isPublisher(n *simNode) bool { return s.publisher >= 0 && s.nodes[s.publisher] == n }

func (s *sim) isTop(n *simNode) bool {
	top, _ := n.tree().Top()
	return s.isPublisher(n) || top == n.id
}

func (s *sim) source(n *simNode) {
	publisher := s.isPublisher(n)
	if n.core.Own().Publisher != publisher {
		s.spread(n, "", n.core.Update(func(e *model.Entry) { e.Publisher = publisher }, s.now))
	}
	parentless := s.now.Sub(n.since)
	if n.parent != "" {
		parentless = 0
	}
	if !source(publisher, s.isTop(n), n.tree().IsZoneRoot(n.id), parentless, 2*time.Second) || s.now.Sub(n.lastBeat) < 2*time.Second {
		return
	}
	n.lastBeat = s.now
	n.beat = wire.BeatFrame{Sequence: uint64(s.now.UnixMilli()), Version: n.held().Number}
	if publisher && s.storeUp {
		n.beat.AsOf = s.now.UnixMilli()
		n.asOf.observe(&n.beat, n.held())
	} else if !n.asOf.at.IsZero() {
		n.beat.AsOf = n.asOf.at.UnixMilli()
	}
	s.beatDown(n)
}

func (s *sim) beatDown(n *simNode) {
	for _, id := range n.childIDs() {
		c, beat := n.children[id], n.beat
		s.send(simMessage{to: s.byID(id), process: c.process, from: n.id, stream: c.stream, frame: wire.Frame{Beat: &beat}})
	}
}

func (n *simNode) childIDs() []model.NodeID { return slices.Sorted(maps.Keys(n.children)) }

// hear takes the version number in a message of o as a hint.
func (n *simNode) hear(o *simNode) {
	if v := o.held().Number; v > n.held().Number {
		n.hint, n.hintFrom = max(n.hint, v), o.id
	}
}

func (n *simNode) detach(now time.Time) { n.parent, n.since = "", now }

// follow keeps a parent, as Relay.runFollow does.
func (s *sim) follow(n *simNode) {
	if s.isTop(n) {
		n.detach(s.now)
		n.search = search{}
		return
	}
	if p := s.byID(n.parent); p != nil {
		proper, _ := n.tree().Parent(n.id)
		if proper.Node == n.parent || !n.tree().Serves(&proper) {
			n.improper = s.now
		}
		switch c := p.children[n.id]; {
		case !p.alive || c == nil || c.stream != n.stream: // closed
			n.detach(s.now)
		case s.now.Sub(n.fresh.since) >= 6*time.Second:
			n.detach(s.now)
			n.search = search{}
			n.search.try(model.Entry{Node: p.id})
		case s.now.Sub(n.improper) > 10*time.Second:
			n.improper = s.now
			s.attach(n, proper)
		}
	}
	if n.parent == "" {
		if e, ok := n.search.next(n.tree().Candidates(n.id, s.rnd), s.rnd); ok {
			s.attach(n, e)
		}
	}
}

func (s *sim) attach(n *simNode, e model.Entry) {
	p := s.byID(e.Node)
	effect, ok := s.call(n, p)
	if !effect || !p.settled {
		return
	}
	n.stream++
	p.children[n.id] = &simChild{stream: n.stream, process: n.process, held: n.held(), entries: make(map[model.NodeID]model.Entry)}
	p.watch.Heard(n.id, n.core.Own().Generation, s.now)
	if ok {
		n.parent, n.since, n.improper = p.id, s.now, s.now
		n.fresh = freshness{since: s.now}
		n.lastRenew = time.Time{}
		if s.variant != noSync {
			n.lastSync = time.Time{}
		}
	}
}

// serve writes to the children's streams.
func (s *sim) serve(n *simNode) {
	for _, id := range n.childIDs() {
		c, o := n.children[id], s.byID(id)
		if !o.alive || o.process != c.process || o.parent != n.id || o.stream != c.stream {
			n.watch.Lost(id, o.core.Own().Generation, s.now)
			delete(n.children, id)
			continue
		}
		m := simMessage{to: o, process: c.process, from: n.id, stream: c.stream}
		if a := n.holder.Active(); a != nil && a.Info.Number > c.held.Number {
			held := c.held
			if s.variant == noVersionOrder {
				held = model.VersionInfo{} // whole texts apply to any version
			}
			f, err := n.frames.frame(a, held)
			if err != nil {
				s.fail("frame: %v", err)
				return
			}
			m.frame = wire.Frame{Version: f}
			s.send(m)
			c.held = a.Info
		}
		if len(c.entries) > 0 {
			m.frame = wire.Frame{}
			for _, e := range c.entries {
				m.frame.Entries = append(m.frame.Entries, e)
			}
			clear(c.entries)
			s.send(m)
		}
	}
}

func (s *sim) sendUp(n *simNode) {
	to := n.parent
	if to == "" {
		c := n.tree().Candidates(n.id, s.rnd)
		if len(c) == 0 {
			clear(n.up)
			return
		}
		to = c[s.rnd.IntN(len(c))].Node
	}
	p := s.byID(to)
	if len(n.up) == 0 {
		return
	}
	if effect, ok := s.call(n, p); effect {
		for _, e := range n.up {
			s.merge(p, n.id, []model.Entry{e})
		}
		if ok {
			clear(n.up)
		}
	}
}

func (s *sim) renew(n *simNode) {
	if s.now.Sub(n.lastRenew) < membership.RenewInterval {
		return
	}
	n.lastRenew = s.now
	if !n.lease.IsZero() && !s.now.Before(n.lease) && !n.regenerated {
		n.regenerated = true
		s.spread(n, "", n.core.Regenerate(s.now))
	}
	targets := []model.NodeID{n.parent}
	if g, ok := n.tree().Grantor(n.id); ok && (s.isTop(n) || n.tree().IsZoneRoot(n.id)) {
		targets = append(targets, g.Node)
	}
	for _, e := range slices.Concat(n.tree().Candidates(n.id, s.rnd), n.tree().ZoneRoots()) {
		targets = append(targets, e.Node)
	}
	for _, id := range targets {
		p := s.byID(id)
		effect, _ := s.call(n, p)
		if !effect {
			continue
		}
		p.hear(n)
		own := n.core.Own()
		e, known := p.core.Get(n.id)
		if !known || e.Generation < own.Generation {
			n.up[n.id] = own
		} else if e.State == model.Suspect || e.State == model.Gone || e.Generation > own.Generation {
			s.merge(n, p.id, []model.Entry{e})
		}
		if known && e.Generation > own.Generation {
			continue
		}
		p.watch.Heard(n.id, own.Generation, s.now)
		s.send(simMessage{to: n, process: n.process, from: p.id, renewal: &simRenewal{sent: s.now, grantor: p.id}})
		if p.view != nil && p.view.Digest() != n.view.Digest() && s.variant != noSync && s.chance(50) {
			n.lastSync = time.Time{}
		}
		return
	}
}

// look watches others, as Relay.look does.
func (s *sim) look(n *simNode) {
	targets := n.tree().Targets(n.id, n.parent)
	for _, e := range n.watch.Plan(targets, s.now) {
		p := s.byID(e.Node)
		if _, ok := s.call(n, p); ok && p.core.Own().Generation >= e.Generation {
			n.watch.Heard(e.Node, e.Generation, s.now)
			if e.State == model.Suspect {
				s.merge(p, n.id, []model.Entry{e})
			}
		} else {
			n.watch.Failed(e.Node, e.Generation, s.now)
		}
	}
	if len(targets) > 1 && s.now.Sub(n.contact) > isolationLimit {
		return
	}
	for _, v := range n.watch.Judge(targets, n.loc.Region, s.now) {
		o := s.byID(v.Node)
		if v.State == model.Gone && o.alive && o.grantor == n.id && o.core.Own().Generation == v.Generation && s.now.Before(o.lease) {
			s.fail("%s takes %s for gone, which holds its lease for %v", n.id, o.id, o.lease.Sub(s.now))
		}
		s.mark(n, v)
	}
	n.core.Expire(s.now)
}

func (s *sim) sync(n *simNode) {
	if s.variant == noSync || s.now.Sub(n.lastSync) < 10*time.Second {
		return
	}
	var peers []*simNode
	for _, e := range n.view.All() {
		if e.Node != n.id && (e.Location.Region == n.loc.Region || n.view.Tree().IsRegionRoot(n.id)) {
			peers = append(peers, s.byID(e.Node))
		}
	}
	if p := s.byID(n.parent); p != nil && n.lastSync.IsZero() {
		peers = []*simNode{p}
	}
	n.lastSync = s.now
	if len(peers) == 0 {
		return
	}
	p := peers[s.rnd.IntN(len(peers))]
	effect, ok := s.call(n, p)
	if !effect {
		return
	}
	p.tree()
	buckets := n.view.Digests().Differing(p.view.Digests())
	s.merge(p, n.id, n.core.Entries(buckets))
	p.hear(n)
	if ok {
		n.hear(p)
		s.merge(n, p.id, p.core.Entries(buckets))
	}
}
