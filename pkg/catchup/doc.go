// Package catchup decides how a node gets a newer version of shared state, the
// configuration or the fleet, that other nodes have and the platform's store has
// not delivered to it. It does no I/O.
//
// A Tracker records which newer versions are known, since when, and at which
// nodes.
package catchup
