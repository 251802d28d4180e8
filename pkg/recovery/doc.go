// Package recovery keeps what a node has acknowledged or learned where the node's
// next process finds it: in the platform's store and at other nodes. A node has no
// disk, so its memory ends with its process.
//
// A departure of an upstream is acknowledged once the store or other nodes hold it
// (Saver). A process that starts gets the departures of its upstream back from both
// (Evidence decides when it has enough of them).
package recovery
