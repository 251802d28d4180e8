// Package operator is what the operator's command does with a deployment:
// commands put rules files in force, queries tell what is in force where.
// Operators talk to the store, never to a node, to change anything; a query
// also asks the nodes for their state.
package operator
