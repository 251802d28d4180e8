// Package contact bounds the time without a response of the store to any node.
//
// A node that follows the store waits for changes on an open connection. It cannot tell a
// connection that has fallen silent from one on which there is nothing to report, and with
// it, it misses every later change. Each response of the store shows that its receiver
// knows all changes so far. The receiver tells the other followers, so that a few
// responses are enough for all of them.
//
// The bound needs no agreement: each follower asks the store itself, on a new connection,
// once it has neither received a response nor heard of one for its own timeout. The rank
// of a node determines only how many nodes ask. Nodes may start at any time, be down, or
// know different members of the fleet.
package contact
