// Package delta encodes the difference between two rules files as compressed
// line operations. It is pure.
package delta
