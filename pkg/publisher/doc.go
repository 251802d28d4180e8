// Package publisher decides which rules files become versions. The holder of
// the publisher lease polls the rules file, checks it whole and either stores
// it as the next version or records why it is refused.
//
// Safety rests on the transaction that compares the head row; the lease only
// keeps several candidates from doing the same work. lease.go and decide.go
// are the pure core; accept.go does the writes; queries.go and commands.go
// serve the administration API.
package publisher
