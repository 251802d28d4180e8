package gossip

import (
	"time"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/crashguard"
	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/rollout"
)

// Paths of messages on the message listener.
const (
	pathSync  = "/v1/sync"
	pathCrash = "/v1/crash"
)

// Digest states the versions that a node has, and whether it accepts calls.
type Digest struct {
	From fleet.Member `json:"from"`
	// Serving reports whether the sender accepts calls.
	Serving bool `json:"serving"`
	// ConfigVersion, FleetRevision and FleetEra are those of the sender, 0 if it has
	// no configuration or no fleet.
	ConfigVersion config.Version  `json:"config"`
	FleetRevision follow.Revision `json:"fleet"`
	FleetEra      follow.Era      `json:"fleet_era,omitempty"`
	// ConfigAge is how long ConfigVersion has been in force at some node, as far as
	// the sender knows.
	ConfigAge milliseconds `json:"config_age_ms,omitempty"`
	// MembersDigest identifies the content of the fleet.
	MembersDigest uint64 `json:"members_digest"`
	// RefusedDigest identifies the requests that the sender refuses because they have
	// crashed upstreams, 0 if there is none.
	RefusedDigest uint64 `json:"refused,omitempty"`
	// RolloutDigest identifies what the sender knows of rollouts, 0 if that is nothing.
	RolloutDigest uint64 `json:"rollouts,omitempty"`
	// Software is the version of the upstream's software, as in a State.
	Software string `json:"software,omitempty"`
	// NeedsUpdate requests the versions that the sender does not have. A node
	// whose store is available does not set it: it is about to read the same from
	// there, and a whole configuration has the size of 500 digests.
	NeedsUpdate bool `json:"lacks,omitempty"`
	// TeamsUnknown says that the sender has ConfigVersion without its teams
	// (config.Configuration.TeamsUnknown).
	TeamsUnknown bool `json:"teams_unknown,omitempty"`
	// Started is the start time of the sender in Unix nanoseconds. Sequence
	// increases with each digest or state since that start. Both order the digests
	// and states of a sender.
	Started  int64  `json:"started"`
	Sequence uint64 `json:"sequence"`
}

// milliseconds is a duration that messages contain as a whole number.
type milliseconds int64

func (m milliseconds) duration() time.Duration { return time.Duration(m) * time.Millisecond }

// fleetPosition returns the position of the sender's fleet.
func (d *Digest) fleetPosition() follow.Position {
	return follow.Position{Era: d.FleetEra, Revision: d.FleetRevision}
}

// Update is the response to a Digest: the digest of the responding node, and
// the updates that the requesting node needs.
type Update struct {
	Digest
	// Configuration is a config.Configuration as compressed JSON. A relay encodes
	// it once for all nodes of its zone.
	Configuration []byte `json:"configuration_zstd,omitempty"`
	// ConfigurationChange is set instead of Configuration if the responding node
	// still has the version of the requesting node.
	ConfigurationChange *config.Change `json:"configuration_change,omitempty"`
	// WithTeams says that Configuration or ConfigurationChange is complete. Nodes of
	// earlier releases do not know teams; they leave out WithTeams, the teams, and
	// which routes are public.
	WithTeams bool `json:"with_teams,omitempty"`
	// Nodes is the whole fleet, and FleetChange the changes since the position of
	// the requesting node. One of them is set if that position is older.
	Nodes       []fleet.Member `json:"nodes,omitempty"`
	FleetChange *fleet.Change  `json:"changes,omitempty"`
	// Crashes are the records of the requests that the responding node refuses. They
	// are set if the requesting node refuses others.
	Crashes []CrashRecord `json:"crash_records,omitempty"`
	// Rollouts is what the responding node knows of rollouts, and States are those of
	// nodes whose upstreams have a version that is not in use. They are set if the
	// requesting node knows something else of rollouts.
	Rollouts []rollout.State `json:"rollout_states,omitempty"`
	States   []State         `json:"states,omitempty"`
}

// CrashRecord holds the crashes of one request, as far as a node knows them.
type CrashRecord struct {
	Fingerprint crashguard.Fingerprint `json:"fingerprint"`
	crashguard.Record
}

// CrashNotice reports that a request was running when an upstream crashed or,
// if Crash is nil, that the request ran to its end.
type CrashNotice struct {
	// Fingerprint identifies the request, and Service is the service of the
	// upstream.
	Fingerprint crashguard.Fingerprint `json:"fingerprint"`
	Service     string                 `json:"service"`
	Crash       *crashguard.Crash      `json:"crash,omitempty"`
}
