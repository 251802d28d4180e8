// Package mesh runs deployments of real node processes for the measurement
// programs: stand-ins for the store and the upstreams, links with latency and
// byte counters between regions, and readings of time, processor, memory and
// bytes.
package mesh
