package model

// UpstreamNodeState is the state of a node, as another node knows it.
type UpstreamNodeState uint8

// States of upstream nodes.
const (
	// Ready is a node whose upstream is serving, as far as is known.
	Ready UpstreamNodeState = iota
	// NotServing is a node that has reported that its upstream is not serving. It
	// refuses calls at once.
	NotServing
	// Unreachable is a node that did not accept a connection. Calls are not sent
	// to it, because each would lose the time that a connection may take.
	Unreachable
)

// UpstreamNode is the node of an upstream, with the properties by which an upstream
// is chosen.
type UpstreamNode struct {
	Node     NodeID
	State    UpstreamNodeState
	Service  string
	Location Location
	Address  string // host:port for calls of other nodes
	// Software is the version of the upstream's software, "" if it is not known.
	Software string
}
