package gateway

import (
	"sync"
	"sync/atomic"

	"github.com/lentilflow/lentilflow/pkg/retry"
)

const (
	// budgetShare is the part of the permitted ratio that a node spends. What
	// it leaves covers the calls that repeated runs make, which count too:
	// 0.3 of the retries are reruns, and each makes about as many calls of
	// another service as that has requests of its own.
	budgetShare = 0.75
	// reserveShare is the part of the permitted extra retries that all nodes
	// together may spend at once.
	reserveShare = 0.7
	// minReserve lets each node make a retry now and then.
	minReserve = 1
)

// Budgets holds the retry budgets of a node, one for each service. All nodes
// share what the platform permits in parts that need no agreement.
type Budgets struct {
	mu        sync.Mutex
	ratio     float64
	extra     float64
	nodes     int
	byService atomic.Pointer[map[string]*retry.Budget]
}

// NewBudgets returns budgets for a permitted ratio of retries to calls and a
// number of extra retries of all nodes.
func NewBudgets(ratio, extra float64) *Budgets {
	b := &Budgets{ratio: ratio, extra: extra, nodes: 1}
	b.byService.Store(&map[string]*retry.Budget{})
	return b
}

// Of returns the budget of a service.
func (b *Budgets) Of(service string) *retry.Budget {
	if r, ok := (*b.byService.Load())[service]; ok {
		return r
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	old := *b.byService.Load()
	if r, ok := old[service]; ok {
		return r
	}
	next := make(map[string]*retry.Budget, len(old)+1)
	for k, r := range old {
		next[k] = r
	}
	share, reserve := b.nodeShare()
	next[service] = retry.NewBudget(share, reserve)
	b.byService.Store(&next)
	return next[service]
}

// Resize divides the extra retries among a number of nodes.
func (b *Budgets) SetNodeCount(nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if nodes = max(nodes, 1); nodes == b.nodes {
		return
	}
	b.nodes = nodes
	share, reserve := b.nodeShare()
	for _, r := range *b.byService.Load() {
		r.Set(share, reserve)
	}
}

// Permit changes what the platform permits.
func (b *Budgets) SetLimits(ratio, extra float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.extra = ratio, extra
	share, reserve := b.nodeShare()
	for _, r := range *b.byService.Load() {
		r.Set(share, reserve)
	}
}

func (b *Budgets) nodeShare() (share, reserve float64) {
	return b.ratio * budgetShare, max(b.extra*reserveShare/float64(b.nodes), minReserve)
}
