package contact

import "time"

const (
	// Interval is the time between two responses to the follower that asks for all
	// others.
	Interval = 1500 * time.Millisecond
	// noticeSlack is how late a notice of a response may be.
	noticeSlack = 150 * time.Millisecond
	// rankDelay is the delay of each further rank, so that one node asks in place of one
	// that does not, and not all together. Ranks from maxRankDelays on differ by
	// wideDelay, up to maxWideDelay.
	rankDelay     = 100 * time.Millisecond
	maxRankDelays = 5
	wideDelay     = 2 * time.Millisecond
	maxWideDelay  = 300 * time.Millisecond
	// MaxAge bounds the time without contact at any node: by then it asks the store.
	MaxAge = Interval + noticeSlack + maxRankDelays*rankDelay + maxWideDelay
	// MaxWatch is the longest watch. The store permits 30 s.
	MaxWatch = 29 * time.Second
	// watchSpread for each node, up to maxWatchSpread, is the range in which the watches
	// of followers end that have begun together.
	watchSpread    = 10 * time.Millisecond
	maxWatchSpread = 14 * time.Second
	// minWatch is a watch to which the store responds at once.
	minWatch = time.Millisecond
	// renewedFor is how long notices say that a connection was found silent.
	renewedFor = 10 * time.Second
)

// Timeout returns how long a follower with a rank goes without contact before it asks the
// store. 0 is the rank of the one that asks for the others.
func Timeout(rank int) time.Duration {
	if rank <= 0 {
		return Interval
	}
	wide := min(time.Duration(max(rank-maxRankDelays, 0))*wideDelay, maxWideDelay)
	return Interval + noticeSlack + time.Duration(min(rank, maxRankDelays))*rankDelay + wide
}

// Tracker is what one follower knows of the responses of the store. All times are
// readings of one monotonic clock, with any origin. A Tracker is not safe for concurrent
// use.
type Tracker struct {
	own     time.Duration // last response to this node
	heard   time.Duration // last response to another node that this one has heard of
	sent    time.Duration // last notice of this node
	renewal time.Duration // last renewal of the watch because a response was due
	// unlimited says that the present watch may last until long after the timeout.
	unlimited bool
	silentAt  time.Duration // when this node last found an open connection silent
	silent    bool          // it did so at all
}

// NewTracker returns the tracker of a node that starts now.
func NewTracker(now time.Duration) *Tracker {
	return &Tracker{own: now, heard: now, sent: now - Interval}
}

// RecordResponse records a response of the store to this node.
func (t *Tracker) RecordResponse(now time.Duration) { t.own = now }

// RecordNotice records that another node has told of a response to it just now.
func (t *Tracker) RecordNotice(now time.Duration) { t.heard = now }

// RecordSilence records that a response on an open connection was overdue at a time.
func (t *Tracker) RecordSilence(at time.Duration) {
	t.silentAt, t.silent = at, true
	t.sent = at - Interval // the others must know at once
}

// RecordNoticeSent records that this node has told the others of a response.
func (t *Tracker) RecordNoticeSent(now time.Duration) { t.sent = now }

// RecordRenewal records that the watch was ended because a response was due.
func (t *Tracker) RecordRenewal(now time.Duration) { t.renewal = now }

// Age returns the time since the last response of the store to any node, as far as this
// one knows.
func (t *Tracker) Age(now time.Duration) time.Duration { return now - max(t.own, t.heard) }

// Asks reports whether a follower with a rank asks the store for the others: it is the
// first one, or those before it do not.
func (t *Tracker) Asks(rank int, now time.Duration) bool {
	return rank <= 0 || now-t.heard >= Timeout(rank)
}

// NextWatch returns how long the next watch of a follower with a rank may wait, in a
// group of so many followers. random is from 0 to 1. It records the choice.
func (t *Tracker) NextWatch(rank, followers int, random float64, now time.Duration) time.Duration {
	if t.unlimited = !t.Asks(rank, now); t.unlimited {
		spread := min(time.Duration(followers)*watchSpread, maxWatchSpread)
		return MaxWatch - time.Duration(random*float64(spread))
	}
	return max(max(t.own, t.heard)+Timeout(rank)-now, minWatch)
}

// UntilRenewal returns the time until the watch has to be ended, so that the store is
// asked; at most 0 if that is due. A watch that is limited ends by itself.
func (t *Tracker) UntilRenewal(rank int, now time.Duration) time.Duration {
	wait := max(t.own, t.heard, t.renewal) + Timeout(rank) - now
	if !t.unlimited {
		wait = max(wait, rankDelay) // the watch ends soon
	}
	return wait
}

// OwesNotice reports whether the others are to be told of the response that this node has
// just received. changed says that it had a change.
func (t *Tracker) OwesNotice(rank int, changed bool, now time.Duration) bool {
	_, silent := t.SilenceAge(now)
	return (t.Asks(rank, now) || silent) && (changed || now-t.sent >= Interval/2)
}

// SilenceAge returns how long ago this node has found an open connection silent. ok is
// false if that is too long ago to matter.
func (t *Tracker) SilenceAge(now time.Duration) (age time.Duration, ok bool) {
	age = now - t.silentAt
	return age, t.silent && age < renewedFor
}
