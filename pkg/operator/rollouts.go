package operator

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/rollout"
)

// RolloutStore holds the orders of rollouts and their statuses.
type RolloutStore interface {
	// Orders returns all orders. Order returns that of a service and the revision of its
	// row, 0 if there is none.
	Orders(ctx context.Context) ([]rollout.Order, error)
	Order(ctx context.Context, service string) (rollout.Order, follow.Revision, error)
	// PutOrder writes an order if the row has the expected revision (0: if there is none).
	// Otherwise it returns rollout.ErrConflict.
	PutOrder(ctx context.Context, o rollout.Order, expected follow.Revision) (follow.Position, error)
	// Statuses returns all statuses.
	Statuses(ctx context.Context) ([]rollout.Status, error)
}

// Errors of StartRollout.
var (
	// ErrRolloutRunning means that another rollout of the service has not ended.
	ErrRolloutRunning = merry.Sentinel("a rollout of the service is running")
	// ErrNoUpstreamVersion means that no upstream of the service has the version.
	ErrNoUpstreamVersion = merry.Sentinel("no upstream of the service has this version")
)

// Rollout is the newest order of a service and how far it has got.
type Rollout struct {
	Service  string        `json:"service"`
	To       string        `json:"to"`
	Within   time.Duration `json:"duration"`
	Revision uint64        `json:"revision"` // of the order
	// Status is what the store says, and State what the nodes say; nil if they say nothing
	// of this order.
	Status *rollout.State `json:"status,omitempty"`
	State  *rollout.State `json:"state,omitempty"`
	// Versions are the numbers of upstreams by the version that they report.
	Versions map[string]int `json:"upstreams"`
}

// RolloutQueries report rollouts. They are safe for concurrent use if Store and Rules are.
type RolloutQueries struct {
	Store  RolloutStore
	Rules  RulesStore
	Client *http.Client
}

// Rollouts returns the orders in the store, by service.
func (q *RolloutQueries) Rollouts(ctx context.Context) ([]Rollout, error) {
	orders, err := q.Store.Orders(ctx)
	if err != nil {
		return nil, err
	}
	statuses, err := q.Store.Statuses(ctx)
	if err != nil {
		return nil, err
	}
	members, err := q.Rules.Nodes(ctx)
	if err != nil {
		return nil, err
	}
	states := newestStates(ctx, q.Client, members)
	nodes := nodeStates(ctx, q.Client, members)
	all := make([]Rollout, 0, len(orders))
	for _, o := range orders {
		r := Rollout{Service: o.Service, To: o.To, Within: o.Within, Revision: uint64(o.At.Revision), Versions: versionsOf(o.Service, nodes)}
		for _, s := range statuses {
			if s.Service == o.Service && (s.At.Revision == o.At.Revision || s.At.Revision == 0 && s.To == o.To) {
				r.Status = &s.State
			}
		}
		if s, ok := states[o.Service]; ok && s.At.Revision == o.At.Revision {
			r.State = &s
		}
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Rollout) int { return cmp.Compare(a.Service, b.Service) })
	return all, nil
}

func versionsOf(service string, nodes []Node) map[string]int {
	versions := make(map[string]int)
	for _, n := range nodes {
		if n.Member.Service == service && n.State != nil && n.State.Software != "" {
			versions[n.State.Software]++
		}
	}
	return versions
}

// newestStates returns the newest state of the rollout of each service that any of the
// nodes knows.
func newestStates(ctx context.Context, client *http.Client, members []fleet.Member) map[string]rollout.State {
	answers := make([][]rollout.State, len(members))
	var g errgroup.Group
	g.SetLimit(maxConcurrentRequests)
	for i, m := range members {
		g.Go(func() error {
			answers[i], _ = RolloutsAt(ctx, client, m.MessageAddress) // other nodes know the same
			return nil
		})
	}
	_ = g.Wait()
	table := rollout.NewTable(time.Minute)
	for _, states := range answers {
		table.Merge(slices.DeleteFunc(states, func(s rollout.State) bool { return s.Check() != nil }), time.Now())
	}
	newest := make(map[string]rollout.State)
	for _, v := range table.Current().All() {
		newest[v.Service] = v.Sent(time.Now())
	}
	return newest
}

