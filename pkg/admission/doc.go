// Package admission decides which calls the local upstream runs: slots, ranks
// with floors and short queues. Core is pure and takes the
// time as an argument; Gate makes it usable by concurrent calls.
//
// A free slot goes to the most urgent waiting rank that runs fewer calls than
// its floor, and otherwise to the most urgent waiting rank, so unused floors
// are lent out. Within a rank the rules share by worth; worth does not change
// the order of ranks. Within a rule, calls that can still meet their latency
// target go before those that have missed it.
//
// A call is refused at once when it cannot finish before its deadline at the
// current service times. When the queue is full the last call of the least
// urgent rank makes room for a more urgent one; a rank always keeps as many
// waiting places as its floor has slots.
package admission
