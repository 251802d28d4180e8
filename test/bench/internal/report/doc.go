// Package report prints figures and fits lines through them.
package report
