// Package gossip exchanges messages between nodes: the versions of the
// configuration and of the fleet that each node has, whether a node accepts
// calls, and crash notices.
//
// News of a version of the configuration travel by announcements between zones and
// by beacons within them. RunCatchUp sends the announcements, and fetches what other
// nodes are known to have and the store has not delivered (package catchup).
//
// Within an availability zone the relays (package relay) send datagrams with
// their versions to the other nodes, which fetch what they do not have
// (Datagram). A Schedule decides when a node reads the store itself. Across
// zones every node exchanges digests with one other node at a time (Run). This
// supplies nodes whose store calls fail, and nodes that restart while the store
// is unavailable.
//
// A node announces whether it accepts calls by datagrams to its zone and by a
// message to one node of each other zone, which forwards it (Announce). Crash
// notices are sent to all nodes directly. Nodes that a connection could not
// reach are probed (Probe).
package gossip
