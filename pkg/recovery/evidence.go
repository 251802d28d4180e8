package recovery

// enoughNodes is the number of settled nodes whose answers are sufficient without the
// store: as many as hold a departure that was acknowledged at once without the store.
const enoughNodes = enoughHolders

// Evidence is what a process that has started has received of the departures that
// earlier processes of its node have acknowledged.
type Evidence struct {
	// StoreRead says that the store has returned the departures of this node.
	StoreRead bool
	// Settled is the number of other nodes that have answered and are settled: they
	// have recovered themselves, or have run for longer than reports can be late.
	Settled int
	// Others is the number of other nodes, and OthersKnown says that it is known.
	Others      int
	OthersKnown bool
	// HealthPath says that the upstream can be asked which boot it is.
	HealthPath bool
}

// Complete reports whether no departure can be missing that could still matter. After
// all processes have ended together there is no settled node; departures that were
// acknowledged while the store was away are then lost, and only the upstream itself
// can tell whether it is leaving.
func (e *Evidence) Complete() bool {
	switch {
	case e.Settled >= enoughNodes:
		return true
	case !e.StoreRead:
		return false
	}
	return e.Settled > 0 || e.OthersKnown && e.Others == 0 || !e.HealthPath
}
