// Package membership keeps the roster: the replicated list of entries that
// nodes announce about themselves. It merges entries, derives tree positions
// from them, judges leases and suspicion, and stores the roster rows in the
// table service.
//
// Decisions (merge, tree, candidates, watch) are pure: time, randomness and
// input are arguments. Roster is the concurrent shell around them. The view
// that the call path reads is immutable and replaced whole.
package membership
