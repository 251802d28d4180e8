// Package distribution keeps the version in force in this process and relays
// versions, heartbeats and roster changes through the overlay.
//
// Holder keeps the version in force. Relay is the HTTP shell: it serves
// streams to children, follows the stream of a parent, renews the lease,
// watches other nodes and compares rosters. Its decisions are pure functions
// in this package and in package membership; the messages are in package wire.
package distribution
