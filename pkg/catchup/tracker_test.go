package catchup

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards the length of a lag: it begins when the first version that is missing came
// into force elsewhere, and ends with the last one.
func TestLagCoversAllMissingVersions(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	own := follow.At(3)
	is.True(!tr.Observe(Observation{At: follow.At(3), From: "a"}, own, at(0)))
	is.True(!tr.Lag(at(0)).Active())
	is.True(tr.Observe(Observation{At: follow.At(5), From: "a", Age: 100 * time.Millisecond}, own, at(1000)))
	is.True(!tr.Observe(Observation{At: follow.At(5), From: "b", Age: 400 * time.Millisecond}, own, at(1100))) // in force since 700
	is.True(!tr.Observe(Observation{At: follow.At(4), From: "c"}, own, at(1200)))
	is.True(tr.Observe(Observation{At: follow.At(8), From: "c"}, own, at(2000)))
	is.Equal(tr.Lag(at(2500)), Lag{Newest: follow.At(8), From: "c", Known: 1500 * time.Millisecond, Total: 1800 * time.Millisecond})
	is.Equal(tr.CaughtUp(follow.At(4), at(2500)), Lag{})
	ended := tr.CaughtUp(follow.At(6), at(2600))
	is.Equal(ended.Total, 1900*time.Millisecond)
	is.Equal(tr.Lag(at(2700)).Total, 700*time.Millisecond)
	is.Equal(tr.CaughtUp(follow.At(8), at(2700)).Total, 700*time.Millisecond)
	is.True(!tr.Lag(at(2800)).Active())
}

// Guards against a tracker that grows with versions that a node cannot get.
func TestTrackerIsBounded(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	for v := range 10 * maxPending {
		tr.Observe(Observation{At: follow.At(follow.Revision(v + 1))}, follow.At(0), at(v))
	}
	is.Equal(len(tr.pending), maxPending)
	is.Equal(tr.Lag(at(10*maxPending)).Newest, follow.At(10*maxPending))
	tr.CaughtUp(follow.At(10*maxPending), at(10*maxPending))
	is.True(!tr.Lag(at(10 * maxPending)).Active())
}

const (
	zoneDelay   = 300 * time.Millisecond
	remoteDelay = 500 * time.Millisecond
)

var testDelays = Delays{SameZone: zoneDelay, Elsewhere: remoteDelay, Interval: 600 * time.Millisecond}

// Guards the choice of the node to ask: a near one that has the newest version first,
// and not before the usual way to the version has had its time.
func TestNextPrefersNewestAndNearest(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	own := follow.At(1)
	tr.Observe(Observation{At: follow.At(2), From: "old", Distance: model.SameZone}, own, at(0))
	tr.Observe(Observation{At: follow.At(3), From: "far", Distance: model.OtherRegion}, own, at(10))
	tr.Observe(Observation{At: follow.At(3), From: "near", Distance: model.SameRegion}, own, at(20))
	_, wait, due := tr.Next(testDelays, at(100))
	is.True(!due)
	is.Equal(wait, 200*time.Millisecond) // "old" is of this zone
	node, _, due := tr.Next(testDelays, at(600))
	is.True(due)
	is.Equal(string(node), "near")
}

// Guards against a node that does not respond and holds up the version: another one is
// asked after hedgeDelay, at once after a failure, and the failed one only later.
func TestNextAsksOthersWhenOneFails(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	own := follow.At(1)
	for _, id := range []model.NodeID{"a", "b", "c"} {
		tr.Observe(Observation{At: follow.At(2), From: id, Distance: model.SameZone}, own, at(0))
	}
	first, _, due := tr.Next(testDelays, at(300))
	is.True(due)
	_, wait, due := tr.Next(testDelays, at(400))
	is.True(!due)
	is.Equal(wait, hedgeDelay-100*time.Millisecond)
	second, _, due := tr.Next(testDelays, at(700))
	is.True(due && second != first)
	tr.Finish(first, own, at(710))
	tr.Finish(second, own, at(710))
	third, _, due := tr.Next(testDelays, at(710))
	is.True(due && third != first && third != second)
	tr.Finish(third, own, at(720))
	_, wait, due = tr.Next(testDelays, at(720))
	is.True(!due)
	is.Equal(wait, minRetryDelay-10*time.Millisecond)
	_, _, due = tr.Next(testDelays, at(910))
	is.True(due)
}

// Guards against a version that no reachable node is known to have: random nodes are
// asked, at intervals.
func TestNextAsksRandomNodeWithoutSource(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	tr.Observe(Observation{At: follow.At(2)}, follow.At(1), at(0))
	_, _, due := tr.Next(testDelays, at(499))
	is.True(!due)
	node, _, due := tr.Next(testDelays, at(500))
	is.True(due && node == "")
	_, wait, due := tr.Next(testDelays, at(500))
	is.True(!due)
	is.Equal(wait, unknownSourceDelay)
	tr.Observe(Observation{At: follow.At(2), From: "a", Distance: model.SameZone}, follow.At(1), at(510))
	node, _, due = tr.Next(testDelays, at(510))
	is.True(due && node == "a")
}

// Guards against requests without a pause when versions follow each other quickly.
func TestNextPausesAfterSuccess(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	tr.Observe(Observation{At: follow.At(2), From: "a", Distance: model.SameZone}, follow.At(1), at(0))
	_, _, due := tr.Next(Delays{Interval: testDelays.Interval}, at(0))
	is.True(due)
	tr.Observe(Observation{At: follow.At(3), From: "a", Distance: model.SameZone}, follow.At(1), at(5))
	tr.CaughtUp(follow.At(2), at(10))
	tr.Finish("a", follow.At(2), at(10))
	_, wait, due := tr.Next(Delays{Interval: testDelays.Interval}, at(10))
	is.True(!due)
	is.Equal(wait, testDelays.Interval-10*time.Millisecond)
}

// Guards the end of announcements: a zone that is known to have the version gets none,
// and one that does not respond only a limited number.
func TestAnnouncementsEnd(t *testing.T) {
	is := is.New(t)
	var a Announcer
	near, far := Area{Region: "r", Zone: "x"}, Area{Region: "s"}
	a.Begin(follow.At(2), 0, at(0))
	a.Heard(model.Location{Region: "r", AvailabilityZone: "x"}, follow.At(3), follow.Position{})
	send := func(from, to int) (sent int) {
		for now := from; now < to; now += 10 {
			due, _ := a.Next([]Area{near, far}, false, at(now))
			for _, d := range due {
				is.Equal(d.Area, far)
				sent++
			}
		}
		return sent
	}
	is.Equal(send(0, 300), 2)
	a.Heard(model.Location{Region: "s", AvailabilityZone: "y"}, follow.At(1), follow.At(2)) // knows of it
	is.Equal(send(300, 900), 1)
	is.Equal(send(900, 9000), maxAnnouncements-3)
	is.Equal(a.Announced(), follow.At(2))
	a.Begin(follow.At(1), 0, at(5000)) // not later
	is.Equal(a.Announced(), follow.At(2))
}

// Guards against a lag without end because of a version that no node has, for example
// from a damaged message.
func TestVersionThatNobodyHasIsForgotten(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	own := follow.At(1)
	tr.Observe(Observation{At: follow.At(1 << 60), From: "a"}, own, at(0))
	is.True(tr.Lag(start.Add(observationTimeout)).Active())
	is.True(!tr.Lag(start.Add(observationTimeout + 1)).Active())
	_, wait, due := tr.Next(testDelays, start.Add(observationTimeout+1))
	is.True(!due && wait == 0)
}
