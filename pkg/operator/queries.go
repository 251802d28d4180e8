package operator

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/h1"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/rules"
)

const (
	// maxConcurrentRequests bounds the concurrent requests for the state of
	// nodes.
	maxConcurrentRequests = 32
	// nodeStateTimeout bounds the request to one node.
	nodeStateTimeout = 2 * time.Second
)

// NewNodeClient returns the client for requests to nodes.
func NewNodeClient() *http.Client {
	live := h1.Liveness{DialTimeout: nodeStateTimeout, ProbeInterval: time.Second, UserTimeout: nodeStateTimeout}
	return &http.Client{Transport: &h1.Transport{Dial: live.Dialer()}}
}

// Queries report the state of a deployment. They are safe for concurrent use
// if Store is.
type Queries struct {
	Store  RulesStore
	Client *http.Client
}

// RulesFile is the rules file in force. Tag identifies the state of its row in
// the store (RulesStore.Tag).
type RulesFile struct {
	Text    string        `json:"text"`
	Version model.Version `json:"version"`
	Tag     Tag           `json:"tag"`
}

// Rules returns the rules file in force with its tag. Text and version are
// empty if no configuration is in force yet.
func (q *Queries) Rules(ctx context.Context) (RulesFile, error) {
	v, tag, err := q.Store.Tag(ctx)
	if err != nil || v == 0 {
		return RulesFile{Tag: tag}, err
	}
	file, err := q.Version(ctx, v)
	if err != nil {
		return RulesFile{}, err
	}
	return RulesFile{Text: file.Text, Version: v, Tag: tag}, nil
}

// Version returns the accepted rules file with the given version, or an error
// if there is none.
func (q *Queries) Version(ctx context.Context, v model.Version) (model.VersionedText, error) {
	all, err := q.Store.Versions(ctx)
	if err != nil {
		return model.VersionedText{}, err
	}
	for _, file := range all {
		if file.Number == v {
			return file, nil
		}
	}
	return model.VersionedText{}, merry.Errorf("version %d has no rules file: another program put it in force, or it does not exist", v)
}

// History returns the newest n accepted rules files, the oldest first.
func (q *Queries) History(ctx context.Context, n uint) ([]model.VersionedText, error) {
	all, err := q.Store.Versions(ctx)
	if err != nil {
		return nil, err
	}
	return all[len(all)-min(len(all), int(n)):], nil
}

// Node describes a node by its row in the store and by its own response.
type Node struct {
	Member fleet.Member     `json:"member"`
	State  *model.NodeState `json:"state,omitempty"` // nil if it did not respond
	Error  string           `json:"error,omitempty"` // why State is nil
}

// Status is the state of a deployment.
type Status struct {
	// Version is the version in force according to the store.
	Version model.Version `json:"version"`
	Nodes   []Node        `json:"nodes"` // sorted by region, availability zone and name
	// InForce counts the nodes that have Version or a newer one, Behind those
	// that have an older one, and Unresponsive those that did not respond.
	InForce      int `json:"in_force"`
	Behind       int `json:"behind"`
	Unresponsive int `json:"silent"`
	// NewestAtNodes is the newest version that a node has in force. It is newer than
	// Version only if the store was restored from an older copy.
	NewestAtNodes model.Version `json:"newest_at_nodes"`
}

// Status requests the state of all nodes. It returns an error only if the store
// cannot be read; the errors of nodes are in their entries.
func (q *Queries) Status(ctx context.Context) (Status, error) {
	v, _, err := q.Store.Tag(ctx)
	if err != nil {
		return Status{}, err
	}
	members, err := q.Store.Nodes(ctx)
	if err != nil {
		return Status{}, err
	}
	s := Status{Version: v, Nodes: nodeStates(ctx, q.Client, members)}
	s.NewestAtNodes = newestVersion(s.Nodes)
	for _, n := range s.Nodes {
		switch {
		case n.State == nil:
			s.Unresponsive++
		case n.State.Version >= v:
			s.InForce++
		default:
			s.Behind++
		}
	}
	return s, nil
}

