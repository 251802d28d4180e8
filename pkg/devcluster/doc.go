// Package devcluster runs a whole deployment on loopback in one process: the
// stand-in of the platform, the upstreams and a node beside each of them.
package devcluster
