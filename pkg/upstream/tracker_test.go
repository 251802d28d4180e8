package upstream

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func readyReport(id string, startedAt int64, sequence uint64) Report {
	return Report{ID: id, Start: StartedAt(startedAt), Sequence: sequence, Slots: 3}
}

// leave sends a departure to a tracker, which arrives at a Unix time of 1000 s.
func leave(tr *Tracker, id string, start Start) Verdict {
	v, _ := tr.Leave(id, start, time.Unix(1000, 0))
	return v
}

// Guards the order of reports: late reports and reports of an older boot are
// stale, and a restart with the same id replaces the boot.
func TestReportOrder(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	is.Equal(tr.Report(readyReport("a", 100, 5)), Changed)
	is.Equal(tr.Report(readyReport("a", 100, 6)), Confirmed)
	is.Equal(tr.Report(readyReport("a", 100, 4)), Stale)
	is.Equal(tr.Report(readyReport("old", 90, 99)), Stale) // delayed by a network partition
	is.Equal(tr.Report(readyReport("a", 200, 1)), Changed) // restart with the same id
	is.Equal(tr.Report(readyReport("a", 100, 7)), Stale)
	is.Equal(leave(&tr, "a", StartedAt(100)), Stale) // the older boot of that id
	_, ok := tr.Current()
	is.True(ok)
	is.Equal(leave(&tr, "a", StartedAt(200)), Changed)
	_, ok = tr.Current()
	is.True(!ok)
	is.Equal(tr.Report(readyReport("a", 200, 9)), Stale) // a late report of a boot that left
	is.Equal(tr.Report(readyReport("a", 300, 1)), Changed)
}

// Guards against a draining report that is ignored because newer reports
// arrived before it.
func TestLateDrainingReportApplies(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	tr.Report(readyReport("a", 1, 5))
	late := readyReport("a", 1, 4)
	late.Draining = true
	is.Equal(tr.Report(late), Changed)
	_, ok := tr.Current()
	is.True(!ok)
	tr.Report(readyReport("a", 1, 6))
	_, ok = tr.Current()
	is.True(!ok)
}

// Guards against a draining boot that becomes current again after a newer boot
// replaced it, when the only report of the newer boot says that it is draining.
// Found by TestAcknowledgedDeparturesAreFinal.
func TestDrainingBootDoesNotReturnAfterNewerBoot(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	drain := func(r Report) Report {
		r.Draining = true
		return r
	}
	tr.Report(readyReport("b", 3, 1))
	tr.Report(drain(readyReport("b", 3, 2)))
	tr.Report(drain(readyReport("a", 4, 1)))
	for sequence := range uint64(9) {
		is.Equal(tr.Report(readyReport("b", 3, 3+sequence)), Stale)
	}
	_, ok := tr.Current()
	is.True(!ok)
}

// tracker is the interface under test; broken variants implement it too.
type tracker interface {
	Report(Report) Verdict
	Leave(string, Start, time.Time) (Verdict, Departure)
	MarkLeaving(string, Start) Verdict
	Current() (Boot, bool)
}

// checkTracker sends reports and departures of a few boots in random order. It
// returns the first property that does not hold, or "".
func checkTracker(t *rapid.T, tr tracker) string {
	type boot struct {
		id    string
		start Start
	}
	left := map[boot]bool{}
	newest := Start{}
	reports := map[boot]int{}
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		b := boot{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"), StartedAt(rapid.Int64Range(1, 4).Draw(t, "born"))}
		switch rapid.IntRange(0, 5).Draw(t, "event") {
		case 0:
			tr.Leave(b.id, b.start, time.Time{})
			left[b] = true
		case 1:
			tr.MarkLeaving(b.id, b.start)
			left[b] = true
		default:
			r := readyReport(b.id, b.start.UnixMilli(), rapid.Uint64Range(1, 9).Draw(t, "sequence"))
			if r.Draining = rapid.IntRange(0, 5).Draw(t, "draining") == 0; r.Draining {
				left[b] = true
			}
			reports[b]++
			switch tr.Report(r) {
			case Stale:
			case Disputed:
				if current, _ := tr.Current(); current.ID == b.id && current.Start == b.start {
					return "a boot gets requests although its report is disputed"
				}
			case Unverified:
				if _, ok := tr.Current(); ok {
					return "a boot gets requests although the report is unverified"
				}
			default:
				if b.start.Before(newest) && reports[b] < minOlderStartReports {
					return "an older boot gets requests"
				}
				newest = b.start
			}
		}
		current, ok := tr.Current()
		if ok && left[boot{current.ID, current.Start}] {
			return "a boot that is draining or has left gets requests"
		}
	}
	return ""
}

