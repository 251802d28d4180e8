// Package test contains integration tests that run the built node as real
// processes. The store and the upstreams are stand-ins of the platform that run
// in the test process.
package test
