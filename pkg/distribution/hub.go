package distribution

import (
	"context"
	"sync"

	"github.com/lentilflow/lentilflow/pkg/distribution/wire"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// hub holds the open streams to children.
type hub struct {
	relay    *Relay
	mu       sync.Mutex
	children map[model.NodeID]*child
}

// child is one open stream. What waits to be sent is kept by meaning, not as a
// queue, so a slow child costs at most one roster and one heartbeat.
type child struct {
	node       model.NodeID
	generation uint64
	region     model.Region
	cancel     context.CancelFunc
	ready      chan struct{}

	mu       sync.Mutex
	entries  map[model.NodeID]model.Entry
	beat     *wire.BeatFrame
	reported model.Version // by the child's heartbeats
}

func newHub(r *Relay) *hub { return &hub{relay: r, children: make(map[model.NodeID]*child)} }

func (h *hub) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.children)
}

// admit adds a child unless there is no room. A newer stream of the same node
// replaces the older one. A child by position displaces one that is not.
func (h *hub) admit(c *child, proper func(model.NodeID) bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old, ok := h.children[c.node]; ok {
		if old.generation > c.generation {
			return false
		}
		old.cancel()
	} else if len(h.children) >= maxChildren && !h.displace(c, proper) {
		return false
	}
	h.children[c.node] = c
	return true
}

func (h *hub) displace(c *child, proper func(model.NodeID) bool) bool {
	if !proper(c.node) {
		return false
	}
	for id, other := range h.children {
		if !proper(id) {
			other.cancel()
			delete(h.children, id)
			return true
		}
	}
	return false
}

// remove takes c out and reports whether it was still the node's stream.
func (h *hub) remove(c *child) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.children[c.node] != c {
		return false
	}
	delete(h.children, c.node)
	return true
}

func (h *hub) list() []*child {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]*child, 0, len(h.children))
	for _, c := range h.children {
		out = append(out, c)
	}
	return out
}

func (h *hub) get(id model.NodeID) (*child, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c, ok := h.children[id]
	return c, ok
}

// sendEntries queues roster changes for every child but from.
func (h *hub) sendEntries(from model.NodeID, entries []model.Entry) {
	for _, c := range h.list() {
		if c.node != from {
			c.addEntries(entries)
		}
	}
}

func (h *hub) sendBeat(b wire.BeatFrame) {
	for _, c := range h.list() {
		c.mu.Lock()
		c.beat = &b
		c.mu.Unlock()
		wake(c.ready)
	}
}

func (h *hub) wakeAll() {
	for _, c := range h.list() {
		wake(c.ready)
	}
}

func (h *hub) closeAll() {
	for _, c := range h.list() {
		c.cancel()
	}
}

func (c *child) addEntries(entries []model.Entry) {
	c.mu.Lock()
	keepNewest(c.entries, entries)
	c.mu.Unlock()
	wake(c.ready)
}

// take returns and clears what waits to be sent.
func (c *child) take() ([]model.Entry, *wire.BeatFrame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var entries []model.Entry
	for _, e := range c.entries {
		entries = append(entries, e)
	}
	clear(c.entries)
	beat := c.beat
	c.beat = nil
	return entries, beat
}

func (c *child) report(v model.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reported = v
}

func (c *child) version() model.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reported
}
