package mesh

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/pkg/distribution/wire"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// Watch records when each version comes into force on each node. It holds one
// distribution stream to every node, which sends a version as soon as the node
// has swapped it in, so that nothing is polled.
type Watch struct {
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu      sync.Mutex
	info    map[model.Version]model.VersionInfo
	arrived map[model.Version]map[model.NodeID]time.Time
	changed chan struct{}
}

// Watch starts to watch all live nodes.
func (m *Mesh) Watch(ctx context.Context) *Watch {
	ctx, cancel := context.WithCancel(ctx)
	w := &Watch{
		cancel:  cancel,
		info:    make(map[model.Version]model.VersionInfo),
		arrived: make(map[model.Version]map[model.NodeID]time.Time),
		changed: make(chan struct{}),
	}
	for _, n := range m.Alive() {
		w.done.Go(func() { w.follow(ctx, n) })
	}
	return w
}

// Close ends the streams.
func (w *Watch) Close() {
	w.cancel()
	w.done.Wait()
}

func (w *Watch) follow(ctx context.Context, n *Node) {
	for ctx.Err() == nil {
		w.stream(ctx, n)
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (w *Watch) stream(ctx context.Context, n *Node) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Peer+wire.Stream.Path()+"?node=watch-"+string(n.ID)+"&generation=1&have=0", nil)
	if err != nil {
		return
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	lines := bufio.NewReaderSize(resp.Body, 64<<10)
	for {
		line, err := lines.ReadBytes('\n')
		at := time.Now()
		if err != nil {
			return
		}
		var f wire.Frame
		if json.Unmarshal(line, &f) == nil && f.Version != nil {
			w.record(n.ID, f.Version.Info, at)
		}
	}
}

func (w *Watch) record(id model.NodeID, info model.VersionInfo, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.info[info.Number] = info
	if w.arrived[info.Number] == nil {
		w.arrived[info.Number] = make(map[model.NodeID]time.Time)
	}
	if _, ok := w.arrived[info.Number][id]; !ok {
		w.arrived[info.Number][id] = at
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

// Await waits until every live node has version v or a higher one in force.
// It returns the time of acceptance and that of the last node's first frame
// with v or a higher version.
func (w *Watch) Await(ctx context.Context, m *Mesh, v model.Version) (accepted, last time.Time, err error) {
	for {
		w.mu.Lock()
		changed := w.changed
		missing := model.NodeID("")
		last = time.Time{}
		for _, n := range m.Alive() {
			at, ok := w.first(v, n.ID)
			if !ok {
				missing = n.ID
				break
			}
			if at.After(last) {
				last = at
			}
		}
		accepted = w.info[v].AcceptedAt
		w.mu.Unlock()
		if missing == "" {
			return accepted, last, nil
		}
		select {
		case <-ctx.Done():
			return accepted, last, merry.Errorf("version %d is not in force on node %s", v, missing)
		case <-changed:
		case <-time.After(time.Second): // nodes may have died
		}
	}
}

func (w *Watch) first(v model.Version, id model.NodeID) (at time.Time, ok bool) {
	for number, nodes := range w.arrived {
		t, has := nodes[id]
		if number >= v && has && (!ok || t.Before(at)) {
			at, ok = t, true
		}
	}
	return at, ok
}

// Accepted waits until any node has version v in force.
func (w *Watch) Accepted(ctx context.Context, v model.Version) error {
	for {
		w.mu.Lock()
		changed, n := w.changed, len(w.arrived[v])
		w.mu.Unlock()
		if n > 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return merry.Errorf("version %d was not accepted", v)
		case <-changed:
		}
	}
}

// Highest returns the highest version seen.
func (w *Watch) Highest() model.Version {
	w.mu.Lock()
	defer w.mu.Unlock()
	var v model.Version
	for number := range w.info {
		v = max(v, number)
	}
	return v
}
