package recovery

// Answers is what other nodes have answered to a process that has started. Holders are
// the nodes to which departures of its upstream are sent first.
type Answers struct {
	Others  int // other nodes that are known
	Holders int
	// CompleteHolders is the number of holders that have answered and hold all
	// departures that were sent to them (Departures.CompleteFor).
	CompleteHolders int
	// Settled is the number of nodes that have answered and have recovered what
	// earlier processes of their own knew.
	Settled int
}

// Evidence is what a process that has started has received of the departures that
// earlier processes of its node have acknowledged.
type Evidence struct {
	// StoreRead says that the store has returned the departures of this node.
	StoreRead bool
	// Asked says that other nodes have been asked, and Answers holds their best answers.
	Asked bool
	Answers
	// HealthPath says that the upstream can be asked which boot it is.
	HealthPath bool
}

// Complete reports whether no departure can be missing that could still matter. Without
// the store that takes so many complete holders that any enoughHolders, as a departure
// has, include one of them.
//
// With the store one complete holder is enough. If there is none, the processes of the
// holders have ended together with the one before this, and departures that were
// acknowledged while the store was away are lost with them. Only the upstream itself can
// tell then whether it is leaving.
func (e *Evidence) Complete() bool {
	switch {
	case e.Holders >= enoughHolders && e.CompleteHolders > e.Holders-enoughHolders:
		return true
	case !e.StoreRead || !e.Asked:
		return false
	}
	return e.CompleteHolders > 0 || e.Others == 0 || !e.HealthPath
}
