// Package gateway is the path of a call on the users' platform. A call passes
// through at most two nodes:
//
//   - the node on the caller's VM matches it to a route, chooses the node
//     beside an upstream of the route's service, and is the only one that
//     repeats it;
//   - the node beside the upstream admits it and runs it. It alone knows
//     whether its upstream is leaving, which boot it is and how many slots are
//     free, so it turns work away before the upstream sees it.
//
// # Run states
//
// A call is not_run if nothing was sent, if the upstream said so, or if the
// node beside the upstream refused it. Everything else without an answer is
// unknown, and a non-idempotent call with an unknown outcome ends with a 502 or
// 504 status, which promise nothing.
//
// # Headers between nodes
//
//	Lentilflow-Call      service, route, rank, worth, remaining milliseconds, patience in
//	                     milliseconds, 1 if idempotent, version in force where the call
//	                     was taken, 1 if the answer is large, latency target and what is
//	                     left of it in milliseconds
//	Lentilflow-Attempt   name of the attempt, repeated by the answer
//	Lentilflow-Answer    milliseconds waited for a slot, milliseconds at the upstream
//	Lentilflow-Refusal   reason, run state, milliseconds until a return is worthwhile, 1 if
//	                     no upstream saw it, milliseconds of the expected wait
//	Lentilflow-Withdraw  name of an attempt that is to end unless it runs
//
// They are removed from requests of callers and from answers of upstreams.
package gateway
