package upstream

import (
	"slices"
	"time"
)

// Verdict is the result of processing a report or another event.
type Verdict string

// Verdicts.
const (
	// Changed: the report changed the state of the tracker.
	Changed Verdict = "changed"
	// Confirmed: the report is newer and states the same as the current state.
	Confirmed Verdict = "confirmed"
	// Stale: the report is older than the current state, or its boot has left.
	Stale Verdict = "stale"
	// Unverified: the report may be a late one of a boot that has left, so it is not used
	// yet. No boot has been verified since this node started, or a boot with this id has
	// left and it is not known which. A health check may verify it.
	Unverified Verdict = "unproven"
	// Doubtful: as Unverified, but the boot is one that has left unless the clock was set
	// back. A health check does not verify it, because that of a boot that leaves may
	// succeed. Its reports do after MaxReportDelay.
	Doubtful Verdict = "doubtful"
	// Disputed: several reports came from a boot whose start is older than that of
	// the newest boot seen. They are late, or the clock was set back. The boot is
	// not used until Verify confirms it.
	Disputed Verdict = "disputed"
)

// MaxReportDelay is how late a report may arrive. The users' protocol says "seconds".
// Any number of reports may be late together, so only one that arrives this long
// after another was certainly sent after that one had arrived.
const MaxReportDelay = 10 * time.Second

// minOlderStartReports is the number of reports with rising sequence numbers
// after which a boot may be accepted although its start is older than that of the
// newest boot seen: once a health check confirms it, or after MaxReportDelay.
// Without this exception, a boot that starts after the clock was set back would be
// rejected for ever.
const minOlderStartReports = 3

// maxUnverified is the number of boots whose last reports are kept until they are
// verified.
const maxUnverified = 4

// Tracker holds the newest boot of the upstream. The zero value is ready for
// use. A Tracker is not safe for concurrent use.
type Tracker struct {
	// VerifyFirstBoot says that an earlier process of this node may have
	// acknowledged departures of which this one has no record. The first boot
	// then gets requests only once it is verified: by Verify, or by a second, newer
	// report if TrustReports was called or if that report arrives MaxReportDelay
	// after the first one.
	VerifyFirstBoot bool
	verified        bool
	trustsReports   bool
	candidate       Report // first report of the newest boot that is not verified
	unverified      []Report
	reported        bool // the upstream has sent a report or a departure

	boot        Boot
	hasBoot     bool
	discovered  bool // the boot comes from Discover only; its start is unknown
	sequence    uint64
	newestStart Start // of the boots seen
	departed    departures

	olderStart        Report // last report of a boot whose start is older than newestStart
	olderStartReports int
	olderStartSince   time.Time // arrival of the first of these reports
}

// Current returns the boot that gets requests. It returns false if there is no
// boot, or if the boot is draining.
func (t *Tracker) Current() (Boot, bool) { return t.boot, t.hasBoot && !t.boot.Draining }

// Newest returns the newest boot that has not left, even if it is draining. It
// returns false if there is none.
func (t *Tracker) Newest() (Boot, bool) { return t.boot, t.hasBoot }

// IsLeaving reports whether the boot of a departure has announced or stated that it
// leaves, so that its end is no crash.
func (t *Tracker) IsLeaving(d Departure) bool {
	if t.hasBoot && t.boot.Same(&Boot{ID: d.ID, Start: d.Start}) {
		return t.boot.Draining
	}
	return t.departed.isAcknowledged(d)
}

// Discover records that a boot responded at the upstream's address and is not
// leaving, although no report of it has arrived. The boot gets requests at once;
// its first report adds the start. Discover returns Changed, or Stale once a
// boot is recorded or the upstream has sent any report or departure. It also returns
// Stale if a boot with this id has left: the report of a later one states its start.
func (t *Tracker) Discover(id string, slots int) Verdict {
	if t.hasBoot || t.reported || t.departed.anyOf(id) { // the response may be older than the report
		return Stale
	}
	t.boot, t.hasBoot, t.discovered = Boot{ID: id, Slots: slots}, true, true
	return Changed
}

// Report processes a report and returns the verdict on it. A boot that has
// reported draining stays draining, whatever its later reports say.
func (t *Tracker) Report(r Report) Verdict {
	t.reported = true
	if t.discovered && r.ID == t.boot.ID { // the response that Discover recorded verifies the boot
		t.boot.Start = r.Start
		t.discovered, t.verified = false, true
		t.recordStart(r.Start)
	}
	doubtful := !r.Draining && t.departed.mayContain(r.ID, r.Start)
	same := t.hasBoot && t.boot.ID == r.ID && t.boot.Start == r.Start && !doubtful
	switch {
	case !same && t.departed.contains(r.ID, r.Start):
		return Stale
	case !same && !r.Draining && t.isOlder(r):
		if v := t.reportOfOlderStart(r); v != Changed {
			return v
		}
		t.verified = true
	case doubtful, t.VerifyFirstBoot && !t.verified && !r.Draining:
		if !t.verifyByReport(r, t.trustsReports && !doubtful) {
			if t.departed.needsReports(r.ID, r.Start) {
				return Doubtful
			}
			return Unverified
		}
	case same && r.Sequence <= t.sequence && r.Draining && !t.boot.Draining:
		// A boot never returns from draining, so a late report counts as well.
		t.drain(r)
		return Changed
	case same && r.Sequence <= t.sequence:
		return Stale
	case !same && r.Draining:
		return t.departureOfOther(r)
	}
	return t.accept(r, same)
}

