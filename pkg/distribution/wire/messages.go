package wire

import (
	"github.com/lentilflow/lentilflow/pkg/model"
)

// Prefix is the reserved path prefix of the peer listener.
const Prefix = "/.lentilflow/v1/"

// Kind names a message; it is the last path segment and the value of a metric
// label.
type Kind string

// Message kinds.
const (
	Join    Kind = "join"
	Stream  Kind = "stream"
	Beat    Kind = "beat"
	Entries Kind = "entries"
	Sync    Kind = "sync"
	Version Kind = "version"
	State   Kind = "state"
)

// Kinds returns every message kind.
func Kinds() []Kind { return []Kind{Join, Stream, Beat, Entries, Sync, Version, State} }

// Path returns the request path of the message.
func (k Kind) Path() string { return Prefix + string(k) }

// VersionHeader carries the version number in answers between nodes.
const VersionHeader = "Lentilflow-Version"

// JoinRequest announces a node that knows no roster yet.
type JoinRequest struct {
	Entry model.Entry `json:"entry"`
}

// JoinAnswer carries the whole roster.
type JoinAnswer struct {
	Node    model.NodeID  `json:"node"`
	Entries []model.Entry `json:"entries"`
	Version model.Version `json:"version"`
}

// Refusal is the body of a 503 answer: the node has no room and names others.
type Refusal struct {
	Candidates []model.Entry `json:"candidates"`
}

// Frame is one line of a stream. Exactly one field is set.
type Frame struct {
	Version *VersionFrame `json:"version,omitempty"`
	Entries []model.Entry `json:"entries,omitempty"`
	Beat    *BeatFrame    `json:"beat,omitempty"`
}

// VersionFrame carries one version as a delta against a predecessor or whole.
type VersionFrame struct {
	Info       model.VersionInfo `json:"info"`
	From       model.Version     `json:"from,omitempty"`        // predecessor of the delta
	FromDigest string            `json:"from_digest,omitempty"` // of the predecessor's text
	Delta      []byte            `json:"delta,omitempty"`
	Full       []byte            `json:"full,omitempty"` // compressed text
}

// BeatFrame is the heartbeat that the source of a tree sends down.
type BeatFrame struct {
	Sequence uint64        `json:"n"`           // Unix milliseconds of the source's clock, increasing
	Version  model.Version `json:"v,omitempty"` // in force at the source
	AsOf     int64         `json:"t,omitempty"` // Unix milliseconds at which the publisher knew Version to be the newest
}

// BeatRequest is a node's heartbeat to the node that grants its lease.
type BeatRequest struct {
	Node       model.NodeID  `json:"node"`
	Generation uint64        `json:"gen"`
	Version    model.Version `json:"v"`
	Digest     uint64        `json:"d,string"` // of the roster
	Lease      int64         `json:"lease"`    // wanted, milliseconds
}

// BeatAnswer grants a lease.
type BeatAnswer struct {
	Lease   int64         `json:"lease"` // granted, milliseconds; 0 if refused
	Version model.Version `json:"v"`
	Digest  uint64        `json:"d,string"`
	Unknown bool          `json:"unknown,omitempty"` // the node's entry is not in the roster
	Entry   *model.Entry  `json:"entry,omitempty"`   // what the roster says, if it is suspect, gone or newer
}

// EntriesRequest sends roster changes.
type EntriesRequest struct {
	Node    model.NodeID  `json:"node"`
	Entries []model.Entry `json:"entries"`
}

// EntriesAnswer says how many of them were new.
type EntriesAnswer struct {
	Accepted int `json:"accepted"`
}

// SyncRequest compares rosters. The first request carries only the digest, the
// second one the buckets that differ and their entries.
type SyncRequest struct {
	Node    model.NodeID  `json:"node"`
	Digest  uint64        `json:"d,string"`
	Version model.Version `json:"v"`
	Buckets []int         `json:"buckets,omitempty"`
	Entries []model.Entry `json:"entries,omitempty"`
}

// SyncAnswer carries the bucket digests when the digests differ, and the
// entries of the buckets asked for.
type SyncAnswer struct {
	Digest  uint64        `json:"d,string"`
	Version model.Version `json:"v"`
	Buckets []byte        `json:"buckets,omitempty"` // 4 bytes each, little endian
	Entries []model.Entry `json:"entries,omitempty"`
}

// Brief is the short form of the state, used for probes and at start.
type Brief struct {
	Node       model.NodeID  `json:"node"`
	Generation uint64        `json:"gen"`
	Version    model.Version `json:"v"`
	Settled    bool          `json:"settled"` // the start-up read is over
}
