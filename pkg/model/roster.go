package model

// EntryState is what a node knows about another one.
type UpstreamNodeState uint8

// Entry states.
const (
	// Ready is a node that takes work, as far as is known.
	Ready UpstreamNodeState = iota
	// NotServing is a node that said that its upstream takes no work now. It
	// answers calls with a refusal at once.
	NotServing
	// Unreachable is a node that did not answer a connection. Calls are not
	// sent to it: each would lose the time that a connection may take.
	Unreachable
)

// Entry is a node beside an upstream, as the choice of an upstream sees it.
type UpstreamNode struct {
	Node     NodeID
	State    UpstreamNodeState
	Service  string
	Location Location
	Address  string // for calls of other nodes, host:port
}
