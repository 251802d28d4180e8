// Package crashguard recognises requests that crash the upstreams that run
// them. A request is known by a fingerprint; after two crashes that share one
// fingerprint the request is refused. Nodes share what they saw through the
// interface Notices.
package crashguard
