// Package problem defines the RFC 9457 problem details in which nodes report
// refusals to callers.
package problem
