// Package rules reads the rules file: its grammar, its checks, the difference
// between two files, and who asked for a line. It is pure.
package rules
