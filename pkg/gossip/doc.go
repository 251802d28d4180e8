// Package gossip carries messages between nodes: what each has of the
// configuration and of the fleet, whether it takes work, and crash notices.
//
// Within an availability zone the relays (package relay) tell the other nodes
// by datagrams what they have, and these fetch what they lack (Turns, Datagram).
// Across zones every node exchanges digests with one other node at a time, which
// serves nodes that the store does not answer and nodes that start anew while it
// is away. Whether a node takes work is told to its zone by datagram and to one
// node of each other zone, which passes it on (Announce). Only crash notices go
// to all nodes. Nodes that did not answer a connection are probed (Probe).
package gossip
