package test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/lentilflow/lentilflow/pkg/distribution"
	"github.com/lentilflow/lentilflow/pkg/distribution/wire"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// states asks the nodes for their states at once. Nodes without an answer are
// left out.
func (c *cluster) states(nodes []*node) map[*node]state {
	var mu sync.Mutex
	var all sync.WaitGroup
	states := make(map[*node]state, len(nodes))
	for _, n := range nodes {
		all.Go(func() {
			if s, err := c.observer.state(context.Background(), n); err == nil {
				mu.Lock()
				defer mu.Unlock()
				states[n] = s
			}
		})
	}
	all.Wait()
	return states
}

// each returns the first complaint about the state of a node.
func (c *cluster) each(nodes []*node, complaint func(s state) string) string {
	states := c.states(nodes)
	for _, n := range nodes {
		s, ok := states[n]
		if !ok {
			return n.id + " gives no state"
		}
		if text := complaint(s); text != "" {
			return n.id + ": " + text
		}
	}
	return ""
}

// awaitRosters waits until every node knows at least count entries of a state.
func (c *cluster) awaitRosters(of model.EntryState, count int, limit time.Duration) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("%d entries are %s", count, of), limit, func() string {
		return c.each(c.nodes, func(s state) string {
			if s.Roster[of.String()] < count {
				return fmt.Sprintf("roster %v", s.Roster)
			}
			return ""
		})
	})
}

// of returns the nodes for which keep is true.
func (c *cluster) of(keep func(n *node) bool) []*node {
	return slices.DeleteFunc(slices.Clone(c.nodes), func(n *node) bool { return !keep(n) })
}

// without returns all nodes but those that are gone.
func (c *cluster) without(gone []*node) []*node {
	return c.of(func(n *node) bool { return !slices.Contains(gone, n) })
}

// publisher returns the node that says it is the publisher, other than the
// nodes in without.
func (c *cluster) publisher(limit time.Duration, without ...*node) *node {
	c.t.Helper()
	var found *node
	c.eventually("a publisher", limit, func() string {
		for n, s := range c.states(c.without(without)) {
			if s.Publisher {
				found = n
				return ""
			}
		}
		return "no node says that it is the publisher"
	})
	return found
}

// roots returns the nodes that have no parent in their own availability zone.
func (c *cluster) roots() []*node {
	states := c.states(c.nodes)
	return c.of(func(n *node) bool {
		return !slices.ContainsFunc(c.nodes, func(p *node) bool {
			return p.id == string(states[n].Parent) && p.zone == n.zone
		})
	})
}

// oldest returns the node that started first.
func (c *cluster) oldest() *node {
	states := c.states(c.nodes)
	return slices.MinFunc(c.nodes, func(a, b *node) int {
		return cmp.Or(cmp.Compare(states[a].Generation, states[b].Generation), cmp.Compare(a.id, b.id))
	})
}

// state is what a node says about itself.
type state = distribution.State

const (
	observeInterval = 100 * time.Millisecond
	stateTimeout    = 2 * time.Second
	maxStateBytes   = 1 << 20
)

// observer polls the state of every node and records each node that reports
// an older version than it reported before, also after a restart (invariant
// I1). Version 0 means that a started process has none yet.
type observer struct {
	nodes  []*node
	client *http.Client
	stop   context.CancelFunc
	ended  sync.WaitGroup

	mu      sync.Mutex
	highest map[string]model.Version
	digests map[model.Version]string
	faults  []string
}

func observe(nodes []*node) *observer {
	ctx, cancel := context.WithCancel(context.Background())
	o := &observer{
		nodes: nodes, client: &http.Client{Timeout: stateTimeout}, stop: cancel,
		highest: make(map[string]model.Version), digests: make(map[model.Version]string),
	}
	for _, n := range nodes {
		o.ended.Go(func() { o.follow(ctx, n) })
	}
	return o
}

func (o *observer) follow(ctx context.Context, n *node) {
	tick := time.NewTicker(observeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if s, err := o.state(ctx, n); err == nil {
				o.record(n, s.Info)
			}
		}
	}
}

func (o *observer) record(n *node, v model.VersionInfo) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if v.Number == 0 {
		return
	}
	if v.Number < o.highest[n.id] {
		o.faults = append(o.faults, fmt.Sprintf("%s reports version %d after version %d", n.id, v.Number, o.highest[n.id]))
	}
	o.highest[n.id] = max(v.Number, o.highest[n.id])
	if d, ok := o.digests[v.Number]; ok && d != v.Digest {
		o.faults = append(o.faults, fmt.Sprintf("%s reports version %d with digest %.12s, another node %.12s", n.id, v.Number, v.Digest, d))
	}
	o.digests[v.Number] = v.Digest
}

// state asks a node for its state.
func (o *observer) state(ctx context.Context, n *node) (state, error) {
	var s state
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.address(peerPort)+wire.State.Path(), nil)
	if err != nil {
		return s, err
	}
	response, err := o.client.Do(request)
	if err != nil {
		return s, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxStateBytes))
	if err != nil {
		return s, err
	}
	return s, wire.Unmarshal(body, response.Header.Get("Content-Encoding") == wire.Encoding, &s)
}

// end stops polling and returns what was recorded.
func (o *observer) end() []string {
	o.stop()
	o.ended.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.faults
}
