// Package store is a stand-in for the metadata store of the users' platform,
// written to its published protocol: rows, transactions, and a feed of changes.
// Everything is in memory. Faults are set for each endpoint, so that the store
// can fail for some nodes and serve the others.
package store
