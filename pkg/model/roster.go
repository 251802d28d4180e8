package model

// EntryState is the state of a roster entry.
type EntryState uint8

// Entry states.
const (
	Ready EntryState = iota
	Suspect
	Draining
	Gone
)

// Entry is a node beside an upstream, as the choice of an upstream sees it.
type Entry struct {
	Node     NodeID
	State    EntryState
	Service  string
	Location Location
	Address  string // for calls of other nodes, host:port
}