// Guards against a boot that gets requests after its drain or departure was
// acknowledged, and against the return of an older boot.
func TestAcknowledgedDeparturesAreFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if fault := checkTracker(t, &Tracker{}); fault != "" {
			t.Fatal(fault)
		}
	})
}

// acceptAll accepts every report as the newest one.
type acceptAll struct{ Tracker }

func (l *acceptAll) Report(r Report) Verdict {
	l.boot, l.hasBoot = Boot{ID: r.ID, Start: r.Start, Draining: r.Draining}, true
	return Changed
}

// Checks that checkTracker detects a tracker that ignores the order of reports.
func TestCheckDetectsBrokenTracker(t *testing.T) {
	seen := false
	rapid.Check(t, func(t *rapid.T) { seen = seen || checkTracker(t, &acceptAll{}) != "" })
	is.New(t).True(seen)
}

// Guards against a boot that is rejected for ever because the clock was set back
// before it started. Without a health check it must report for longer than reports
// can be late.
func TestBootWithOlderStartIsAcceptedEventually(t *testing.T) {
	for _, healthCheck := range []bool{true, false} {
		is := is.New(t)
		var tr Tracker
		start := time.Now()
		at := func(sequence uint64, after time.Duration) Report {
			r := readyReport("b", 1000, sequence)
			r.ReceivedAt = start.Add(after)
			return r
		}
		tr.Report(readyReport("a", 2000, 7))
		leave(&tr, "a", StartedAt(2000))
		is.Equal(tr.Report(at(1, 0)), Stale)
		is.Equal(tr.Report(at(1, 0)), Stale) // the same report again
		is.Equal(tr.Report(at(2, time.Second)), Stale)
		is.Equal(tr.Verify("b", StartedAt(1000), tr.Departures()), Stale)
		is.Equal(tr.Report(at(3, 2*time.Second)), Disputed)
		if healthCheck {
			is.Equal(tr.Verify("b", StartedAt(1000), tr.Departures()), Changed)
		} else {
			is.Equal(tr.Report(at(4, MaxReportDelay-1)), Disputed)
			is.Equal(tr.Report(at(5, MaxReportDelay)), Changed)
		}
		boot, ok := tr.Current()
		is.True(ok)
		is.Equal(boot.ID, "b")
		is.Equal(tr.Report(at(6, MaxReportDelay+time.Second)), Confirmed)
	}
}

// Guards against a live boot that is displaced, and taken for one that has left,
// because several reports of an earlier boot arrive late together. Found by the
// review of 2026-12-05.
func TestLateReportsDoNotDisplaceLiveBoot(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	start := time.Now()
	tr.Report(readyReport("live", 2000, 1))
	for sequence := range uint64(9) {
		late := readyReport("gone", 1000, 5+sequence)
		late.ReceivedAt = start.Add(time.Duration(sequence) * time.Second)
		v := tr.Report(late)
		is.True(v == Stale || v == Disputed)
	}
	boot, ok := tr.Current()
	is.True(ok)
	is.Equal(boot.ID, "live")
	is.Equal(tr.Report(readyReport("live", 2000, 2)), Confirmed)
	is.Equal(tr.Verify("gone", StartedAt(1000), tr.Departures()), Stale) // a health check that was answered before
}

// Guards against a boot that has left and is used again because several of its
// reports arrive late together at a process that was started after its departure was
// acknowledged. Found by the review of 2026-12-05 (review/3).
func TestSeriesOfLateReportsAfterRestartIsNotAccepted(t *testing.T) {
	for name, known := range map[string]bool{"departure known": true, "departure not known": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tr := Tracker{VerifyFirstBoot: true}
			if known {
				tr.Recover([]Departure{{ID: "gone", Start: StartedAt(100)}})
				tr.TrustReports()
			}
			start := time.Now()
			for sequence := range uint64(10) {
				late := readyReport("gone", 100, 5+sequence)
				late.ReceivedAt = start.Add(time.Duration(sequence) * 900 * ms)
				v := tr.Report(late)
				is.Equal(v == Stale, known)
				_, ok := tr.Current()
				is.True(!ok)
			}
			is.Equal(tr.Report(readyReport("next", 200, 1)), Unverified)
			is.Equal(tr.Verify("next", StartedAt(200), tr.Departures()), Changed)
		})
	}
}