// isOlder reports whether the start of a boot that is not the recorded one is older
// than that of the newest boot, or cannot be compared with it.
func (t *Tracker) isOlder(r Report) bool {
	newest := t.newestStart.later(t.departed.newestStart(r.ID))
	return r.Start.Before(newest) || newest.Known() && !r.Start.Known()
}

// drain records that the recorded boot drains. r is its report.
func (t *Tracker) drain(r Report) {
	t.boot.Draining = true
	if !r.Start.Known() { // a later boot may be taken for this one
		t.acknowledge(r.departure())
	}
}

// departureOfOther processes a report that a boot is draining which is not the recorded
// one, so that nothing runs on it. Its departure is acknowledged, so later reports of it
// are stale.
func (t *Tracker) departureOfOther(r Report) Verdict {
	t.acknowledge(r.departure())
	if !r.Start.Known() || r.Start == t.newestStart || r.Start.Before(t.newestStart) {
		return Stale
	}
	if t.hasBoot {
		t.recordDeparture(Departure{ID: t.boot.ID, Start: t.boot.Start}) // replaced by the newer boot
	}
	t.removeBoot()
	t.newestStart, t.olderStartReports = r.Start, 0
	return Changed
}

// accept records the boot of a report as the newest one. same says that it is
// already recorded.
func (t *Tracker) accept(r Report, same bool) Verdict {
	if !same {
		if t.hasBoot && !t.boot.Same(&Boot{ID: r.ID, Start: r.Start}) {
			t.recordDeparture(Departure{ID: t.boot.ID, Start: t.boot.Start}) // only one process at a time can have the address
		}
		t.departed.recordFollowed(r.ID)
	}
	t.olderStartReports, t.unverified, t.candidate = 0, nil, Report{}
	t.recordStart(r.Start)
	before, known := t.boot, t.hasBoot
	next := Boot{ID: r.ID, Start: r.Start, Slots: r.Slots, Draining: same && t.boot.Draining, Software: r.Software}
	t.boot, t.hasBoot, t.discovered, t.sequence = next, true, false, r.Sequence
	if r.Draining {
		t.drain(r)
	}
	if known && before == t.boot {
		return Confirmed
	}
	return Changed
}

// recordStart records the start of the newest boot, if it is known.
func (t *Tracker) recordStart(start Start) {
	if start.Known() {
		t.newestStart = start
	}
}

// removeBoot records that there is no boot.
func (t *Tracker) removeBoot() { t.boot, t.hasBoot, t.discovered = Boot{}, false, false }

// verifyByReport reports whether r verifies its boot. trusted says that a second, newer
// report is enough. Otherwise r becomes the candidate unless its start is older.
func (t *Tracker) verifyByReport(r Report, trusted bool) bool {
	c := &t.candidate
	switch {
	case c.ID == r.ID && c.Start == r.Start:
		if r.Sequence > c.Sequence && (trusted || r.ReceivedAt.Sub(c.ReceivedAt) >= MaxReportDelay) {
			t.verified = true
			return true
		}
	case c.ID == "" || !r.Start.Before(c.Start):
		*c = r
		t.unverified = nil // an older boot must report again
	default:
		accepted := t.reportOfOlderStart(r) == Changed
		t.verified = t.verified || accepted
		return accepted
	}
	t.keepUnverified(r)
	return false
}

// reportOfOlderStart processes a report of a boot whose start is older than that of
// the newest boot seen. It returns Changed if the boot is to be accepted, Disputed
// if a health check may confirm it, and otherwise Stale. A health check cannot tell it
// from the recorded boot if both have the same id.
func (t *Tracker) reportOfOlderStart(r Report) Verdict {
	last := &t.olderStart
	switch {
	case t.olderStartReports == 0 || last.ID != r.ID || last.Start != r.Start:
		t.olderStartReports, t.olderStartSince = 1, r.ReceivedAt
	case r.Sequence > last.Sequence:
		t.olderStartReports++
	default:
		return Stale
	}
	*last = r
	switch {
	case t.olderStartReports < minOlderStartReports:
		return Stale
	case r.ReceivedAt.Sub(t.olderStartSince) >= MaxReportDelay:
		return Changed
	case t.hasBoot && t.boot.ID == r.ID:
		return Stale
	}
	t.keepUnverified(r)
	return Disputed
}

// keepUnverified keeps the last report of a boot until Verify is called.
func (t *Tracker) keepUnverified(r Report) {
	t.unverified = slices.DeleteFunc(t.unverified, func(o Report) bool { return o.ID == r.ID && o.Start == r.Start })
	if len(t.unverified) >= maxUnverified {
		t.unverified = t.unverified[1:]
	}
	t.unverified = append(t.unverified, r)
}

