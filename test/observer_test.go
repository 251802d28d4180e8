package test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/lentilflow/lentilflow/pkg/distribution"
	"github.com/lentilflow/lentilflow/pkg/distribution/wire"
	"github.com/lentilflow/lentilflow/pkg/model"
)

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
	if response.StatusCode != http.StatusOK {
		return s, fmt.Errorf("state of %s: %s", n.id, response.Status)
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
