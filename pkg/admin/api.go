package admin

import (
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/rules"
)

// Page is one part of a list. Next is the value of "after" for the following
// part and is empty in the last one.
type Page[T any] struct {
	Items []T    `json:"items"`
	Next  string `json:"next,omitempty"`
}

// Status is the answer of GET /v1/status.
type Status struct {
	Node      model.NodeID     `json:"node"` // node that answered
	At        time.Time        `json:"at"`
	Highest   model.Version    `json:"highest"` // highest version known anywhere
	Publisher model.NodeID     `json:"publisher,omitempty"`
	Store     Store            `json:"store"`
	Rejected  *model.Rejection `json:"rejected,omitempty"` // last file that failed the check
	Summary   Summary          `json:"summary"`
	Regions   []RegionStatus   `json:"regions"`
}

// Store says whether the answering node reaches the platform's table service.
type Store struct {
	Reachable bool       `json:"reachable"`
	Since     *time.Time `json:"unreachable_since,omitempty"`
	Error     string     `json:"error,omitempty"`
}

// Summary counts the nodes of the roster that are not gone.
type Summary struct {
	Nodes       int `json:"nodes"`
	InForce     int `json:"in_force"` // nodes with the highest version
	Behind      int `json:"behind"`
	Unreachable int `json:"unreachable"` // nodes that did not answer in time
}

// RegionStatus groups the availability zones of a region.
type RegionStatus struct {
	Region model.Region `json:"region"`
	// AsOfAgeMS is the largest age of any answering node's knowledge.
	AsOfAgeMS int64        `json:"as_of_age_ms"`
	Zones     []ZoneStatus `json:"availability_zones"`
}

// ZoneStatus lists the nodes of an availability zone by name.
type ZoneStatus struct {
	AvailabilityZone model.AvailabilityZone `json:"availability_zone"`
	Nodes            []NodeStatus           `json:"nodes"`
}

// NodeStatus is the state of one node.
type NodeStatus struct {
	Node    model.NodeID `json:"node"`
	Service string       `json:"service"`
	State   string       `json:"state"` // of the roster entry
	// Answered is false if the node was not reached; what follows is then
	// unknown.
	Answered bool          `json:"answered"`
	Version  model.Version `json:"version"`
	// AsOfAgeMS is the time since the node last heard which version is in
	// force at the publisher.
	AsOfAgeMS int64        `json:"as_of_age_ms"`
	Parent    model.NodeID `json:"parent,omitempty"`
	Behind    bool         `json:"behind,omitempty"`
	Why       string       `json:"why,omitempty"` // why the node is behind or was not reached
}

// VersionWithText is the answer of GET /v1/versions/{n}.
type VersionWithText struct {
	model.VersionInfo
	Text string `json:"text"`
}

// RulesFile is the answer of GET /v1/rules: the file that operators edit,
// which may be newer than the version in force.
type RulesFile struct {
	ETag string `json:"etag"`
	Text string `json:"text"`
}

// PutResult is the answer of PUT /v1/rules.
type PutResult struct {
	ETag string `json:"etag"`
}

// Upstream is one roster entry as listed by GET /v1/upstreams.
type Upstream struct {
	Node       model.NodeID   `json:"node"`
	Service    string         `json:"service"`
	State      string         `json:"state"`
	Location   model.Location `json:"location"`
	Address    string         `json:"address"`      // peer listener of the node
	Calls      string         `json:"call_address"` // caller listener of the node
	Admin      string         `json:"admin_address"`
	Slots      int            `json:"slots"`
	Generation uint64         `json:"generation"` // Unix milliseconds at process start
	Publisher  bool           `json:"publisher,omitempty"`
}

// Explanation is the answer of GET /v1/explain: the rule that decides a call
// at the answering node and the upstreams that it may be sent to.
type Explanation struct {
	Node    model.NodeID  `json:"node"`
	Version model.Version `json:"version"`
	Rule    model.Rule    `json:"rule"`
	// Passed lists the other rules that match, and why they do not decide.
	Passed []rules.Loser `json:"passed,omitempty"`
	// Nearest lists the usable upstreams that are tried first, Others those
	// that are used when none of the nearest can take the call.
	Nearest []Candidate `json:"nearest"`
	Others  []Candidate `json:"others,omitempty"`
}

// Candidate is an upstream that a call may be sent to.
type Candidate struct {
	Node     model.NodeID   `json:"node"`
	Location model.Location `json:"location"`
	State    string         `json:"state"`
}

// Rejected is the answer of GET /v1/rejected; Rejection is nil if no file has
// been refused.
type Rejected struct {
	Rejection *model.Rejection `json:"rejection"`
}
