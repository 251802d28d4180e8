// Package claim makes sure that a non-idempotent call runs at most once for
// an idempotency key. A node inserts a claim row in the table service before
// it dispatches the call; the row decides what later requests with the same
// key are told. Claims have no lease: no node takes over a claim.
//
// decide.go is the pure core; group.go collects operations into transactions;
// settle.go runs a transaction and resolves conflicts and lost answers;
// sweep.go deletes rows that nobody needs any more.
package claim
