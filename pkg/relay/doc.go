// Package relay selects the relays of an availability zone: the nodes that
// follow the platform's store on behalf of the whole zone, so that the number
// of requests to the store does not grow with the fleet.
//
// The nodes of a zone are ordered by a hash of their names (rendezvous hashing;
// Thaler and Ravishankar, 1998). The first two that seem to work are its relays.
// There is no election: each node decides from the beacons that it has received.
// If nodes disagree for a while, a third node reads the store too, which is
// harmless. A node that receives no beacon reads the store itself, at most once
// per BeaconTimeout.
package relay
