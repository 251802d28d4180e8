// Package admission decides which calls the local upstream runs, by slots, ranks
// with floors and short queues. Core makes the decisions and takes the time as
// an argument; Gate makes it usable by concurrent calls.
//
// A free slot goes to the most urgent waiting rank that runs fewer calls than
// its floor, or else to the most urgent waiting rank. Other ranks can thus use
// the slots of an unused floor. Within a rank, the rules share the service time
// by weight ("worth" in the rules file); weights do not change the order of
// ranks. Within a rule, calls that can still meet their latency target go before
// those that have missed it, and teams share the starts by their weights.
//
// Under a rate limit that the upstream states, calls also wait for a token bucket.
// The floors are then shares of the starts, and the rules of a rank share the
// starts by weight.
//
// A call is refused at once if it cannot finish before its deadline at the
// current service times. If the queue is full, a call that can still meet its
// latency target displaces a call of its own or a less urgent rank that cannot.
// If there is none, the last call of the least urgent rank is dropped for a more
// urgent call, except from a rank that has no more waiting calls than its floor has
// slots.
package admission
