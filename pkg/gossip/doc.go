// Package gossip carries messages between nodes: what each has of the
// configuration and of the fleet, whether it takes work, and crash notices.
// The store is the usual way of configuration and fleet; these messages serve
// nodes that the store does not answer, and nodes that start anew while it is
// away. Every node asks one other node at a time, so the load of a node does
// not grow with the fleet.
package gossip
