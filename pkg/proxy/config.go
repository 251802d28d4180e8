package proxy

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/crashguard"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/routing"
)

// Snapshots gives the routing snapshot in force, nil before the first version.
type Snapshots interface{ Snapshot() *routing.Snapshot }

// Roster gives the entries of a service in the current view: the usable ones,
// and all that are not gone.
type Roster interface {
	Service(name string) []model.Entry
	Members(service string) []model.Entry
}

// Membership says whether this node may run work that peers send.
type Membership interface{ MayServePeers() bool }

// VersionHints learns of configuration versions that other nodes hold.
type VersionHints interface{ VersionSeen(model.Version) }

// ClaimKey identifies a non-idempotent call.
type ClaimKey struct {
	Service string
	Key     string   // of the caller
	Digest  [32]byte // SHA-256 of method, target and body
}

// ClaimState is the answer to a claim.
type ClaimState uint8

// Claim states.
const (
	ClaimGranted    ClaimState = iota // the call may run; ID is set
	ClaimDone                         // Answer is replayed
	ClaimReused                       // the key belongs to another request
	ClaimInProgress                   // another call with the key runs
	ClaimUnknown                      // the outcome of an earlier call is unknown
)

// ClaimOutcome is the result of a claim. The type of ID belongs to the
// implementation.
type ClaimOutcome struct {
	State  ClaimState
	ID     any
	Answer *ClaimAnswer
}

// ClaimAnswer is a complete answer to store or to replay.
type ClaimAnswer struct {
	Status int
	Header map[string][]string
	Body   []byte
	TooBig bool // the body exceeded 64 KiB and was not kept
}

// Claims reserves idempotency keys before non-idempotent calls run. An error
// of Begin means that the key could not be reserved; the call does not run.
type Claims interface {
	Begin(ctx context.Context, k ClaimKey) (ClaimOutcome, error)
	Finish(ctx context.Context, id any, a ClaimAnswer) error
	Release(ctx context.Context, id any) error
}

// Limits bounds what one caller can use. Zero values take the defaults.
type Limits struct {
	Body         int64         // bytes of one request body
	HeaderBytes  int           // of one request
	HeaderFields int           // of one request
	HeaderTime   time.Duration // until the header of a request has arrived
	BodyTime     time.Duration // until a held request body has arrived
	Connections  int           // of callers at a time
	InFlight     int           // calls of callers in this node at a time
	HeldBodies   int64         // bytes of all request bodies held for claims
	DrainGrace   time.Duration // arriving calls are still served while draining
}

// withDefaults fills in the zero values.
func (l Limits) withDefaults() Limits {
	setDefault(&l.Body, 8<<20)
	setDefault(&l.HeaderBytes, 32<<10)
	setDefault(&l.HeaderFields, 100)
	setDefault(&l.HeaderTime, 5*time.Second)
	setDefault(&l.BodyTime, 10*time.Second)
	setDefault(&l.Connections, 4096)
	setDefault(&l.InFlight, 4096)
	setDefault(&l.HeldBodies, 64<<20)
	setDefault(&l.DrainGrace, 3*time.Second)
	return l
}

func setDefault[T int | int64 | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// Config is what a Proxy works with. Snapshots and Roster are required.
type Config struct {
	Self      model.NodeID
	Location  model.Location
	Service   string // of the upstream beside this node, empty if there is none
	Upstream  string // host:port of the upstream
	Limits    Limits
	Snapshots Snapshots
	Roster    Roster

	Membership    Membership           // nil: peers are always served
	Claims        Claims               // nil: non-idempotent calls are refused
	Hints         VersionHints         // may be nil
	ConfigAge     func() time.Duration // age of the configuration, may be nil
	UpstreamState func(reachable bool) // told of each change, may be nil
	Notices       crashguard.Notices   // nil: crashes are known to this node only

	Logger     *zap.Logger
	Registerer prometheus.Registerer
}
