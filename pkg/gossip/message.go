package gossip

import (
	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/crashguard"
	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/follow"
)

// Paths of messages, below the message listener.
const (
	pathSync  = "/v1/sync"
	pathCrash = "/v1/crash"
)

// Digest says what a node has.
type Digest struct {
	From          fleet.Member    `json:"from"`
	Serving       bool            `json:"serving"`
	ConfigVersion config.Version  `json:"config"`
	FleetRevision follow.Revision `json:"fleet"`
	// Members identifies the content of the fleet.
	MembersDigest uint64 `json:"members_digest"`
	// Lacks asks for what the sender does not have. A node whose store answers
	// leaves it out: it is about to read the same from there, and a whole
	// configuration is worth 500 digests.
	NeedsUpdate bool `json:"lacks,omitempty"`
	// Started is the start of the sender in Unix nanoseconds, and Sequence
	// increases with each digest of one start; they order digests of a sender.
	Started  int64  `json:"started"`
	Sequence uint64 `json:"sequence"`
}

// Update answers a Digest: the digest of the answering node, and what the
// asking node lacks.
type Update struct {
	Digest
	// Configuration is a config.Configuration as compressed JSON. A relay makes
	// it once for all nodes of its zone.
	Configuration []byte `json:"configuration_zstd,omitempty"`
	// Change is sent instead if the answering node knows the version that the
	// asking node has.
	ConfigurationChange *config.Change `json:"configuration_change,omitempty"`
	// Nodes is the whole fleet, Changes what happened since the revision that the
	// asking node has; one of them is set if that is older.
	Nodes       []fleet.Member `json:"nodes,omitempty"`
	FleetChange *fleet.Change  `json:"changes,omitempty"`
}

// CrashNotice says that a request was running when an upstream crashed, or,
// without a crash, that it ran to its end.
type CrashNotice struct {
	Fingerprint crashguard.Fingerprint `json:"fingerprint"`
	Service     string                 `json:"service"`
	Crash       *crashguard.Crash      `json:"crash,omitempty"`
}
