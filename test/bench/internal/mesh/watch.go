package mesh

import (
	"context"
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
	mesh   *Mesh
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu      sync.Mutex
	info    model.VersionInfo // of the highest version seen
	arrived map[model.NodeID][]arrival
}

// arrival is the first frame of a version from one node.
type arrival struct {
	version model.Version
	at      time.Time
}

// Watch starts to watch all live nodes.
func (m *Mesh) Watch() *Watch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watch{mesh: m, cancel: cancel, arrived: make(map[model.NodeID][]arrival)}
	for _, n := range m.Alive() {
		w.done.Go(func() {
			for ctx.Err() == nil {
				w.stream(ctx, n)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	return w
}

// Close ends the streams.
func (w *Watch) Close() {
	w.cancel()
	w.done.Wait()
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
	for frames := wire.NewFrames(resp.Body); ; {
		f, _, err := frames.Next()
		if err != nil {
			return
		}
		if f.Version == nil {
			continue
		}
		w.mu.Lock()
		w.arrived[n.ID] = append(w.arrived[n.ID], arrival{f.Version.Info.Number, time.Now()})
		if f.Version.Info.Number > w.info.Number {
			w.info = f.Version.Info
		}
		w.mu.Unlock()
	}
}

// Highest describes the highest version that any node has in force.
func (w *Watch) Highest() model.VersionInfo {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.info
}

// Await waits until every live node has version v or a higher one in force and
// returns the time at which the last one had.
func (w *Watch) Await(v model.Version, limit time.Duration) (last time.Time, err error) {
	for at := time.Now(); time.Since(at) < limit; time.Sleep(10 * time.Millisecond) {
		if last, err = w.last(v); err == nil {
			return last, nil
		}
	}
	return last, err
}

func (w *Watch) last(v model.Version) (last time.Time, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.mesh.Alive() {
		found := false
		for _, a := range w.arrived[n.ID] {
			if a.version >= v {
				found = true
				if a.at.After(last) {
					last = a.at
				}
				break
			}
		}
		if !found {
			return last, merry.Errorf("version %d is not in force on node %s", v, n.ID)
		}
	}
	return last, nil
}
