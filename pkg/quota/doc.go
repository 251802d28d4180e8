// Package quota limits the requests of a team over all nodes together without a
// coordination service. Each node is entitled to a share of every limit, its weight,
// and delegates it for a short time to a holder of its area. The holder mints tokens
// for the weights that it has, and grants them to nodes that ask. docs/design/quota.md
// has the protocol and the proof of the limit.
//
// All times are readings of CLOCK_BOOTTIME, which continues while a VM is frozen. They
// are passed in, as a duration since the boot of the VM.
package quota