// Guards against an upstream with an incorrect health check that stays out of use
// after a restart of its node, although it keeps reporting.
func TestReportsVerifyBootEventually(t *testing.T) {
	is := is.New(t)
	tr := Tracker{VerifyFirstBoot: true}
	first, last := readyReport("a", 100, 5), readyReport("a", 100, 20)
	first.ReceivedAt = time.Now()
	last.ReceivedAt = first.ReceivedAt.Add(MaxReportDelay)
	is.Equal(tr.Report(first), Unverified)
	is.Equal(tr.Report(readyReport("a", 100, 6)), Unverified)
	is.Equal(tr.Report(last), Changed)
}

// Guards against a boot that is used after a restart because a health check
// succeeds, although a departure of it is known. A later boot with the same id must
// not be left out.
func TestRecoveredDepartureIsFinal(t *testing.T) {
	is := is.New(t)
	tr := Tracker{VerifyFirstBoot: true}
	tr.Recover([]Departure{{ID: "a", Start: StartedAt(100)}})
	is.Equal(tr.Discover("a", 8), Stale)
	is.Equal(tr.Report(readyReport("a", 100, 9)), Stale)
	is.Equal(tr.Verify("a", StartedAt(100), tr.Departures()), Stale)
	is.Equal(tr.Report(readyReport("a", 300, 1)), Unverified)
	is.Equal(tr.Verify("a", StartedAt(300), tr.Departures()), Changed)

	tr = Tracker{VerifyFirstBoot: true}
	tr.Discover("a", 8)
	is.Equal(tr.Recover([]Departure{{ID: "a", Start: StartedAt(100)}}), Changed) // known later than the health check
	_, ok := tr.Current()
	is.True(!ok)

	tr = Tracker{VerifyFirstBoot: true}
	tr.Report(readyReport("a", 100, 9))
	is.Equal(tr.Verify("a", StartedAt(100), tr.Departures()), Changed)
	is.Equal(tr.Recover([]Departure{{ID: "a", Start: StartedAt(100)}}), Changed)
	_, ok = tr.Current()
	is.True(!ok)
}

// Guards the bound on the number of departed boots that are kept.
func TestDepartedBootsAreBounded(t *testing.T) {
	var tr Tracker
	for i := range 10 * maxDeparted {
		tr.Leave(string(rune('a'+i%26))+string(rune('0'+i/26)), StartedAt(int64(i+1)), time.Time{})
	}
	is.New(t).True(len(tr.departed.list) <= maxDeparted)
}

// Guards against a departed boot, or an earlier boot of the same id, that gets
// requests again. This happens if the node restarts after it acknowledged the
// departure, and a late report then arrives.
func TestLateReportAfterRestartIsNotAccepted(t *testing.T) {
	is := is.New(t)
	tr := Tracker{VerifyFirstBoot: true}
	tr.TrustReports()
	is.Equal(tr.Report(readyReport("gone", 100, 7)), Unverified)
	is.Equal(tr.Report(readyReport("gone", 100, 7)), Unverified) // the same report again
	_, ok := tr.Current()
	is.True(!ok)
	is.Equal(tr.Report(readyReport("a", 200, 1)), Unverified)
	is.Equal(tr.Report(readyReport("gone", 100, 6)), Unverified) // older start
	is.Equal(tr.Verify("gone", StartedAt(100), tr.Departures()), Stale)
	is.Equal(tr.Report(readyReport("a", 200, 2)), Changed)
	boot, ok := tr.Current()
	is.True(ok)
	is.Equal(boot.ID, "a")
	is.Equal(tr.Report(readyReport("gone", 100, 8)), Stale)
}

// Guards the start of a node whose upstream already runs: the upstream's
// response verifies its first report, unless it departs in the meantime.
func TestFirstBootIsVerified(t *testing.T) {
	is := is.New(t)
	tr := Tracker{VerifyFirstBoot: true}
	is.Equal(tr.Report(readyReport("a", 200, 5)), Unverified)
	is.Equal(tr.Verify("b", StartedAt(200), tr.Departures()), Stale)
	is.Equal(tr.Verify("a", StartedAt(200), tr.Departures()), Changed)
	_, ok := tr.Current()
	is.True(ok)

	tr = Tracker{VerifyFirstBoot: true}
	is.Equal(tr.Report(readyReport("a", 200, 5)), Unverified)
	leave(&tr, "a", StartedAt(200))
	tr.Verify("a", StartedAt(200), tr.Departures())
	_, ok = tr.Current()
	is.True(!ok)
}

