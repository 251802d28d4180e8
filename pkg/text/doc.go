// Package text compares and compresses rules files. Its functions do no input
// or output and are safe for concurrent use.
package text
