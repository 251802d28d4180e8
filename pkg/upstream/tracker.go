package upstream

import (
	"slices"
	"time"
)

// Report is one status report that an upstream sends about itself.
type Report struct {
	ID    string // name of the boot; a later boot may have the same one
	Start Start  // of this boot of the upstream
	// Sequence increases with each report of one boot.
	Sequence uint64
	Service  string
	Address  string // host:port
	Zone     string // availability zone
	Software string // version of the upstream's software
	Slots    int    // requests that it processes concurrently
	// Draining says that the upstream is about to leave and must get no further
	// requests.
	Draining bool
	// WarmupRemaining is how much longer the upstream will be slow after its
	// start.
	WarmupRemaining time.Duration
	// ReceivedAt is when the report arrived at this node, on its monotonic clock.
	ReceivedAt time.Time
}

// departure returns the departure of the boot of a report that is draining.
func (r *Report) departure() Departure {
	d := Departure{ID: r.ID, Start: r.Start}
	if !r.Start.Known() {
		d.Until = StartedAt(r.ReceivedAt.UnixMilli())
	}
	return d
}

// Departure identifies a boot that has announced or stated that it leaves, so that
// it gets no further requests.
//
// The message of a departure has no start, and a later boot may have the same id. If the
// start is not known here either, the departure stands for all boots with the id that
// started until its message arrived.
type Departure struct {
	ID    string `json:"boot"`
	Start Start  `json:"started_ms,omitzero"`
	// Until is when the message arrived if Start is not known, by the clock of the VM,
	// which may be set back.
	Until Start `json:"until_ms,omitzero"`
}

// Boot is one run of the upstream, from its start to its end. ID and Start identify it;
// Start is unknown until a report states it.
type Boot struct {
	ID       string
	Start    Start
	Slots    int  // requests that it processes concurrently
	Draining bool // it gets no further requests
	// Software is the version of its software, "" until a report states it.
	Software string
}

// Same reports whether b and o are the same boot, as far as is known.
func (b *Boot) Same(o *Boot) bool { return b.ID == o.ID && b.Start.MayBe(o.Start) }

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

// maxDeparted is the number of departed boots that are kept to reject late reports. A
// VM has a new boot every few seconds at most, and late reports are seconds old, so
// they cover more time than reports can be late.
const maxDeparted = 64

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
	departed    []departed
	// departures is the number of departures so far.
	departures int

	olderStart        Report // last report of a boot whose start is older than newestStart
	olderStartReports int
	olderStartSince   time.Time // arrival of the first of these reports
}

// departed is a departure that a tracker knows.
type departed struct {
	Departure
	number int // of the last message about it, see Tracker.departures
	// acknowledged says that this process has acknowledged the departure.
	acknowledged bool
	// followed says that a later boot with this id has been verified. A departure
	// without a start does not matter any more then.
	followed bool
}

// Current returns the boot that gets requests. It returns false if there is no
// boot, or if the boot is draining.
func (t *Tracker) Current() (Boot, bool) { return t.boot, t.hasBoot && !t.boot.Draining }

// Newest returns the newest boot that has not left, even if it is draining. It
// returns false if there is none.
func (t *Tracker) Newest() (Boot, bool) { return t.boot, t.hasBoot }

