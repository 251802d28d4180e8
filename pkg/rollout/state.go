package rollout

import (
	"cmp"
	"encoding/binary"
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// Phase is how far a rollout has got. Phases only move forward; RolledBack may follow
// each of them except Completed.
type Phase string

// Phases, in their order.
const (
	NoOrder    Phase = ""            // only the version in use is known
	Pending    Phase = "pending"     // no upstream of the new version serves yet
	Canary     Phase = "canary"      // a small share of the calls goes to the new version
	LoadTest   Phase = "load_test"   // for a short time, half of the calls go there
	Cutover    Phase = "cutover"     // all calls go there, and calls at old upstreams end
	RolledBack Phase = "rolled_back" // no call goes to the new version
	Completed  Phase = "completed"   // the new version is the one in use
)

// rank orders the phases of one order. A completed rollout supersedes one that is rolled
// back: it is announced only once the store has it, and old upstreams stop then.
func (p Phase) rank() int {
	return slices.Index([]Phase{NoOrder, Pending, Canary, LoadTest, Cutover, RolledBack, Completed}, p)
}

// Final reports whether the rollout has ended.
func (p Phase) Final() bool { return p == RolledBack || p == Completed }

// running reports whether calls may go to the new version.
func (p Phase) running() bool { return p == Canary || p == LoadTest || p == Cutover }

// Reason says why a rollout has changed its phase.
type Reason string

// Reasons are a closed list.
const (
	ReasonNone        Reason = ""
	UpstreamsFound    Reason = "upstreams_found"    // upstreams of the new version serve
	TimeForLoadTest   Reason = "time_for_load_test" // the canary has found no fault
	VersionGood       Reason = "version_good"       // the counts of both versions show no difference
	Failing           Reason = "failing"            // more responses are failures than those of the old version
	Slow              Reason = "slow"               // more responses are several times slower
	TooFewCounts      Reason = "too_few_counts"     // too few requests for a verdict within the time
	TooLittleCapacity Reason = "too_little_capacity"
	NoUpstreams       Reason = "no_upstreams" // no upstream of the new version served within the time
	Withdrawn         Reason = "withdrawn"    // the operator has removed the order
	Superseded        Reason = "superseded"   // another order has replaced this one
	Drained           Reason = "drained"      // no request is in flight at old upstreams
	DrainTimeOver     Reason = "drain_time_over"
	VersionInUse      Reason = "version_in_use" // all upstreams had the ordered version
)

// Reasons returns every reason except ReasonNone.
func Reasons() []Reason {
	return []Reason{
		UpstreamsFound, TimeForLoadTest, VersionGood, Failing, Slow, TooFewCounts, TooLittleCapacity, NoUpstreams, Withdrawn, Superseded,
		Drained, DrainTimeOver, VersionInUse,
	}
}

// Milliseconds is a duration that messages contain as a whole number.
type Milliseconds int64

// Duration returns m as a time.Duration.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// InMilliseconds returns d rounded down.
func InMilliseconds(d time.Duration) Milliseconds { return Milliseconds(d.Milliseconds()) }

// Tally sums the requests that upstreams of one version have answered since the order.
type Tally struct {
	Requests uint64 `json:"requests"`
	Failures uint64 `json:"failures,omitempty"`
	Slow     uint64 `json:"slow,omitempty"`
}

// State is what nodes tell each other about the rollout of a service, or only about the
// version in use if there is no order. The ages are those at the sender.
type State struct {
	Service string `json:"service"`
	// To, Within and At are those of the Order; To is empty if there is none.
	To     string          `json:"to,omitempty"`
	Within Milliseconds    `json:"duration_ms,omitempty"`
	At     follow.Position `json:"at,omitzero"`
	Phase  Phase           `json:"phase,omitempty"`
	// From is the version that was in use before the order. If it is empty, all versions
	// other than To count as in use.
	From string `json:"from,omitempty"`
	// Barred are versions of earlier orders that were not completed. They are not in use,
	// whatever From is.
	Barred []string `json:"barred,omitempty"`
	// Written says that the status in the store states the same end of the rollout.
	Written bool `json:"written,omitempty"`
	// Withdrawn says that the row of the order was removed.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// Share is the share of the calls that goes to the new version. It applies for
	// ShareFor from the receipt of the state, if that is not 0, and Rest afterwards.
	Share    float64      `json:"share,omitempty"`
	ShareFor Milliseconds `json:"share_for_ms,omitempty"`
	Rest     float64      `json:"rest,omitempty"`
	// Nodes are hashes of the nodes whose upstreams get this share (HashNodes).
	Nodes []byte `json:"nodes,omitempty"`
	// Sequence rises with each state that a coordinator sends.
	Sequence    uint64       `json:"sequence,omitempty"`
	Coordinator model.NodeID `json:"coordinator,omitempty"`
	Reason      Reason       `json:"reason,omitempty"`
	// Route is the route to which Reason refers, if it is a single one.
	Route string `json:"route,omitempty"`
	Old   Tally  `json:"old,omitzero"`
	New   Tally  `json:"new,omitzero"`
	// Age is the time since the order, PhaseAge that since the phase began, and Silence
	// that since the sender has heard this state of its coordinator.
	Age      Milliseconds `json:"age_ms,omitempty"`
	PhaseAge Milliseconds `json:"phase_age_ms,omitempty"`
	Silence  Milliseconds `json:"silence_ms,omitempty"`
}

// Order returns the order that the state refers to.
func (s *State) Order() Order {
	return Order{Service: s.Service, To: s.To, Within: s.Within.Duration(), At: s.At}
}

// HasOrder reports whether there is an order for the service.
func (s *State) HasOrder() bool { return s.To != "" }

// InUse returns the version in use, or an empty string if it is not known.
func (s *State) InUse() string {
	if s.Phase == Completed {
		return s.To
	}
	return s.From
}

// Check returns an error if a state of another node cannot be used.
func (s *State) Check() error {
	switch {
	case s.Service == "":
		return ErrNoService
	case s.HasOrder() && (s.Within <= 0 || s.Within.Duration() > maxDuration):
		return ErrNoDuration
	case s.Phase.rank() < 0, s.HasOrder() != (s.Phase != NoOrder), !s.HasOrder() && s.From == "":
		return errPhase
	case !(s.Share >= 0 && s.Share <= 1 && s.Rest >= 0 && s.Rest <= 1):
		return errShare
	case len(s.Barred) > maxBarred || slices.ContainsFunc(s.Barred, func(v string) bool { return checkName(v) != nil }):
		return errName
	case len(s.Nodes) > maxNodes*hashBytes || len(s.Nodes)%hashBytes != 0:
		return errNodes
	case s.Age < 0 || s.PhaseAge < 0 || s.Silence < 0 || s.ShareFor < 0:
		return errAge
	}
	return errors.Join(checkName(s.Service), checkName(s.To), checkName(s.From), checkName(string(s.Coordinator)), checkName(s.Route), checkName(string(s.Reason)))
}

// digest identifies what all nodes must know of a state. Figures that change all the
// time are left out.
func (s *State) digest() uint64 {
	return xxhash.Sum64String(strings.Join([]string{
		s.Service, s.To, strconv.FormatUint(uint64(s.At.Era), 10), strconv.FormatUint(uint64(s.At.Revision), 10), string(s.Phase), s.From,
		strconv.FormatBool(s.Written), strconv.FormatBool(s.Withdrawn), strings.Join(s.Barred, "\x01"),
	}, "\x00"))
}

// maxBarred bounds State.Barred.
const maxBarred = 8

// barredBy returns the versions that are not in use after an order has replaced the one of
// the state before: those before, and the version of that order unless it was completed, or
// had not begun: it might name the version in use by mistake.
func (s *State) barredBy(before *State) []string {
	barred := slices.Clone(before.Barred)
	if before.Phase.running() || before.Phase == RolledBack {
		barred = append(barred, before.To)
	}
	return s.withBarred(barred)
}

// withBarred returns the barred versions of s and further ones, without the version of the
// order and the one in use before it.
func (s *State) withBarred(more []string) []string {
	all := slices.Concat(s.Barred, more)
	slices.Sort(all)
	all = slices.DeleteFunc(slices.Compact(all), func(v string) bool { return v == s.To || v == s.From })
	return all[max(len(all)-maxBarred, 0):]
}

// replaces reports whether s is newer than t, a state of the same service.
func (s *State) replaces(t *State) bool {
	so, to := s.Order(), t.Order()
	switch {
	case !s.HasOrder() && !t.HasOrder():
		// Nodes that have determined the version in use at different times keep the
		// earlier result, unless it was determined anew.
		if s.From == t.From && s.Sequence == t.Sequence {
			return false
		}
		return cmp.Or(cmp.Compare(s.Sequence, t.Sequence), cmp.Compare(s.Age, t.Age), cmp.Compare(t.From, s.From)) > 0
	case !s.HasOrder() || !t.HasOrder():
		return s.HasOrder()
	case !so.same(&to):
		return s.At.After(t.At)
	}
	return cmp.Or(
		cmp.Compare(s.Phase.rank(), t.Phase.rank()), cmp.Compare(s.Sequence, t.Sequence), cmp.Compare(s.Coordinator, t.Coordinator),
	) > 0
}

const (
	// hashBytes is the size of the hash of a node in State.Nodes, and maxNodes bounds
	// their number, so that a state fits in a datagram.
	hashBytes = 4
	maxNodes  = 150
)

func hashNode(id model.NodeID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// HashNodes returns State.Nodes for a list of nodes, of which the first maxNodes count.
// Two nodes with the same hash are harmless: the node beside an upstream knows its
// version.
func HashNodes(ids []model.NodeID) []byte {
	var all []byte
	for _, id := range ids[:min(len(ids), maxNodes)] {
		all = binary.LittleEndian.AppendUint32(all, hashNode(id))
	}
	return all
}
