// Package node wires the packages of one node together: its listeners, the
// overlay, the publisher, the call path and the administration API. It owns
// the start order and the graceful stop.
package node
