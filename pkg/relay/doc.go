// Package relay decides which nodes of an availability zone follow the platform's
// store for all of it, so that calls of the store do not grow with the fleet.
//
// The nodes of a zone are ranked by a hash of their names (rendezvous hashing;
// Thaler and Ravishankar, 1998). The first two that seem to work are its relays.
// There is no election: each node decides from what it has heard. Two opinions
// for a while mean that a third node reads too, which is harmless. A node that
// hears no relay reads the store itself, at most once in a Silence.
package relay
