// Package devcluster runs a whole deployment on loopback in one process: a
// stand-in of the platform's store, stand-ins of the upstreams, and one node for
// each upstream. "lentilctl dev" and its tests use it.
package devcluster