// Same as TestAcknowledgedDeparturesAreFinal, for a node that has just started.
func TestDeparturesAreFinalAfterRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if fault := checkTracker(t, &Tracker{VerifyFirstBoot: true}); fault != "" {
			t.Fatal(fault)
		}
	})
}

// Guards the restart of a node whose upstream runs: the upstream's response is
// enough to use it before its next report, and it does not make late reports of
// other boots acceptable.
func TestRespondingUpstreamIsDiscovered(t *testing.T) {
	is := is.New(t)
	tr := Tracker{VerifyFirstBoot: true}
	is.Equal(tr.Discover("a", 8), Changed)
	b, ok := tr.Current()
	is.True(ok)
	is.Equal(b, Boot{ID: "a", Slots: 8})
	is.Equal(tr.Report(readyReport("gone", 100, 7)), Unverified) // late
	b, _ = tr.Current()
	is.Equal(b.ID, "a")
	is.Equal(tr.Report(readyReport("a", 200, 5)), Changed) // states its start and slots
	b, _ = tr.Current()
	is.Equal(b, Boot{ID: "a", Start: StartedAt(200), Slots: 3})
	is.Equal(tr.Report(readyReport("gone", 100, 8)), Stale)
	is.Equal(tr.Discover("b", 8), Stale) // only reports count from now on

	tr = Tracker{VerifyFirstBoot: true}
	is.Equal(tr.Discover("a", 8), Changed)
	is.Equal(leave(&tr, "a", StartedAt(0)), Changed)
	_, ok = tr.Current()
	is.True(!ok)
	is.Equal(tr.Discover("a", 8), Stale) // the response may be older than the departure

	tr = Tracker{VerifyFirstBoot: true}
	tr.Report(readyReport("a", 200, 5))
	is.Equal(tr.Discover("a", 8), Stale) // its report waits for verification
}

// Guards against a boot that is used again because a ready report, which it sent
// before it stated in a response that it leaves, arrives late.
func TestStatementOfLeavingIsFinal(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	tr.Report(readyReport("a", 100, 5))
	is.Equal(tr.MarkLeaving("a", StartedAt(90)), Stale) // an earlier boot with the same id
	_, ok := tr.Current()
	is.True(ok)
	is.Equal(tr.MarkLeaving("a", StartedAt(100)), Changed)
	is.Equal(tr.MarkLeaving("a", StartedAt(100)), Confirmed)
	tr.Report(readyReport("a", 100, 6))
	_, ok = tr.Current()
	is.True(!ok)
	draining := readyReport("a", 100, 7)
	draining.Draining = true
	is.Equal(tr.Report(draining), Confirmed)
	is.Equal(tr.Report(readyReport("a", 200, 1)), Changed) // the next boot
	_, ok = tr.Current()
	is.True(ok)
}

// Guards against a boot that was found by a health check after a restart, states
// that it leaves before its first report, and is used again because of two late
// reports. A later boot with the same id must not be left out for ever.
func TestDiscoveredBootThatLeavesIsNotUsedAgain(t *testing.T) {
	is := is.New(t)
	tr := Tracker{VerifyFirstBoot: true}
	is.Equal(tr.Discover("a", 8), Changed)
	is.Equal(tr.MarkLeaving("a", StartedAt(0)), Changed)
	is.Equal(tr.Report(readyReport("a", 100, 5)), Unverified)
	is.Equal(tr.Report(readyReport("a", 100, 6)), Unverified)
	_, ok := tr.Current()
	is.True(!ok)
	is.Equal(tr.Report(readyReport("a", 200, 1)), Unverified)
	is.Equal(tr.Verify("a", StartedAt(200), tr.Departures()), Changed) // a health check found it
	_, ok = tr.Current()
	is.True(ok)

	tr = Tracker{VerifyFirstBoot: true}
	tr.TrustReports()
	tr.Discover("a", 8)
	is.Equal(tr.MarkLeaving("a", StartedAt(100)), Changed) // a remote node knows the start
	is.Equal(tr.Report(readyReport("a", 100, 5)), Stale)
	is.Equal(tr.Report(readyReport("a", 150, 1)), Unverified) // a later boot, perhaps without a health path
	is.Equal(tr.Report(readyReport("a", 150, 2)), Changed)
	_, ok = tr.Current()
	is.True(ok)
}
