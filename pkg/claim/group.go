package claim

import (
	"context"
	"sync"
	"time"
)

// Limits of one group. The platform accepts transactions of 8 MiB; values are
// base64 on the way, so 4 MiB of them fit.
const (
	maxGroupSize  = 64
	maxGroupBytes = 4 << 20
)

// group collects operations for a short time and settles them together.
type group struct {
	window  time.Duration
	timeout time.Duration
	limit   int // operations, 0 stands for maxGroupSize
	settle  func(ctx context.Context, ops []*operation)

	mu    sync.Mutex
	open  []*operation
	bytes int
	// batch numbers the open group, so that the timer of a group that was
	// sent early does not cut the next one short.
	batch uint64
}

// submit adds o to the open group. The first operation starts the window; a
// full group is sent at once.
func (g *group) submit(o *operation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.bytes+len(o.value) > maxGroupBytes {
		g.sendLocked()
	}
	g.open = append(g.open, o)
	g.bytes += len(o.value)
	if len(g.open) >= maxGroupSize || len(g.open) == g.limit {
		g.sendLocked()
		return
	}
	if len(g.open) == 1 {
		batch := g.batch
		time.AfterFunc(g.window, func() { g.send(batch) })
	}
}

func (g *group) send(batch uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.batch == batch {
		g.sendLocked()
	}
}

// sendLocked settles the open group. The group has its own timeout: a caller
// that leaves must not make the outcome of the others unknown.
func (g *group) sendLocked() {
	if len(g.open) == 0 {
		return
	}
	ops := g.open
	g.open, g.bytes = nil, 0
	g.batch++
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), g.timeout)
		defer cancel()
		g.settle(ctx, ops)
	}()
}