// Unverified returns the reports of the boots that wait for verification, the last
// one of each.
func (t *Tracker) Unverified() []Report { return slices.Clone(t.unverified) }

// Departures returns the number of departures that were recorded so far. A health
// check may have been answered before the departures that are recorded after it was
// sent.
func (t *Tracker) Departures() int { return t.departed.count }

// Verify records that the boot with this id and start responded at the upstream's
// address and is not leaving, to a health check that was sent after the given number of
// departures. It returns Stale if that boot does not wait for verification or has left
// in the meantime, and otherwise the verdict on its last report.
func (t *Tracker) Verify(id string, start Start, departures int) Verdict {
	i := slices.IndexFunc(t.unverified, func(r Report) bool { return r.ID == id && r.Start == start })
	if i < 0 || t.departed.contains(id, start) || t.departed.addedSince(id, start, departures) || t.departed.needsReports(id, start) {
		return Stale
	}
	t.verified = true
	return t.accept(t.unverified[i], false)
}

// Recover records departures that earlier processes of this node have acknowledged, or
// this one. It returns Changed if the boot that was getting requests may be one of them,
// and otherwise Stale.
func (t *Tracker) Recover(departures []Departure) Verdict {
	verdict := Stale
	for _, d := range departures {
		v := Stale
		if d.Start.Known() {
			v = t.MarkLeaving(d.ID, d.Start)
		} else {
			v = t.recoverUnknown(d)
		}
		if v == Changed {
			verdict = Changed
		}
		t.newestStart = t.newestStart.later(d.Start)
	}
	return verdict
}

// recoverUnknown records the departure of a boot whose start is not known, unless that or
// a later one is recorded already: a later boot may have been verified since.
func (t *Tracker) recoverUnknown(d Departure) Verdict {
	if t.departed.covers(d) {
		return Stale
	}
	t.recordDeparture(d)
	if !t.hasBoot || t.boot.ID != d.ID || d.Until.Before(t.boot.Start) {
		return Stale
	}
	t.removeBoot()
	return Changed
}

// TrustReports records that all departures that earlier processes have acknowledged
// are known. A second, newer report then verifies the first boot.
func (t *Tracker) TrustReports() { t.trustsReports = true }

// Departure returns the departure of the boot with this id and start. An unknown start
// is replaced by that of the newest boot if it has the id.
func (t *Tracker) Departure(id string, start Start) Departure {
	if !start.Known() && t.hasBoot && t.boot.ID == id {
		start = t.boot.Start
	}
	return Departure{ID: id, Start: start}
}

// Leave records that the boot with this id and start is leaving. An unknown start stands
// for the newest boot of that id, or, if that is not known, for those that started until
// at, the arrival of the message by the clock of the VM. Leave returns Changed if Newest
// returned that boot, or an older one of that id, and otherwise Stale. It also returns
// the departure that must be known before it is acknowledged.
func (t *Tracker) Leave(id string, start Start, at time.Time) (Verdict, Departure) {
	t.reported = true
	d := t.Departure(id, start)
	saved := d
	if !d.Start.Known() {
		d.Until = StartedAt(at.UnixMilli())
		saved = t.departed.repeatedBy(d)
	}
	t.acknowledge(d)
	if !t.hasBoot || t.boot.ID != id || d.Start.Before(t.boot.Start) {
		return Stale, saved
	}
	t.removeBoot()
	return Changed, saved
}

// MarkLeaving records that the boot with this id and start has stated in a response that
// it leaves. The boot gets no further requests, whatever its later reports say. An
// unknown start means that it was not known when the request was sent. MarkLeaving
// returns Changed if that boot was getting requests, Confirmed if it is draining
// already, and otherwise Stale.
func (t *Tracker) MarkLeaving(id string, start Start) Verdict {
	current := t.hasBoot && t.boot.Same(&Boot{ID: id, Start: start})
	switch {
	case !current:
		if start.Known() {
			t.recordDeparture(Departure{ID: id, Start: start})
		}
		return Stale
	case t.boot.Draining:
		return Confirmed
	case !t.boot.Start.Known():
		// A later boot with the same id must not be taken for this one.
		t.recordDeparture(Departure{ID: id, Start: start})
		t.removeBoot()
		return Changed
	}
	t.boot.Draining = true
	return Changed
}

// acknowledge records a departure that is acknowledged.
func (t *Tracker) acknowledge(d Departure) {
	t.recordDeparture(d)
	t.departed.recordAcknowledged(d)
}

// recordDeparture records that a boot has left. What was received of the boot before does
// not verify it any more.
func (t *Tracker) recordDeparture(d Departure) {
	t.departed.add(d)
	isIts := func(r Report) bool { return r.ID == d.ID && r.Start.MayBe(d.Start) }
	t.unverified = slices.DeleteFunc(t.unverified, isIts)
	if isIts(t.candidate) {
		t.candidate = Report{}
	}
	if isIts(t.olderStart) {
		t.olderStartReports = 0
	}
}
