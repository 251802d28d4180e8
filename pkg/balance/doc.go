// Package balance chooses the upstream of a call. It prefers near upstreams
// and moves outward only when the nearer ones are exhausted or refuse calls;
// among equals it compares two random ones by local evidence. Time and
// randomness are arguments.
package balance
