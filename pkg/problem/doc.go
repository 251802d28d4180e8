// Package problem writes and reads the RFC 9457 problem details with which
// nodes refuse calls.
package problem
