// Package devcluster runs a whole deployment on loopback in one process: the
// stand-in of the platform's store, and upstreams with a node beside each. It
// serves "lentilctl dev" and tests.
package devcluster