// Discover records that a boot responded at the upstream's address and is not
// leaving, although no report of it has arrived. The boot gets requests at once;
// its first report adds the start. Discover returns Changed, or Stale once a
// boot is recorded or the upstream has sent any report or departure. It also returns
// Stale if a boot with this id has left: the report of a later one states its start.
func (t *Tracker) Discover(id string, slots int) Verdict {
	if t.hasBoot || t.reported || t.hasDeparted(id) { // the response may be older than the report
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
	doubtful := !r.Draining && t.mayHaveLeft(r.ID, r.Start)
	same := t.hasBoot && t.boot.ID == r.ID && t.boot.Start == r.Start && !doubtful
	switch {
	case !same && t.hasLeft(r.ID, r.Start):
		return Stale
	case !same && !r.Draining && t.isOlder(r):
		if v := t.reportOfOlderStart(r); v != Changed {
			return v
		}
		t.verified = true
	case doubtful, t.VerifyFirstBoot && !t.verified && !r.Draining:
		if !t.verifyByReport(r, t.trustsReports && !doubtful) {
			if t.needsReports(r.ID, r.Start) {
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
	newest := t.newestStart.later(t.newestDeparture(r.ID))
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
		t.recordFollowed(r.ID)
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
func (t *Tracker) Departures() int { return t.departures }

// Verify records that the boot with this id and start responded at the upstream's
// address and is not leaving, to a health check that was sent after the given number of
// departures. It returns Stale if that boot does not wait for verification or has left
// in the meantime, and otherwise the verdict on its last report.
func (t *Tracker) Verify(id string, start Start, departures int) Verdict {
	i := slices.IndexFunc(t.unverified, func(r Report) bool { return r.ID == id && r.Start == start })
	if i < 0 || t.hasLeft(id, start) || t.departedSince(id, start, departures) || t.needsReports(id, start) {
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
	if i := t.find(d.ID, d.Start); i >= 0 {
		if known := t.departed[i].Until; !d.Until.Known() || d.Until == known || d.Until.Before(known) {
			return Stale
		}
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
		saved = t.repeated(d)
	}
	t.acknowledge(d)
	if !t.hasBoot || t.boot.ID != id || d.Start.Before(t.boot.Start) {
		return Stale, saved
	}
	t.removeBoot()
	return Changed, saved
}

// repeated returns the departure that d repeats most likely, or d: a boot that leaves may
// send its departure again before it ends.
func (t *Tracker) repeated(d Departure) Departure {
	for _, o := range t.departed {
		if o.ID == d.ID && o.Start.Known() && o.acknowledged && !o.followed {
			d = o.Departure
		}
	}
	return d
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
	t.departed[len(t.departed)-1].acknowledged = true
}

// recordDeparture records that a boot has left, and removes the oldest records above
// maxDeparted. What was received of the boot before does not verify it any more.
func (t *Tracker) recordDeparture(d Departure) {
	t.departures++
	if i := t.find(d.ID, d.Start); i >= 0 {
		t.departed = slices.Delete(t.departed, i, i+1)
	}
	t.departed = append(t.departed, departed{Departure: d, number: t.departures})
	t.departed = t.departed[max(len(t.departed)-maxDeparted, 0):]
	isIts := func(r Report) bool { return r.ID == d.ID && r.Start.MayBe(d.Start) }
	t.unverified = slices.DeleteFunc(t.unverified, isIts)
	if isIts(t.candidate) {
		t.candidate = Report{}
	}
	if isIts(t.olderStart) {
		t.olderStartReports = 0
	}
}

// recordFollowed records that a later boot with an id has been verified.
func (t *Tracker) recordFollowed(id string) {
	for i := range t.departed {
		if t.departed[i].ID == id {
			t.departed[i].followed = true
		}
	}
}

// needsReports reports whether only its reports verify a boot, because it has left unless
// the clock was set back.
func (t *Tracker) needsReports(id string, start Start) bool {
	return slices.ContainsFunc(t.departed, func(d departed) bool {
		return d.ID == id && !d.Start.Known() && d.Until.Known() && !d.followed && !d.Until.Before(start)
	})
}

// find returns the index of a departure, -1 if it is not known.
func (t *Tracker) find(id string, start Start) int {
	return slices.IndexFunc(t.departed, func(d departed) bool { return d.ID == id && d.Start == start })
}

// hasLeft reports whether a boot with a known start has left.
func (t *Tracker) hasLeft(id string, start Start) bool {
	return start.Known() && t.find(id, start) >= 0
}

// mayHaveLeft reports whether a boot may be one that has left: the start of one of the
// two is not known.
func (t *Tracker) mayHaveLeft(id string, start Start) bool {
	return slices.ContainsFunc(t.departed, func(d departed) bool {
		return d.ID == id && !d.followed && !(d.Start.Known() && start.Known())
	})
}

// hasDeparted reports whether any boot with an id has left.
func (t *Tracker) hasDeparted(id string) bool {
	return slices.ContainsFunc(t.departed, func(d departed) bool { return d.ID == id })
}

// departedSince reports whether a boot may have left after a number of departures.
func (t *Tracker) departedSince(id string, start Start, departures int) bool {
	return slices.ContainsFunc(t.departed, func(d departed) bool {
		return d.ID == id && d.Start.MayBe(start) && d.number > departures
	})
}

// newestDeparture returns the newest start of the boots with an id that have left.
func (t *Tracker) newestDeparture(id string) (newest Start) {
	for _, d := range t.departed {
		if d.ID == id {
			newest = newest.later(d.Start)
		}
	}
	return newest
}
