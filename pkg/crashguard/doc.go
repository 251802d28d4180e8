// Package crashguard recognises requests that crash the upstreams that run
// them. A request is known by a fingerprint; after two crashes that share one
// fingerprint the request is refused. Nodes share what they saw through the
// interface Notices.
//
// Every call that was in flight on a crashed upstream is suspected once. The
// suspicion ends when the request completes, unless it ran alone, and by
// itself after 2 minutes; a request with two crashes is refused for 10
// minutes. The bound of two crashes holds for requests that are sent one after
// the other: copies that run at the same time can each crash the upstream that
// they have already reached.
package crashguard
