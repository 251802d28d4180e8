package upstream

import (
	"slices"
	"time"
)

// Report is one status report that an upstream sends about itself.
type Report struct {
	ID string // name of the boot; a later boot may have the same one
	// StartedAt is when this boot of the upstream started, in Unix milliseconds.
	StartedAt int64
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

// Departure identifies a boot that has announced or stated that it leaves, so that
// it gets no further requests.
type Departure struct {
	ID string `json:"boot"`
	// StartedAt is when the boot started, in Unix milliseconds, 0 if it is not
	// known.
	StartedAt int64 `json:"started_ms,omitempty"`
}

// Boot is one run of the upstream, from its start to its end. ID and StartedAt
// (Unix milliseconds) identify it; StartedAt is 0 until a report states it.
type Boot struct {
	ID        string
	StartedAt int64
	Slots     int  // requests that it processes concurrently
	Draining  bool // it gets no further requests
	// Software is the version of its software, "" until a report states it.
	Software string
}

// Same reports whether b and o are the same boot. A boot without a start is
// identified by its ID.
func (b *Boot) Same(o *Boot) bool {
	return b.ID == o.ID && (b.StartedAt == o.StartedAt || b.StartedAt == 0 || o.StartedAt == 0)
}

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
	// Unverified: no boot has been verified since this node started. The report
	// may be a late one of a boot that has left, so it is not used yet.
	Unverified Verdict = "unproven"
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
	discovered      bool   // the boot comes from Discover only; its start is unknown
	leavingID       string // id of a boot with unknown start that leaves
	reported        bool   // the upstream has sent a report or a departure

	boot        Boot
	hasBoot     bool
	sequence    uint64
	newestStart int64       // start of the newest boot seen, Unix milliseconds
	departed    []Departure // at most maxDeparted, the oldest first

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

// Discover records that a boot responded at the upstream's address and is not
// leaving, although no report of it has arrived. The boot gets requests at once;
// its first report adds the start. Discover returns Changed, or Stale once a
// boot is recorded or the upstream has sent any report or departure. It also returns
// Stale if a boot with this id has left: the report of a later one states its start.
func (t *Tracker) Discover(id string, slots int) Verdict {
	if t.hasBoot || t.reported { // the response may be older than the report
		return Stale
	}
	if _, left := t.newestDeparture(id); left || id == t.leavingID {
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
		t.boot.StartedAt, t.newestStart = r.StartedAt, r.StartedAt
		t.discovered, t.verified = false, true
	}
	same := t.hasBoot && t.boot.ID == r.ID && t.boot.StartedAt == r.StartedAt
	departedStart, _ := t.newestDeparture(r.ID)
	switch {
	case !same && t.hasLeft(r.ID, r.StartedAt):
		return Stale
	case !same && !r.Draining && r.StartedAt < max(t.newestStart, departedStart):
		if v := t.reportOfOlderStart(r); v != Changed {
			return v
		}
		t.verified = true
	case t.VerifyFirstBoot && !t.verified && !r.Draining && !t.verifyByReport(r):
		return Unverified
	case same && r.Sequence <= t.sequence && r.Draining && !t.boot.Draining:
		// A boot never returns from draining, so a late report counts as well.
		t.boot.Draining = true
		return Changed
	case same && r.Sequence <= t.sequence:
		return Stale
	case !same && r.Draining:
		// This boot is not the recorded one, so nothing runs on it. Its
		// departure is acknowledged, so later reports of it are stale.
		t.recordDeparture(r.ID, r.StartedAt)
		if r.StartedAt <= t.newestStart {
			return Stale
		}
		if t.hasBoot {
			t.recordDeparture(t.boot.ID, t.boot.StartedAt) // replaced by the newer boot
		}
		t.newestStart, t.hasBoot, t.olderStartReports = r.StartedAt, false, 0
		return Changed
	}
	return t.accept(r, same)
}

// accept records the boot of a report as the newest one. same says that it is
// already recorded.
func (t *Tracker) accept(r Report, same bool) Verdict {
	if t.hasBoot && !same {
		t.recordDeparture(t.boot.ID, t.boot.StartedAt) // only one process at a time can have the address
	}
	t.olderStartReports, t.unverified = 0, nil
	t.newestStart = r.StartedAt
	before, known := t.boot, t.hasBoot
	next := Boot{ID: r.ID, StartedAt: r.StartedAt, Slots: r.Slots, Draining: r.Draining || same && t.boot.Draining, Software: r.Software}
	t.boot, t.hasBoot, t.sequence = next, true, r.Sequence
	if known && before == next {
		return Confirmed
	}
	return Changed
}

// verifyByReport reports whether r verifies its boot. Otherwise r becomes the
// candidate if its start is newer or there is none.
func (t *Tracker) verifyByReport(r Report) bool {
	c := &t.candidate
	switch {
	case r.ID == t.leavingID:
		// The report is that of the boot that leaves, or of a later one with the
		// same id. Only a health check can tell which.
		*c = r
	case c.ID == r.ID && c.StartedAt == r.StartedAt:
		if r.Sequence > c.Sequence && (t.trustsReports || r.ReceivedAt.Sub(c.ReceivedAt) >= MaxReportDelay) {
			t.verified = true
			return true
		}
	case c.ID == "" || r.StartedAt > c.StartedAt:
		*c = r
		t.unverified = nil // an older boot must report again
	default:
		t.verified = t.reportOfOlderStart(r) == Changed
		return t.verified
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
	case t.olderStartReports == 0 || last.ID != r.ID || last.StartedAt != r.StartedAt:
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
	t.unverified = slices.DeleteFunc(t.unverified, func(o Report) bool { return o.ID == r.ID && o.StartedAt == r.StartedAt })
	if len(t.unverified) >= maxUnverified {
		t.unverified = t.unverified[1:]
	}
	t.unverified = append(t.unverified, r)
}

// Unverified returns the reports of the boots that wait for verification, the last
// one of each.
func (t *Tracker) Unverified() []Report { return slices.Clone(t.unverified) }

// Verify records that the boot with this id and start (Unix milliseconds)
// responded at the upstream's address and is not leaving. It returns Stale if
// that boot does not wait for verification or has left in the meantime, and
// otherwise the verdict on its last report.
func (t *Tracker) Verify(id string, startedAt int64) Verdict {
	i := slices.IndexFunc(t.unverified, func(r Report) bool { return r.ID == id && r.StartedAt == startedAt })
	if i < 0 || t.hasLeft(id, startedAt) {
		return Stale
	}
	if id == t.leavingID {
		t.leavingID = ""
	}
	t.verified = true
	return t.accept(t.unverified[i], false)
}

// Recover records departures that earlier processes of this node have acknowledged.
// It returns Changed if the boot that was getting requests is one of them, and
// otherwise Stale.
func (t *Tracker) Recover(departures []Departure) Verdict {
	verdict := Stale
	for _, d := range departures {
		if t.MarkLeaving(d.ID, d.StartedAt) == Changed {
			verdict = Changed
		}
		if d.StartedAt == 0 && !t.hasBoot {
			t.leavingID = d.ID
		}
		t.newestStart = max(t.newestStart, d.StartedAt)
	}
	return verdict
}

// TrustReports records that all departures that earlier processes have acknowledged
// are known. A second, newer report then verifies the first boot.
func (t *Tracker) TrustReports() { t.trustsReports = true }

// Departure returns the departure of the boot with this id and start (Unix
// milliseconds). A start of 0 is replaced by that of the newest boot if it has the id.
func (t *Tracker) Departure(id string, startedAt int64) Departure {
	if startedAt == 0 && t.hasBoot && t.boot.ID == id {
		startedAt = t.boot.StartedAt
	}
	return Departure{id, startedAt}
}

// Leave records that the boot with this id and start (Unix milliseconds) is
// leaving. A start of 0 means that the message does not state it, and stands for
// the newest boot of that id. Leave returns Changed if Newest returned that boot,
// or an older one of that id, and otherwise Stale.
func (t *Tracker) Leave(id string, startedAt int64) Verdict {
	t.reported = true
	current := t.hasBoot && t.boot.ID == id
	startedAt = t.Departure(id, startedAt).StartedAt
	if startedAt != 0 {
		t.recordDeparture(id, startedAt)
	} else {
		t.leavingID = id
	}
	if !current || t.boot.StartedAt > startedAt {
		return Stale
	}
	t.hasBoot = false
	return Changed
}

// MarkLeaving records that the boot with this id and start (Unix milliseconds)
// has stated in a response that it leaves. The boot gets no further requests,
// whatever its later reports say. A start of 0 means that it was not known when
// the request was sent. MarkLeaving returns Changed if that boot was getting
// requests, Confirmed if it is draining already, and otherwise Stale.
func (t *Tracker) MarkLeaving(id string, startedAt int64) Verdict {
	current := t.hasBoot && t.boot.Same(&Boot{ID: id, StartedAt: startedAt})
	if startedAt != 0 && (!current || t.boot.StartedAt == 0) {
		t.recordDeparture(id, startedAt)
	}
	switch {
	case !current:
		return Stale
	case t.boot.Draining:
		return Confirmed
	case t.boot.StartedAt == 0:
		// A later boot with the same id must not be taken for this one.
		t.boot, t.hasBoot, t.discovered = Boot{}, false, false
		if startedAt == 0 {
			t.leavingID = id
		}
		return Changed
	}
	t.boot.Draining = true
	return Changed
}

// recordDeparture records that a boot has left, and removes the oldest records
// above maxDeparted.
func (t *Tracker) recordDeparture(id string, startedAt int64) {
	if t.hasLeft(id, startedAt) {
		return
	}
	t.departed = append(t.departed, Departure{id, startedAt})
	t.departed = t.departed[max(len(t.departed)-maxDeparted, 0):]
}

// hasLeft reports whether a boot is known to have left.
func (t *Tracker) hasLeft(id string, startedAt int64) bool {
	return slices.Contains(t.departed, Departure{id, startedAt})
}

// newestDeparture returns the newest start of the boots with an id that have left, and
// whether there is one.
func (t *Tracker) newestDeparture(id string) (startedAt int64, ok bool) {
	for _, d := range t.departed {
		if d.ID == id {
			startedAt, ok = max(startedAt, d.StartedAt), true
		}
	}
	return startedAt, ok
}
