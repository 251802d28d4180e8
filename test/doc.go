// Package test holds the integration tests and benchmarks that run the built
// binaries as real processes.
package test
