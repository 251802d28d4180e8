// Package catchup decides how a node gets a newer version of shared state, the
// configuration or the fleet, that other nodes have and the platform's store has
// not delivered to it. It does no I/O; a caller supplies the time.
//
// The store is only one of two ways to a version. The other one must not depend on
// what the store does to a node, and has a bound of its own: an Announcer makes each
// zone know of a version soon after one node has it, and a Tracker remembers which
// nodes have it, and chooses when to fetch it and from which of them.
package catchup
