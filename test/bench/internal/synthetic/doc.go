// Package synthetic stands in for a large fleet around one real node: it holds
// as many roster entries as asked for, acts as the node's parent and as its
// children, and sends versions and roster changes at chosen rates.
package synthetic
