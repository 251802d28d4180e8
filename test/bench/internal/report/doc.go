// Package report prints figures, fits lines through them, and ends a
// measurement that failed.
package report