// maxRolloutBytes bounds the response of a node, in bytes. A state has about 500.
const maxRolloutBytes = 1 << 20

// RolloutsAt returns what the node whose message listener has an address knows of rollouts.
func RolloutsAt(ctx context.Context, client *http.Client, address string) (states []rollout.State, err error) {
	ctx, cancel := context.WithTimeout(ctx, nodeStateTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+model.RolloutsPath, nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("node responded with status %s", resp.Status)
	}
	return states, json.NewDecoder(io.LimitReader(resp.Body, maxRolloutBytes)).Decode(&states)
}

// RolloutCommands start rollouts. They are safe for concurrent use if Store and Rules are.
type RolloutCommands struct {
	Store  RolloutStore
	Rules  RulesStore
	Client *http.Client
}

// Start orders a rollout and returns the position of the order. It returns an error if the
// order is invalid, if the service is not in the rules file in force, or if it has no
// upstream with the version; ErrRolloutRunning if an earlier order has not ended, unless
// replace is set; and rollout.ErrConflict if another operator has written an order
// meanwhile.
func (c *RolloutCommands) Start(ctx context.Context, o rollout.Order, replace bool) (follow.Position, error) {
	if err := o.Check(); err != nil {
		return follow.Position{}, merry.Prepend(err, "order")
	}
	inForce, err := c.Rules.InForce(ctx)
	if err != nil {
		return follow.Position{}, err
	}
	known := false
	for _, s := range inForce.Services {
		known = known || s.Name == o.Service
	}
	if !known {
		return follow.Position{}, merry.Errorf("service %q is not in the rules file in force", o.Service)
	}
	before, expected, err := c.Store.Order(ctx, o.Service)
	if err != nil && expected == 0 {
		return follow.Position{}, err
	}
	if err := c.checkEnded(ctx, before, expected); err != nil && !replace {
		return follow.Position{}, err
	}
	members, err := c.Rules.Nodes(ctx)
	if err != nil {
		return follow.Position{}, err
	}
	versions := versionsOf(o.Service, nodeStates(ctx, c.Client, members))
	if versions[o.To] == 0 {
		var names []string
		for v := range versions {
			names = append(names, v)
		}
		slices.Sort(names)
		return follow.Position{}, merry.Wrap(ErrNoUpstreamVersion, merry.AppendMessagef("they have %s", cmp.Or(strings.Join(names, ", "), "none that is known")))
	}
	return c.Store.PutOrder(ctx, o, expected)
}

// checkEnded returns ErrRolloutRunning if the store has an order that has not ended.
func (c *RolloutCommands) checkEnded(ctx context.Context, o rollout.Order, revision follow.Revision) error {
	if revision == 0 || o.To == "" {
		return nil
	}
	statuses, err := c.Store.Statuses(ctx)
	if err != nil {
		return err
	}
	for _, s := range statuses {
		if s.Service == o.Service && s.At.Revision == revision && s.Phase.Final() {
			return nil
		}
	}
	return merry.Wrap(ErrRolloutRunning, merry.AppendMessagef("to %s", o.To))
}

// AwaitEnd waits until the rollout of an order has ended or ctx ends, and returns its
// status.
func (q *RolloutQueries) AwaitEnd(ctx context.Context, service string, at follow.Position) (rollout.State, error) {
	const pollInterval = 200 * time.Millisecond
	for {
		statuses, err := q.Store.Statuses(ctx)
		if err != nil && !errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
			return rollout.State{}, err
		}
		for _, s := range statuses {
			if s.Service == service && s.At.Revision == at.Revision && s.Phase.Final() {
				return s.State, nil
			}
		}
		select {
		case <-ctx.Done():
			return rollout.State{}, merry.Errorf("rollout of %s has not ended: %w", service, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}
