// Package faultproxy is a small TCP proxy that injects faults for tests:
// latency, limited bandwidth, refused and reset connections, blackholes, and
// cuts in the middle of a stream. Conditions can change while it runs.
package faultproxy
