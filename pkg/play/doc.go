// Package play simulates a deployment of many nodes in virtual time. Decisions are
// made by the packages that nodes use (admission, balance, retry and shaping).
// Callers and their retries, upstreams that are cold, slow or shed requests, links
// and network latency are simulated as events on one clock. A Scenario describes
// the deployment, its load and its faults. A Policy sets the parameters of the
// decisions. A seed determines all random draws, so that policies can be compared
// with equal seeds.
//
// The simulation covers decisions only. It has no membership, no store and no
// network protocol, and every node knows every upstream. What nodes do between the
// decisions follows pkg/gateway.
package play
