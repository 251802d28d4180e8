package test

import (
	"testing"
	"time"
)

const (
	crashRepeats = 20
	// crashLimit is the number of upstreams of a service that one request may
	// bring down: the guard knows it after the second crash.
	crashLimit = 2
)

// TestCrashingRequestIsStopped guards against a request that brings down every
// upstream of its service because its caller sends it again.
func TestCrashingRequestIsStopped(t *testing.T) {
	parallel(t)
	c := start(t, haneul())
	for i := range crashRepeats {
		a := c.call(c.nodes[i%len(c.nodes)], crashingRead())
		if a.ok() || !honest(a) {
			t.Errorf("call %d: %s", i, a)
		}
		time.Sleep(pollInterval)
	}
	if fallen := c.crashed(); len(fallen) == 0 || len(fallen) > crashLimit {
		t.Errorf("%d upstreams have crashed, at least 1 and at most %d should", len(fallen), crashLimit)
	}
	c.awaitCalls(c.nodes, recoverTimeout)
}
