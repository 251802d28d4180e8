package model

import "time"

// Rank is the urgency of a call; 0 is the most urgent.
type Rank uint8

// MaxRank is the least urgent rank.
const MaxRank Rank = 7

// Preference says up to which distance from the node of the caller upstreams
// count as equally near. More distant ones are considered after them.
type Preference string

// Preferences a rule can state.
const (
	PreferZone   Preference = "zone"   // the availability zone, then the region, then other regions
	PreferRegion Preference = "region" // the region, then other regions
	PreferAny    Preference = "any"    // all upstreams alike
)

// Service is one "service" statement of the rules file.
type Service struct {
	Name        string `json:"name"`
	Slots       int    `json:"slots"`            // calls that one upstream runs at a time
	Connections int    `json:"connections"`      // connections that one upstream accepts
	AskedBy     string `json:"asked_by"`         // who asked for the statement
	Reason      string `json:"reason,omitempty"` // why it was asked for
	Line        int    `json:"line"`             // of the statement in the rules file, from 1
}

// Match selects the calls to which a rule applies.
type Match struct {
	Methods []string `json:"methods,omitempty"` // upper case, sorted; empty means every method
	Host    string   `json:"host"`              // lower case without port; "*" means every host
	Path    string   `json:"path"`              // prefix that ends at a segment boundary
}

// Rule is one "rule" statement of the rules file.
type Rule struct {
	Name          string        `json:"name"`
	Match         Match         `json:"match"`
	Service       string        `json:"service"`
	Rank          Rank          `json:"rank"`
	LatencyTarget time.Duration `json:"target"`   // latency target, 0 if none is stated
	Floor         int           `json:"floor"`    // percent of an upstream's slots kept for the rank, 0 if none is stated
	Weight        int           `json:"worth"`    // weight of the rule among the rules of its rank
	Deadline      time.Duration `json:"deadline"` // longest time from arrival to the whole response
	Idempotent    bool          `json:"idempotent"`
	Retries       int           `json:"retries"`  // attempts after the first one
	MaxInFlight   int           `json:"inflight"` // calls in flight per node, 0 means no limit
	Prefer        Preference    `json:"prefer"`
	Public        bool          `json:"public,omitempty"` // calls need no key of a team
	AskedBy       string        `json:"asked_by"`         // who asked for the statement
	Reason        string        `json:"reason,omitempty"` // why it was asked for
	Line          int           `json:"line"`             // of the statement in the rules file, from 1
}

// Team is one "team" statement of the rules file.
type Team struct {
	Name    string   `json:"name"`
	Rank    *Rank    `json:"rank,omitempty"`   // nil: the rank of the rule
	Rate    float64  `json:"rate,omitempty"`   // requests per second over all nodes, 0 means no limit
	Burst   float64  `json:"burst,omitempty"`  // requests by which the team may exceed its rate for a short time
	Keys    []string `json:"keys"`             // digests of its keys, 64 hexadecimal digits each
	AskedBy string   `json:"asked_by"`         // who asked for the statement
	Reason  string   `json:"reason,omitempty"` // why it was asked for
	Line    int      `json:"line"`             // of the statement in the rules file, from 1
}
