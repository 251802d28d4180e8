package test

import (
	"context"
	"testing"
	"time"

	"github.com/lentilflow/lentilflow/pkg/publisher"
	standin "github.com/lentilflow/lentilflow/pkg/standin/platform"
)

// TestStoreFaultsDuringPut guards against calls that depend on the store, a
// put that is reported wrongly, and an edit that becomes two versions or none.
func TestStoreFaultsDuringPut(t *testing.T) {
	parallel(t)
	c := start(t, haneul())
	calls := c.traffic(c.nodes, 2*pollInterval, read, answer.ok)
	versions := 1
	for _, f := range []struct {
		name   string
		faults standin.Faults
		lands  bool // the write of the put takes effect
	}{
		{"down", standin.Faults{Down: true}, false},
		{"slow", standin.Faults{Delay: 800 * time.Millisecond}, true},
		{"slower than the time limit of the nodes", standin.Faults{Delay: 4 * time.Second}, true},
		{"answers lost", standin.Faults{LoseShare: 1}, true},
	} {
		tag := c.etag(c.nodes[0])
		edit := c.edit + 1
		text := c.d.rules(t, edit)
		c.store.SetFaults(f.faults)
		err := c.put(c.nodes[len(c.nodes)-1], text, tag)
		time.Sleep(2 * time.Second) // the publisher works with the fault for a while
		c.store.SetFaults(standin.Faults{})
		if err != nil {
			t.Logf("store %s: %v", f.name, err)
		}
		if !f.lands {
			if err == nil {
				t.Errorf("store %s: the put was reported as done", f.name)
			}
			if c.etag(c.nodes[0]) != tag {
				t.Errorf("store %s: the rules file has changed", f.name)
			}
			continue
		}
		c.eventually("store "+f.name+": the put file is stored", inForceTimeout, func() string {
			o, err := c.store.Blobs.Get(context.Background(), publisher.RulesObject)
			if err != nil || string(o.Body) != text {
				return "the file does not hold the edit"
			}
			return ""
		})
		c.edit = edit
		versions++
		c.awaitEdit(edit, c.nodes, recoverTimeout)
	}
	c.checkOrder(versions)
	if made, bad := calls.end(); len(bad) > 0 {
		t.Errorf("%d of %d calls failed, the first: %s", len(bad), made, bad[0])
	}
}
