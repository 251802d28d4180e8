package test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
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
		text := c.d.rules(edit)
		c.store.SetFaults(f.faults)
		err := c.put(c.nodes[len(c.nodes)-1], text, tag)
		time.Sleep(2 * time.Second) // the publisher works with the fault for a while
		c.store.SetFaults(standin.Faults{})
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

const (
	cutTime = 20 * time.Second
	// staleAfter is the age from which answers state it (docs/design.md,
	// section 9).
	staleAfter = 15 * time.Second
)

// TestCutRegionServesAndCatchesUp guards against a region that stops serving
// when it is cut off, hides how old its configuration is, or does not take the
// newest version afterwards.
func TestCutRegionServesAndCatchesUp(t *testing.T) {
	parallel(t)
	c := start(t, haneul())
	region := c.d.regions[len(c.d.regions)-1] // has no store
	inside := c.of(func(n *node) bool { return n.region == region })
	outside := c.without(inside)
	before := c.edit
	calls := c.traffic(inside, pollInterval, read, answer.ok)

	c.links.cut(region, true)
	cutAt := time.Now()
	edit := c.change(outside[0])
	c.awaitEdit(edit, outside, recoverTimeout)
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	for _, n := range inside {
		a := c.call(n, read())
		age, err := strconv.ParseFloat(a.header.Get("Lentilflow-Config-Age"), 64)
		if !a.ok() || a.header.Get("Lentilflow-Asked-By") != operator(before) || err != nil || age < staleAfter.Seconds() {
			t.Errorf("%s in the cut region: %s, asked by %q, age %q", n.id, a,
				a.header.Get("Lentilflow-Asked-By"), a.header.Get("Lentilflow-Config-Age"))
		}
	}
	if text := c.each(inside, func(s state) string {
		if s.AgeSeconds < staleAfter.Seconds() || s.AgeSeconds > time.Since(cutAt).Seconds()+staleAfter.Seconds() {
			return "age in the state is " + strconv.FormatFloat(s.AgeSeconds, 'f', 1, 64)
		}
		return ""
	}); text != "" {
		t.Error(text)
	}

	c.links.cut(region, false)
	c.awaitEdit(edit, c.nodes, recoverTimeout)
	c.awaitRosters(model.Ready, len(c.nodes), recoverTimeout)
	if made, bad := calls.end(); len(bad) > 0 {
		t.Errorf("%d of %d calls in the cut region failed, the first: %s", len(bad), made, bad[0])
	}
}
