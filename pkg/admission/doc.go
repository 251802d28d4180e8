// Package admission decides which calls the local upstream runs: slots, ranks
// with floors, short queues and an adaptive limit. Core is pure and takes the
// time as an argument; Gate makes it usable by concurrent calls.
package admission
