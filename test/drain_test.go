package test

import (
	"syscall"
	"testing"
	"time"

	standin "github.com/lentilflow/lentilflow/pkg/standin/platform"
)

const (
	drainTime = 3 * time.Second
	// drainAllowance covers the calls that were sent before the 3 s ended and
	// the start of the work at the upstream on a busy machine.
	drainAllowance = 1 * time.Second
)

// TestDrainWithStoreDown guards against a drain that needs the store: the
// leaving upstream would go on to get work (invariant I7).
func TestDrainWithStoreDown(t *testing.T) {
	parallel(t)
	c := start(t, bertolucci())
	victim := c.of(func(n *node) bool { return n.service == c.d.services[0] })[3]
	others := c.without([]*node{victim})
	c.store.SetFaults(standin.Faults{Down: true})
	calls := c.traffic(others, pollInterval, read, answer.ok)
	time.Sleep(time.Second)
	before := len(c.ledger(victim))
	if before == 0 {
		t.Errorf("%s got no calls before the drain", victim.id)
	}
	drained := time.Now()
	victim.process.signal(syscall.SIGTERM)
	time.Sleep(drainTime + 4*drainAllowance)
	for _, run := range c.ledger(victim)[before:] {
		if late := run.Start.Sub(drained); late > drainTime+drainAllowance {
			t.Errorf("%s got a call %s after the drain began", victim.id, late)
		}
	}
	if made, bad := calls.end(); len(bad) > 0 {
		t.Errorf("%d of %d calls failed, the first: %s", len(bad), made, bad[0])
	}
	if !victim.process.endsWithin(stopTimeout) {
		t.Errorf("%s has not ended %s after SIGTERM", victim.id, stopTimeout)
	}
}
