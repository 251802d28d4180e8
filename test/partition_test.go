package test

import (
	"strconv"
	"testing"
	"time"
)

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
	inside := c.of(func(n *node) bool { return n.zone.region == region })
	outside := c.without(inside)
	before := c.edit
	calls := c.traffic(inside, pollInterval, read, answer.ok)

	c.links.cut(region)
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
	if text := c.each(inside, func(_ *node, s state) string {
		if s.AgeSeconds < staleAfter.Seconds() || s.AgeSeconds > time.Since(cutAt).Seconds()+staleAfter.Seconds() {
			return "age in the state is " + strconv.FormatFloat(s.AgeSeconds, 'f', 1, 64)
		}
		return ""
	}); text != "" {
		t.Error(text)
	}

	c.links.heal(region)
	c.awaitEdit(edit, c.nodes, recoverTimeout)
	c.awaitRosters(recoverTimeout)
	if made, bad := calls.end(); len(bad) > 0 {
		t.Errorf("%d of %d calls in the cut region failed, the first: %s", len(bad), made, bad[0])
	}
}
