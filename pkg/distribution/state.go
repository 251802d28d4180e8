package distribution

import (
	"cmp"
	"slices"
	"time"

	"github.com/lentilflow/lentilflow/pkg/membership"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// State is what a status command shows about one node.
type State struct {
	Node       model.NodeID      `json:"node"`
	Generation uint64            `json:"generation"`
	Location   model.Location    `json:"location"`
	Info       model.VersionInfo `json:"version"`
	// AsOf is when the version in force was last known to be the newest, by
	// the publisher's clock; zero before the first heartbeat.
	AsOf       time.Time             `json:"as_of"`
	AgeSeconds float64               `json:"age_seconds"` // since AsOf
	Publisher  bool                  `json:"publisher"`
	Top        bool                  `json:"top"` // the node has no parent by position
	Parent     model.NodeID          `json:"parent,omitempty"`
	Children   []ChildState          `json:"children,omitempty"`
	ApplyError string                `json:"apply_error,omitempty"` // of the last version, empty if it was applied
	Settled    bool                  `json:"settled"`
	Starting   string                `json:"starting,omitempty"` // what the start-up read waits for
	Roster     map[string]int        `json:"roster"`             // entries by state
	Digest     uint64                `json:"roster_digest,string"`
	Lease      membership.LeaseState `json:"lease"`
	MayServe   bool                  `json:"may_serve"`
}

// ChildState describes one child.
type ChildState struct {
	Node    model.NodeID  `json:"node"`
	Version model.Version `json:"version"` // by its last heartbeat
}

// State returns the state of this node.
func (r *Relay) State() State {
	view := r.cfg.Roster.View()
	self := r.cfg.Roster.Self()
	s := State{
		Node: self.Node, Generation: self.Generation, Location: self.Location,
		Info: r.held(), Publisher: self.Publisher, Top: r.isTop(),
		Settled: r.settled.Load(), Roster: make(map[string]int), Digest: view.Digest(),
		Lease: r.cfg.Roster.Lease(), MayServe: r.cfg.Roster.MayServe(),
	}
	for state, n := range view.Counts() {
		s.Roster[state.String()] = n
	}
	for _, c := range r.hub.list() {
		s.Children = append(s.Children, ChildState{Node: c.node, Version: c.version()})
	}
	slices.SortFunc(s.Children, func(a, b ChildState) int { return cmp.Compare(a.Node, b.Node) })
	r.mu.Lock()
	defer r.mu.Unlock()
	s.AsOf, s.AgeSeconds = r.asOf.at, r.asOf.age(time.Now()).Seconds()
	s.ApplyError, s.Starting = r.applyErr, r.starting
	if r.parent.open {
		s.Parent = r.parent.entry.Node
	}
	return s
}
