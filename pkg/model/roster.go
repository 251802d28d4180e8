package model

// EntryState is the state of a roster entry.
type EntryState uint8

// Entry states. At equal generation and sequence the later state wins a merge.
const (
	Ready EntryState = iota
	Suspect
	Draining
	Gone
)

var entryStateNames = [...]string{"ready", "suspect", "draining", "gone"}

// String returns the lower-case name of s.
func (s EntryState) String() string {
	if int(s) < len(entryStateNames) {
		return entryStateNames[s]
	}
	return "invalid"
}

// Entry is what a node announces about itself and its upstream.
type Entry struct {
	Node       NodeID     `json:"node"`
	Generation uint64     `json:"generation"` // Unix milliseconds at process start
	Sequence   uint64     `json:"sequence"`
	State      EntryState `json:"state"`
	Service    string     `json:"service"`
	Location   Location   `json:"location"`
	// Address is the peer listener as host:port for nodes of the same region.
	Address string `json:"address"`
	// RegionAddresses overrides Address for nodes of the named regions.
	RegionAddresses map[Region]string `json:"region_addresses,omitempty"`
	// CallAddress is the caller listener as host:port.
	CallAddress string `json:"call_address"`
	// AdminAddress is the administration listener as host:port.
	AdminAddress string `json:"admin_address"`
	Slots        int    `json:"slots"`
	Publisher    bool   `json:"publisher,omitempty"`
	// UpstreamLost is set by a node whose upstream does not answer. It is apart
	// from State, because such a node still relays versions and heartbeats.
	UpstreamLost bool `json:"upstream_lost,omitempty"`
}

// ServiceState returns the state that calls go by: that of the node, or
// Suspect if its upstream does not answer.
func (e *Entry) ServiceState() EntryState {
	if e.State == Ready && e.UpstreamLost {
		return Suspect
	}
	return e.State
}

// AddressFrom returns the peer address to use from a node in region r.
func (e *Entry) AddressFrom(r Region) string {
	if a, ok := e.RegionAddresses[r]; ok {
		return a
	}
	return e.Address
}

// Newer reports whether e replaces o in a merge: the higher generation wins,
// then the higher sequence, then the later state.
func (e *Entry) Newer(o *Entry) bool {
	if e.Generation != o.Generation {
		return e.Generation > o.Generation
	}
	if e.Sequence != o.Sequence {
		return e.Sequence > o.Sequence
	}
	return e.State > o.State
}
