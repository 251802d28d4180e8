// Package balance chooses the upstream of a call. It prefers near upstreams
// and moves outward only when the nearer ones are exhausted or refuse calls;
// among equals it compares two random ones by local evidence. Time and
// randomness are arguments.
//
// Evidence is what this node has seen itself: calls in flight, latency,
// connection failures and, by rank, refusals. All of it fades. A distance that
// accepts only part of the calls of a rank is offered twice what it accepts; the
// rest goes to the next distance, or is refused when there is none. Connection
// failures lower the chance of an upstream. Nodes that said that they take no
// work are used when no other is left, unreachable ones never: probes of
// pkg/gossip find out when they are back.
//
// An upstream that would let a call of a route wait too long is held off for
// that route (Hold); if all are, the call waits at one of the nearest.
package balance
