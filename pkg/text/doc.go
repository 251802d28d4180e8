// Package text compares and compresses rules files. It is pure.
package text
