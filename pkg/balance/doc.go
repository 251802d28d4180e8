// Package balance chooses the upstream of a call. It prefers near upstreams and
// uses more distant ones only if the nearer ones are exhausted or refuse calls.
// Among upstreams at the same distance it compares two random ones by local
// statistics. Time and randomness are arguments.
//
// Stats holds what this node has observed of one upstream: calls in flight,
// latency, connection failures and, by rank, refusals. Apart from the calls in
// flight, these observations decay with time. Upstreams at one distance that
// accept only part of the calls of a rank are sent up to twice as many as they
// accept. The other calls go to the next distance, or are refused if there is
// none. Connection failures lower the probability that an upstream is chosen.
// Nodes that have reported that their upstream is not serving are used if no
// other node is left. Unreachable nodes are never used; the probes of pkg/gossip
// detect when they are reachable again.
//
// If a call of a route would wait too long at an upstream, a backoff excludes that
// upstream for the route (BackOff). If a backoff applies to all upstreams, the
// call waits at one of the nearest.
package balance
