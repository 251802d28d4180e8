package faultproxy

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Conditions describe one direction of a link.
type Conditions struct {
	Latency   time.Duration // added in this direction only
	Bandwidth int           // bytes per second, 0 means no limit
	// Blackhole withholds bytes and leaves connections open. The bytes are
	// delivered when it is switched off.
	Blackhole bool
	// CutAfter resets a connection after it has carried this many bytes in this
	// direction, 0 means never. The last of these bytes may be lost.
	CutAfter int64
}

// Direction is one direction of a link. Several proxies may use the same
// Direction; their connections then share its bandwidth. Its methods may be
// called concurrently.
type Direction struct {
	mu        sync.Mutex
	current   Conditions
	changed   chan struct{} // closed when the conditions change
	limiter   *rate.Limiter
	delivered int64
}

// NewDirection returns a direction without faults.
func NewDirection() *Direction {
	return &Direction{changed: make(chan struct{}), limiter: rate.NewLimiter(rate.Inf, chunkSize)}
}

// Set changes the conditions of open and new connections.
func (d *Direction) Set(c Conditions) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current = c
	limit := rate.Inf
	if c.Bandwidth > 0 {
		limit = rate.Limit(c.Bandwidth)
	}
	d.limiter.SetLimit(limit)
	close(d.changed)
	d.changed = make(chan struct{})
}

// Bytes returns the number of bytes delivered in this direction, by all proxies
// that use it.
func (d *Direction) Bytes() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.delivered
}

func (d *Direction) conditions() (Conditions, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current, d.changed
}

func (d *Direction) addDelivered(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delivered += int64(n)
}

// waitBandwidth waits until the bandwidth limit permits n more bytes.
func (d *Direction) waitBandwidth(ctx context.Context, n int) error { return d.limiter.WaitN(ctx, n) }

// waitOpen waits until the direction is not a blackhole, and returns its
// conditions.
func (d *Direction) waitOpen(ctx context.Context) (Conditions, error) {
	for {
		c, changed := d.conditions()
		if !c.Blackhole {
			return c, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return c, ctx.Err()
		}
	}
}
