// Package balance chooses the upstream of a call. It prefers near upstreams
// and moves outward only when the nearer ones are exhausted or refuse calls;
// among equals it compares two random ones by local evidence. Time and
// randomness are arguments.
//
// Evidence is what this node has seen itself: calls in flight, latency,
// connection failures and, by rank, refusals. All of it fades. A distance that
// accepts only part of the calls of a rank is offered a quarter more than it
// accepts; the rest goes to the next distance, or is refused when there is
// none. Connection failures lower the chance of an upstream but never exclude
// it, and suspected upstreams are used when no other is left.
package balance
