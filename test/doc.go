// Package test holds the integration tests that run the built node as real
// processes, between stand-ins of the platform that run in the test process.
package test
