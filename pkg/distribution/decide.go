package distribution

import (
	"math/rand/v2"
	"time"

	"github.com/lentilflow/lentilflow/pkg/distribution/wire"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// verdict is the decision about a version frame.
type verdict string

// Verdicts; all but frameApplies are values of the dropped-frames metric.
const (
	frameApplies  verdict = "applies"
	frameOld      verdict = "old"       // not newer than the version in force
	frameNotBased verdict = "not_based" // a delta against a text that this node does not hold
	frameEmpty    verdict = "empty"
)

// judgeFrame decides whether a version frame applies to the version held.
func judgeFrame(held model.VersionInfo, f *wire.VersionFrame) verdict {
	switch {
	case f.Info.Number <= held.Number:
		return frameOld
	case len(f.Full) > 0:
		return frameApplies
	case len(f.Delta) == 0:
		return frameEmpty
	case f.From != held.Number || f.FromDigest != held.Digest:
		return frameNotBased
	default:
		return frameApplies
	}
}

// freshness judges the heartbeats of one stream. Sequences only grow at their
// source, so a stream that shows no growth is not connected to one: its nodes
// form a cycle, or a node above has stopped.
type freshness struct {
	last  uint64
	since time.Time // when the last newer heartbeat came
}

// accept reports whether b is newer than everything seen on the stream.
func (f *freshness) accept(b *wire.BeatFrame, now time.Time) bool {
	if b.Sequence <= f.last {
		return false
	}
	f.last, f.since = b.Sequence, now
	return true
}

// asOf is the time at which the version in force was last known to be the
// newest, by the publisher's clock.
type asOf struct{ at time.Time }

// observe takes in a heartbeat, given the version held. A heartbeat about a
// version that the node does not have yet says nothing about the one it has.
func (a *asOf) observe(b *wire.BeatFrame, held model.VersionInfo) {
	if b.AsOf == 0 || b.Version > held.Number {
		return
	}
	a.raise(time.UnixMilli(b.AsOf))
}

func (a *asOf) raise(at time.Time) {
	if at.After(a.at) {
		a.at = at
	}
}

// age returns how old the knowledge is at time now.
func (a *asOf) age(now time.Time) time.Duration {
	if a.at.IsZero() {
		return 0
	}
	return max(0, now.Sub(a.at))
}

// Reconnect delays. Full jitter spreads the nodes that lose one parent.
const (
	reconnectBase = 100 * time.Millisecond
	reconnectCap  = 5 * time.Second
)

// fullJitter returns a random delay below min(limit, base·2^attempt), the
// "full jitter" method of the AWS architecture blog (2015).
func fullJitter(attempt int, base, limit time.Duration, rnd *rand.Rand) time.Duration {
	ceiling := base << min(attempt, 20)
	return time.Duration(rnd.Int64N(int64(min(ceiling, limit)) + 1))
}

// source decides whether a node sends heartbeats of its own: the publisher,
// the top, and a root that has had no parent for grace. A root that is cut off
// keeps its part of the tree together, and the age of what is in force tells
// that it is cut off.
func source(publisher, top, root bool, parentless, grace time.Duration) bool {
	return publisher || top || root && parentless >= grace
}
