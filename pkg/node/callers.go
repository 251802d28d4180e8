package node

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/proxy"
)

// Nodes whose last call is older are not told of a drain directly, because
// they learn of it through the tree before they are likely to call again.
const callerMemory = 30 * time.Second

// maxCallers bounds the memory for calling nodes; there are 2,800 nodes.
const maxCallers = 4096

// callers remembers which nodes recently sent calls here.
type callers struct {
	last    sync.Map // model.NodeID to *atomic.Int64: Unix nanoseconds
	size    atomic.Int64
	cleaned atomic.Int64 // Unix nanoseconds of the last cleaning when full
}

// watch notes the calling node of every request and passes it on.
func (c *callers) watch(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if origin := r.Header.Get(proxy.HeaderOrigin); origin != "" {
			c.note(model.NodeID(origin), time.Now())
		}
		next.ServeHTTP(w, r)
	})
}

func (c *callers) note(id model.NodeID, now time.Time) {
	if known, ok := c.last.Load(id); ok {
		known.(*atomic.Int64).Store(now.UnixNano())
		return
	}
	if c.size.Load() >= maxCallers && !c.makeRoom(now) {
		return
	}
	at := new(atomic.Int64)
	at.Store(now.UnixNano())
	if _, loaded := c.last.LoadOrStore(id, at); !loaded {
		c.size.Add(1)
	}
}

// makeRoom forgets old callers, at most once a second because it looks at all
// of them, and reports whether there is room.
func (c *callers) makeRoom(now time.Time) bool {
	last := c.cleaned.Load()
	if now.UnixNano()-last < int64(time.Second) || !c.cleaned.CompareAndSwap(last, now.UnixNano()) {
		return false
	}
	c.forget(now)
	return c.size.Load() < maxCallers
}

func (c *callers) forget(now time.Time) {
	c.last.Range(func(id, at any) bool {
		if now.Sub(time.Unix(0, at.(*atomic.Int64).Load())) > callerMemory {
			c.last.Delete(id)
			c.size.Add(-1)
		}
		return true
	})
}

// recent returns the nodes that sent calls within callerMemory, the latest
// first.
func (c *callers) recent() []model.NodeID {
	c.forget(time.Now())
	type caller struct {
		id model.NodeID
		at int64
	}
	var all []caller
	c.last.Range(func(id, at any) bool {
		all = append(all, caller{id.(model.NodeID), at.(*atomic.Int64).Load()})
		return true
	})
	slices.SortFunc(all, func(a, b caller) int { return cmp.Compare(b.at, a.at) })
	ids := make([]model.NodeID, len(all))
	for i, one := range all {
		ids[i] = one.id
	}
	return ids
}
