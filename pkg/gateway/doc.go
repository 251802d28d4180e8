// Package gateway handles the calls that a node receives. A call passes through
// at most two nodes:
//
//   - the local node of the caller matches the call to a route and selects an
//     upstream of the route's service. It is the only node that retries the call;
//   - the local node of the upstream admits the call and runs it. Only this node
//     knows whether its upstream is draining, which boot it is and how many slots
//     are free, so it can refuse a call before the upstream sees it.
//
// # Run states
//
// The run state of a call is not_run if nothing was sent to an upstream, if the
// upstream reported that it did not run the request, or if the local node of the
// upstream refused it. Every other call without a response is unknown. A
// non-idempotent call with an unknown outcome ends with status 502 or 504, which
// do not state whether the request has run.
//
// # Header fields between nodes
//
//	Lentilflow-Call      service, route, rank, weight, remaining milliseconds, longest
//	                     acceptable wait in milliseconds (0 for any), 1 if idempotent,
//	                     version in force at the caller's node, 1 if a download, latency
//	                     target and the time left until it is missed in milliseconds,
//	                     escaped name of the team if there is one
//	Lentilflow-Attempt   ID of the attempt, repeated by the response
//	Lentilflow-Answer    the word upstream, queue time and service time in milliseconds
//	Lentilflow-Refusal   reason, run state, milliseconds until a retry is worthwhile, 1 if
//	                     no upstream saw the request, expected wait in milliseconds
//	Lentilflow-Upstream  start of a boot in Unix milliseconds, its rate limit per second
//	                     or -, 1 if it is leaving, and its ID; in responses, and in
//	                     attempts as the sender knows it from an earlier response
//	Lentilflow-Withdraw  ID of an attempt to cancel unless it is running
//
// They are removed from requests of callers and from responses of upstreams.
package gateway
