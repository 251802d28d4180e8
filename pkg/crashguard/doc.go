// Package crashguard detects requests that crash the upstreams that run them. A
// request is identified by a fingerprint and is refused after two crashes with
// the same fingerprint. Nodes share crashes through the interface Registry.
//
// Every call that was in flight on a crashed upstream is suspected once. The
// suspicion ends when the request completes, unless it was the only one in
// flight, and in any case after 2 minutes. A request with two crashes is refused
// for 10 minutes. The bound of two crashes holds for requests that are sent one
// after the other: copies that run at the same time can each crash the upstream
// that they have already reached.
package crashguard
