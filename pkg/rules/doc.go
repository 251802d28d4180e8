// Package rules parses and checks the rules file. It also compares two files,
// finds the version and the person behind each line, and explains which rule
// matches a call. It does no I/O, and its functions are safe for concurrent use.
package rules
