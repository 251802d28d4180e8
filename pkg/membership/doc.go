// Package membership keeps the roster: which nodes announce themselves, with
// which upstream, and in which state.
package membership
