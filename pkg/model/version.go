package model

import "time"

// Version is the number of a configuration. Versions increase in uneven steps; 0
// means none.
type Version uint64

// VersionInfo describes one accepted version. It is immutable.
type VersionInfo struct {
	Number     Version   `json:"number"`
	Digest     string    `json:"digest"` // hexadecimal SHA-256 of the whole rules file
	AcceptedAt time.Time `json:"accepted_at"`
}

// VersionedText is an accepted version together with its rules file.
type VersionedText struct {
	VersionInfo
	Text string `json:"text"`
}

// NodeState is what a node reports about itself.
type NodeState struct {
	Node     NodeID   `json:"node"`
	Service  string   `json:"service"`
	Location Location `json:"location"`
	Version  Version  `json:"version"`
	// VersionAgeMillis is how long the version has been in force at the node, in
	// milliseconds.
	VersionAgeMillis int64 `json:"version_age_ms"`
	// NewestKnown is the newest version that the node knows to be in force on another
	// node, NewestKnownFrom, and that it does not have; 0 if there is none.
	// BehindMillis is for how long other nodes have had a newer version, in
	// milliseconds.
	NewestKnown     Version `json:"newest_known,omitempty"`
	NewestKnownFrom NodeID  `json:"newest_known_from,omitempty"`
	BehindMillis    int64   `json:"behind_ms,omitempty"`
	// FleetRevision is the revision of the store up to which the node has read
	// the fleet, FleetEra the era that it belongs to, and Nodes the number of nodes
	// that it knows. Nodes that know the same fleet have the same MembersDigest.
	FleetRevision uint64 `json:"fleet_revision"`
	FleetEra      uint64 `json:"fleet_era"`
	Nodes         int    `json:"nodes"`
	MembersDigest string `json:"members_digest"`
	// StoreAvailable says whether the store responds to the node.
	StoreAvailable bool `json:"store_available"`
	// StoreSilentMillis is how long ago the store has last responded to the node, in
	// milliseconds. A store in which nothing changes responds every 29 s.
	StoreSilentMillis int64 `json:"store_silent_ms"`
	// Recovered says whether the node has got back what its earlier processes had
	// acknowledged, or has run for so long that this no longer matters, and whether the
	// nodes that hold its departures can answer for it.
	Recovered bool `json:"recovered"`
	// Ready says whether the node accepts new callers, Serving whether its
	// upstream is serving.
	Ready   bool `json:"ready"`
	Serving bool `json:"serving"`
	// Boot is the newest boot of the upstream, empty if none is known.
	Boot     string `json:"boot,omitempty"`
	Draining bool   `json:"draining,omitempty"`
	// Software is the version of the upstream's software, empty if it is not known.
	Software string `json:"software,omitempty"`
	// Slots is how many calls the upstream runs at a time, as it states, and
	// Limit how many calls the node lets run now.
	Slots int `json:"slots"`
	Limit int `json:"limit"`
	// RateLimit is the requests per second that the upstream takes, as it states,
	// nil if it states no limit.
	RateLimit *float64 `json:"rate_limit,omitempty"`
	// Running and Waiting are numbers of calls at the node.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Quota is nil if no team has a limit.
	Quota *QuotaState `json:"quota,omitempty"`
}

// StatePath is where the message listener of a node serves its NodeState.
const StatePath = "/v1/state"

// RolloutsPath is where it serves what it knows of rollouts.
const RolloutsPath = "/v1/rollouts"
