// Package gossip carries messages between nodes: what each has of the
// configuration and of the fleet, whether it takes work, and crash notices.
// The store is the usual way of configuration and fleet; these messages serve
// nodes that the store does not answer, and nodes that start anew while it is
// away. Every node asks one other node at a time, so the load of a node does
// not grow with the fleet; only announcements and crash notices go to all.
//
// Nodes that did not answer a connection are probed (Probe), and while
// configurations come in quick succession one node of each availability zone
// passes them to its neighbours (Reads, Spread).
package gossip
