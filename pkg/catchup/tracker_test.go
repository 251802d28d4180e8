package catchup

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/follow"
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