// newestVersion returns the newest version in force at nodes, 0 if there is none.
func newestVersion(nodes []Node) (newest model.Version) {
	for _, n := range nodes {
		if n.State != nil {
			newest = max(newest, n.State.Version)
		}
	}
	return newest
}

func nodeStates(ctx context.Context, client *http.Client, members []fleet.Member) []Node {
	nodes := make([]Node, len(members))
	var g errgroup.Group
	g.SetLimit(maxConcurrentRequests)
	for i, m := range members {
		g.Go(func() error {
			state, err := nodeState(ctx, client, m)
			nodes[i] = Node{Member: m, State: state}
			if err != nil {
				nodes[i].Error = err.Error()
			}
			return nil
		})
	}
	_ = g.Wait() // the nodes hold the errors
	slices.SortFunc(nodes, func(a, b Node) int {
		return cmp.Or(
			cmp.Compare(a.Member.Location.Region, b.Member.Location.Region),
			cmp.Compare(a.Member.Location.AvailabilityZone, b.Member.Location.AvailabilityZone),
			cmp.Compare(a.Member.Node, b.Member.Node),
		)
	})
	return nodes
}

func nodeState(ctx context.Context, client *http.Client, m fleet.Member) (*model.NodeState, error) {
	ctx, cancel := context.WithTimeout(ctx, nodeStateTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.MessageAddress+model.StatePath, nil)
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
	var s model.NodeState
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return nil, fmt.Errorf("decode the state of the node: %w", err)
	}
	return &s, nil
}

// Explanation says which route applies to a call, and who requested that
// route.
type Explanation struct {
	Version model.Version `json:"version"`
	Route   *config.Route `json:"route,omitempty"` // nil if none matches
	// Rules explains the choice of the route. It is nil if the version in force
	// has no rules file.
	Rules *rules.Explanation `json:"rules,omitempty"`
	// Caller says which team the call belongs to. It is nil if no route matches, or if
	// the version in force has no teams.
	Caller *Caller `json:"caller,omitempty"`
	// Upstreams are the nodes of the upstreams of the route's services.
	Upstreams []fleet.Member `json:"upstreams,omitempty"`
}

// Explain returns how the configuration in force handles a call with the given
// method and URL. team is the name of the team, or the digest of its key or at least
// eight digits of that, or empty for a call without a key. Explain returns
// ErrNoConfiguration if no configuration is in force, and another error if the URL is
// not absolute, there is no such team, or the store cannot be read.
func (q *Queries) Explain(ctx context.Context, method, address, team string) (Explanation, error) {
	u, err := url.Parse(address)
	if err != nil || u.Host == "" {
		return Explanation{}, merry.Errorf("URL %q is not accepted (accepted: absolute URL, such as http://api.example/status/42)", address)
	}
	path := u.Path
	if path == "" {
		path = "/"
	}
	c, err := q.Store.InForce(ctx)
	if err != nil {
		return Explanation{}, err
	}
	s, err := config.Compile(c)
	if err != nil {
		return Explanation{}, err
	}
	caller, err := findTeam(s, team)
	if err != nil {
		return Explanation{}, err
	}
	explanation := Explanation{Version: c.Version}
	if text, err := q.Version(ctx, c.Version); err == nil {
		if f, faults := rules.Parse("rules", []byte(text.Text)); len(faults) == 0 {
			e := rules.Explain(f, method, u.Host, path)
			explanation.Rules = &e
		}
	}
	match, ok := s.Match(method, u.Host, path)
	if !ok {
		return explanation, nil
	}
	explanation.Route = match.Route
	explanation.Caller = explainCaller(s, match.Route, caller)
	members, err := q.Store.Nodes(ctx)
	if err != nil {
		return explanation, err
	}
	for _, m := range members {
		for _, share := range match.Split {
			if m.Service == share.Service {
				explanation.Upstreams = append(explanation.Upstreams, m)
			}
		}
	}
	return explanation, nil
}
