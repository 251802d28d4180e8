package rollout

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// closeGrace is how long after the beginning of the cutover a node beside an old
// upstream still accepts attempts. The state of the rollout reaches all nodes within a
// quarter of a second, and attempts between regions take 12 ms.
const closeGrace = 300 * time.Millisecond

// View is the rollout of a service as this node knows it. It is immutable.
type View struct {
	State
	// Began is the time of the order, and PhaseBegan that of the phase. Heard is when
	// the coordinator sent the state, as far as is known.
	Began, PhaseBegan, Heard time.Time
	// stale is the time without a state of the coordinator after which a share of the
	// calls no longer goes to the new version.
	stale time.Duration
	nodes map[uint32]bool
}

func newView(s State, began, phaseBegan, heard time.Time, stale time.Duration) *View {
	v := &View{State: s, Began: began, PhaseBegan: phaseBegan, Heard: heard, stale: stale, nodes: make(map[uint32]bool, len(s.Nodes)/hashBytes)}
	for b := s.Nodes; len(b) >= hashBytes; b = b[hashBytes:] {
		v.nodes[binary.LittleEndian.Uint32(b)] = true
	}
	return v
}

// Sent returns the state with its ages at a time, as it is sent to other nodes.
func (v *View) Sent(now time.Time) State {
	s := v.State
	s.Age, s.PhaseAge, s.Silence = InMilliseconds(now.Sub(v.Began)), InMilliseconds(now.Sub(v.PhaseBegan)), InMilliseconds(now.Sub(v.Heard))
	if s.ShareFor > 0 {
		if s.ShareFor -= s.Silence; s.ShareFor <= 0 {
			s.Share, s.ShareFor = s.Rest, 0
		}
	}
	return s
}

// ShareAt returns the share of the calls that goes to the new version. While a rollout
// is running, a node that no longer hears of it sends nothing there.
func (v *View) ShareAt(now time.Time) float64 {
	silence := now.Sub(v.Heard)
	switch {
	case v.Phase == Cutover:
		return 1
	case !v.Phase.running() || silence > v.stale:
		return 0
	case v.ShareFor > 0 && silence >= v.ShareFor.Duration():
		return v.Rest
	}
	return v.Share
}

// Closed reports whether old upstreams get no further requests, so that their calls end.
func (v *View) Closed(now time.Time) bool {
	return v.Phase == Cutover && v.From != v.To && now.Sub(v.PhaseBegan) >= closeGrace
}

// Admit reports whether an upstream may run an attempt. software is the version of the
// upstream, "" if it is not known yet, and key the order that the attempt names, "" if
// it names none.
func (v *View) Admit(software, key string, now time.Time) bool {
	switch {
	case v.Phase == NoOrder:
		return software == "" || software == v.From
	case v.Phase == Completed:
		return software == "" || software == v.To
	case software == "":
		return false // it may be the new version
	case software != v.To || v.From == v.To:
		return v.isInUse(software) && !v.Closed(now)
	}
	order := v.Order()
	return v.Phase.running() && key == order.Key() && (v.Phase == Cutover || now.Sub(v.Heard) <= v.stale)
}

// Serves reports whether an upstream runs any attempts: those of an order at least.
func (v *View) Serves(software string) bool {
	switch {
	case v.Phase == NoOrder, v.Phase == Completed:
		return software == "" || software == v.InUse()
	case software == "":
		return false
	case software != v.To || v.From == v.To:
		return v.isInUse(software)
	}
	return v.Phase.running()
}

// isInUse reports whether a version other than that of the order was in use before it, as
// far as is known.
func (v *View) isInUse(software string) bool {
	return software == v.From || v.From == "" && !slices.Contains(v.Barred, software)
}

// Side says which calls an upstream gets, as far as the node of the caller knows.
type Side uint8

// Sides.
const (
	Old    Side = iota // calls that are not chosen for the new version
	New                // calls that are
	Barred             // none
)

// SideOf returns the side of the upstream of a node. software is its version as far as
// this node knows it, "" if it does not.
func (v *View) SideOf(id model.NodeID, software string) Side {
	inUse := v.InUse()
	switch {
	case v.Phase == NoOrder || v.Phase == Completed || v.From == v.To:
		if software != "" && software != inUse {
			return Barred
		}
		return Old
	case v.Phase.running() && v.nodes[hashNode(id)] && (software == "" || software == v.To):
		return New
	case software == v.To:
		if v.Phase == Cutover {
			return New
		}
		return Barred
	case software != "" && !v.isInUse(software):
		return Barred
	}
	return Old
}

// Key returns the key that an attempt for the new version carries.
func (v *View) Key() string {
	o := v.Order()
	return o.Key()
}

// Exceptional reports whether the version of an upstream has to be known to all nodes,
// because it is not the one in use.
func (v *View) Exceptional(software string) bool {
	return software != "" && software != v.InUse()
}
