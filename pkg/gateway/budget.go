package gateway

import (
	"sync"
	"sync/atomic"

	"github.com/lentilflow/lentilflow/pkg/retry"
)

const (
	// budgetShare is the share of the permitted ratio that a node spends. The
	// rest covers the calls that rerun requests make to other services, which
	// count as repeated calls there: 0.3 of the retries are reruns, and each
	// makes about as many calls to another service as that service has requests
	// of its own.
	budgetShare = 0.75
	// reserveShare is the share of the permitted extra retries that all nodes
	// together may spend at once. As with budgetShare, the rest covers the calls
	// that reruns make to other services: with 0.3 reruns (rerunShare in
	// pkg/retry), retries and these calls are 0.91 of the permitted number. That
	// share must not exceed 1.
	reserveShare = 0.7
	// minReserve is the least reserve of a node, in retries. It lets each node
	// make an occasional retry.
	minReserve = 1
)

// Budgets holds the retry budgets of a node, one per service. The permitted
// extra retries are divided evenly among the nodes, so nodes need no
// coordination. It is safe for concurrent use.
type Budgets struct {
	mu        sync.Mutex
	ratio     float64
	extra     float64
	nodes     int  // 0 while the fleet is not known
	restarted bool // an earlier process of this node may have spent its reserve
	byService atomic.Pointer[map[string]*retry.Budget]
}

// NewBudgets returns budgets for one node. ratio is the permitted ratio of
// retries to calls, extra the number of retries that all nodes together may
// make beyond it. restarted says that an earlier process of the node may have spent
// its share of them. Until SetNodeCount is called, that share is the least one.
func NewBudgets(ratio, extra float64, restarted bool) *Budgets {
	b := &Budgets{ratio: ratio, extra: extra, restarted: restarted}
	b.byService.Store(&map[string]*retry.Budget{})
	return b
}

// Of returns the budget of a service and creates it if there is none.
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
	if b.restarted {
		next[service] = retry.NewEmptyBudget(share, reserve)
	} else {
		next[service] = retry.NewBudget(share, reserve)
	}
	b.byService.Store(&next)
	return next[service]
}

// SetNodeCount divides the extra retries among the given number of nodes.
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

// SetLimits replaces the permitted ratio and the extra retries of NewBudgets.
func (b *Budgets) SetLimits(ratio, extra float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.extra = ratio, extra
	share, reserve := b.nodeShare()
	for _, r := range *b.byService.Load() {
		r.Set(share, reserve)
	}
}

// nodeShare returns the share of its calls and the reserve that this node may
// spend on retries.
func (b *Budgets) nodeShare() (share, reserve float64) {
	reserve = minReserve
	if b.nodes > 0 {
		reserve = max(reserve, b.extra*reserveShare/float64(b.nodes))
	}
	return b.ratio * budgetShare, reserve
}
