package play

import (
	"reflect"
	"testing"
	"time"
)

// starvedShare is the least part of the mean that a kind of request must get
// (the users' gate).
const starvedShare = 0.25

func pattern(t *testing.T, name string) Pattern {
	t.Helper()
	for _, p := range Patterns() {
		if p.Name == name {
			return p
		}
	}
	t.Fatalf("no pattern %q", name)
	return Pattern{}
}

// Guards comparisons: two policies must meet the same arrivals, so one seed has
// to decide everything.
func TestSeedDecidesAll(t *testing.T) {
	p := pattern(t, "all callers back after a loss of all processes")
	p.Length = 3 * time.Second
	a, b, c := Run(p, Product(), 1), Run(p, Product(), 1), Run(p, Product(), 2)
	if !reflect.DeepEqual(a, b) {
		t.Errorf("the same seed gave %+v and %+v", a, b)
	}
	if reflect.DeepEqual(a, c) {
		t.Errorf("two seeds gave the same %+v", a)
	}
}

// Guards every kind of request under each load: none is starved.
func TestNoKindIsStarved(t *testing.T) {
	for _, p := range Patterns() {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			p.Length = 10 * time.Second
			r := Run(p, Product(), 1)
			for kind, share := range r.Kinds {
				if share < starvedShare*r.Whole {
					t.Errorf("%s earned %.2f of its worth, all kinds together %.2f", kind, share, r.Whole)
				}
			}
			if r.Served <= 0 || r.Served > 1 || r.Windows > r.Whole || r.Kind > r.Whole {
				t.Errorf("impossible result %+v", r)
			}
		})
	}
}

// Guards the mechanisms by the load that each answers: callers are served better
// with it than without.
func TestMechanismsAnswerTheirPatterns(t *testing.T) {
	for load, variant := range map[string]string{
		"flood of one kind":         "late calls in their turn",
		"a zone's callers moved":    "no other upstream before the queue",
		"a third of a service grey": "no retries",
	} {
		t.Run(load, func(t *testing.T) {
			t.Parallel()
			p := pattern(t, load)
			p.Length = 14 * time.Second
			without := Product()
			for _, v := range Variants() {
				if v.Name == variant {
					v.Change(&without)
				}
			}
			if without == Product() {
				t.Fatalf("no variant %q", variant)
			}
			const seed = 1
			with, off := Run(p, Product(), seed), Run(p, without, seed)
			if with.Worth() <= off.Worth() {
				t.Errorf("worth %.3f, %.3f with %s", with.Worth(), off.Worth(), variant)
			}
		})
	}
}

// Guards the linking of faults to time and place.
func TestFaultsHaveTheirTime(t *testing.T) {
	p := booking("test", 1, Fault{From: time.Second, To: 2 * time.Second, Kind: "lookup", Zone: 1, Factor: 3})
	p.Swing = 0
	k := p.kind("lookup")
	for _, c := range []struct {
		zone int
		at   time.Duration
		want float64
	}{{1, 0, 75}, {1, time.Second, 225}, {0, time.Second, 75}, {1, 2 * time.Second, 75}} {
		if got := p.rate(k, c.zone, c.at); got != c.want {
			t.Errorf("zone %d at %s: %.0f a second, want %.0f", c.zone, c.at, got, c.want)
		}
	}
	if p.kind("none") != nil {
		t.Error("a kind that does not exist was found")
	}
}
