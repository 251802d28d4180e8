// Package rollout decides how the traffic of a service moves from upstreams of one
// software version to upstreams of another one, which an order of the operator names.
//
// A node of the service coordinates (Turn). It collects the counts that the nodes
// beside the upstreams make (Recorder, Evidence), compares both versions (Verdict),
// and moves the rollout through its phases (Bounds.Next). All nodes hold the State of
// each rollout in a Table, from which they learn which version may run a call (View).
//
// Nothing here does I/O. Time is an argument.
package rollout
