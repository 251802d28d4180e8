// Package routing turns a checked rules file into an immutable snapshot that
// matches calls to rules.
package routing
