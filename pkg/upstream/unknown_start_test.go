package upstream

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	unknown = Start{}
	// arrival is when the departures of these tests arrive.
	arrival = time.Unix(1000, 0)
	// earlier and later are starts before and after that.
	earlier, later = StartedAt(arrival.UnixMilli() - 5000), StartedAt(arrival.UnixMilli() + 5000)
)

// Guards against a departed boot that is used again because its departure arrived before
// its first report, so that its start was not known: it was found by a health check, or
// not at all. Found by the review of 2026-12-07 (review/7).
func TestDepartureBeforeFirstReportIsFinal(t *testing.T) {
	for _, found := range []bool{true, false} {
		is := is.New(t)
		tr := Tracker{VerifyFirstBoot: true}
		tr.TrustReports()
		if found {
			is.Equal(tr.Discover("a", 8), Changed)
		}
		v, d := tr.Leave("a", unknown, arrival)
		is.Equal(v == Changed, found)
		is.Equal(d, Departure{ID: "a", Until: StartedAt(arrival.UnixMilli())})
		for sequence := range uint64(5) {
			is.Equal(tr.Report(readyReport("a", earlier.UnixMilli(), 5+sequence)), Doubtful)
			is.Equal(tr.Verify("a", earlier, tr.Departures()), Stale) // health checks may be wrong
		}
		_, ok := tr.Current()
		is.True(!ok)
		is.Equal(tr.Report(readyReport("b", later.UnixMilli(), 1)), Unverified) // the next boot
		is.Equal(tr.Verify("b", later, tr.Departures()), Changed)
	}
}

// Guards against a boot with the id of one that has left which stays out of use because
// it is not known which of them has left. A health check verifies it if it started after
// the departure, and otherwise, after the clock was set back, its reports do.
func TestLaterBootWithIDOfUnknownDepartureIsUsed(t *testing.T) {
	for start, healthCheck := range map[Start]bool{later: true, earlier: false, unknown: false} {
		is := is.New(t)
		tr := Tracker{VerifyFirstBoot: true}
		leave(&tr, "a", unknown)
		report := func(sequence uint64, after time.Duration) Report {
			return Report{ID: "a", Start: start, Sequence: sequence, Slots: 3, ReceivedAt: arrival.Add(after)}
		}
		v := tr.Report(report(1, time.Second))
		if healthCheck {
			is.Equal(v, Unverified)
			is.Equal(tr.Verify("a", start, tr.Departures()), Changed)
		} else {
			is.Equal(v, Doubtful)
			is.Equal(tr.Report(report(2, MaxReportDelay)), Doubtful)
			is.Equal(tr.Report(report(3, MaxReportDelay+time.Second)), Changed)
		}
		is.Equal(tr.Report(report(4, MaxReportDelay+2*time.Second)), Confirmed)
		is.Equal(tr.Recover([]Departure{{ID: "a", Until: StartedAt(arrival.UnixMilli())}}), Stale) // the departure before
		_, ok := tr.Current()
		is.True(ok)
	}
}

// Guards against a boot that is verified by a health check which was answered before its
// departure arrived.
func TestHealthCheckBeforeDepartureDoesNotVerify(t *testing.T) {
	for _, start := range []Start{unknown, later} {
		is := is.New(t)
		tr := Tracker{VerifyFirstBoot: true}
		is.Equal(tr.Report(readyReport("a", later.UnixMilli(), 1)), Unverified)
		sent := tr.Departures()
		leave(&tr, "a", start)
		tr.Report(readyReport("a", later.UnixMilli(), 2)) // sent before the departure
		is.Equal(tr.Verify("a", later, sent), Stale)
		_, ok := tr.Current()
		is.True(!ok)
	}
}

// Guards against departures of several boots of which only the last one counts, because
// their starts are not known.
func TestUnknownDeparturesDoNotDisplaceEachOther(t *testing.T) {
	is := is.New(t)
	tr := Tracker{VerifyFirstBoot: true}
	tr.Recover([]Departure{{ID: "a", Until: later}, {ID: "b", Until: later}})
	leave(&tr, "c", unknown)
	for _, id := range []string{"a", "b", "c"} {
		is.Equal(tr.Discover(id, 8), Stale)
		is.Equal(tr.Report(readyReport(id, earlier.UnixMilli(), 5)), Doubtful)
	}
}

// Guards against a departure that is sent again before the boot ends: it must not be held
// as one of a boot that is not known, and the next boot with the id must be used.
func TestRepeatedDepartureStandsForTheSameBoot(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	tr.Report(readyReport("a", earlier.UnixMilli(), 1))
	v, first := tr.Leave("a", unknown, arrival)
	is.Equal(v, Changed)
	v, again := tr.Leave("a", unknown, arrival)
	is.Equal(v, Stale)
	is.Equal(first, Departure{ID: "a", Start: earlier})
	is.Equal(again, first)
	is.Equal(tr.Report(readyReport("a", earlier.UnixMilli(), 2)), Stale)
	is.Equal(tr.Report(readyReport("a", later.UnixMilli(), 1)), Unverified)
	is.Equal(tr.Verify("a", later, tr.Departures()), Changed)
	v, next := tr.Leave("a", unknown, arrival.Add(10*time.Second))
	is.Equal(v, Changed)
	is.Equal(next, Departure{ID: "a", Start: later})
}

// Guards against an upstream whose reports lack the start: it is used, its departure is
// final, and a report that lacks the start displaces no boot that has stated its own.
func TestReportsWithoutStart(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	is.Equal(tr.Report(readyReport("a", 0, 1)), Changed)
	is.Equal(leave(&tr, "a", unknown), Changed)
	is.Equal(tr.Report(readyReport("a", 0, 2)), Doubtful)
	draining := readyReport("b", 0, 2)
	draining.Draining, draining.ReceivedAt = true, arrival
	is.Equal(tr.Report(readyReport("b", 0, 1)), Changed)
	is.Equal(tr.Report(draining), Changed)
	is.Equal(tr.Report(readyReport("b", 0, 3)), Doubtful)
	_, ok := tr.Current()
	is.True(!ok)

	tr = Tracker{}
	tr.Report(readyReport("a", 100, 1))
	is.Equal(tr.Report(readyReport("b", 0, 9)), Stale)
	is.Equal(tr.Report(readyReport("a", 0, 9)), Stale)
	boot, _ := tr.Current()
	is.Equal(boot, Boot{ID: "a", Start: StartedAt(100), Slots: 3})
}

// Guards the format of departures in messages and rows, which nodes of earlier releases
// read and write.
func TestDepartureFormat(t *testing.T) {
	is := is.New(t)
	for d, text := range map[Departure]string{
		{ID: "a", Start: StartedAt(7)}: `{"boot":"a","started_ms":7}`,
		{ID: "a"}:                      `{"boot":"a"}`,
		{ID: "a", Until: StartedAt(9)}: `{"boot":"a","until_ms":9}`,
	} {
		encoded, err := json.Marshal(d)
		is.NoErr(err)
		is.Equal(string(encoded), text)
		var decoded Departure
		is.NoErr(json.Unmarshal(encoded, &decoded))
		is.Equal(decoded, d)
	}
}
