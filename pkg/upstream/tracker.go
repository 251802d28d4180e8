package upstream

import "time"

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
}

// Boot is one run of the upstream, from its start to its end. ID and StartedAt
// (Unix milliseconds) identify it; StartedAt is 0 until a report states it.
type Boot struct {
	ID        string
	StartedAt int64
	Slots     int  // requests that it processes concurrently
	Draining  bool // it gets no further requests
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
)

// maxDeparted is the number of ids of departed boots that are kept to reject late
// reports. A VM has a new boot every few seconds at most, and late reports are
// seconds old, so the ids cover more time than reports can be late.
const maxDeparted = 64

// minOlderStartReports is the number of reports with rising sequence numbers
// after which a boot is accepted although its start is older than that of the
// newest boot seen. Late reports arrive singly, so several in a row come from a
// boot that runs. Without this exception, a boot that starts after the clock
// was set back would be rejected for ever.
const minOlderStartReports = 3

// Tracker holds the newest boot of the upstream. The zero value is ready for
// use. A Tracker is not safe for concurrent use.
type Tracker struct {
	// VerifyFirstBoot says that an earlier process of this node may have
	// acknowledged departures of which this one has no record. The first boot
	// then gets requests only once it is verified: by Verify, or by a second,
	// newer report. A second report is enough because late reports arrive
	// singly, and because all further reports of a draining boot say that it is
	// draining.
	VerifyFirstBoot bool
	verified        bool
	candidate       Report // first report of a boot that is not verified
	discovered      bool   // the boot comes from Discover only; its start is unknown
	leavingID       string // id of a discovered boot with unknown start that has stated that it leaves
	reported        bool   // the upstream has sent a report or a departure

	boot          Boot
	hasBoot       bool
	sequence      uint64
	newestStart   int64            // start of the newest boot seen, Unix milliseconds
	departed      map[string]int64 // newest start by id among the departed boots
	departedOrder []string

	olderStart        Report // last report of a boot whose start is older than newestStart
	olderStartReports int
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
// boot is recorded or the upstream has sent any report or departure.
func (t *Tracker) Discover(id string, slots int) Verdict {
	if t.hasBoot || t.reported { // the response may be older than the report
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
	departedStart, hasLeft := t.departed[r.ID]
	switch {
	case !same && hasLeft && r.StartedAt <= departedStart:
		return Stale
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
	case !same && r.StartedAt < t.newestStart && !t.acceptOlderStart(r):
		return Stale
	}
	if t.hasBoot && !same {
		t.recordDeparture(t.boot.ID, t.boot.StartedAt) // only one process at a time can have the address
	}
	t.olderStartReports = 0
	t.newestStart = r.StartedAt
	before, known := t.boot, t.hasBoot
	next := Boot{ID: r.ID, StartedAt: r.StartedAt, Slots: r.Slots, Draining: r.Draining || same && t.boot.Draining}
	t.boot, t.hasBoot, t.sequence = next, true, r.Sequence
	if known && before == next {
		return Confirmed
	}
	return Changed
}

// verifyByReport reports whether r is the second report of the candidate, which
// verifies it. Otherwise r becomes the candidate if its start is newer or there
// is none.
func (t *Tracker) verifyByReport(r Report) bool {
	c := &t.candidate
	if r.ID == t.leavingID {
		// The report is that of the boot that leaves, or of a later one with the
		// same id. Only a health check can tell which.
		*c = r
		return false
	}
	if c.ID == r.ID && c.StartedAt == r.StartedAt && r.Sequence > c.Sequence {
		t.verified = true
		return true
	}
	if c.ID == "" || r.StartedAt > c.StartedAt {
		*c = r
	}
	return false
}

// Unverified returns the first report of the boot that waits for verification.
// It returns false if there is none.
func (t *Tracker) Unverified() (Report, bool) {
	return t.candidate, t.VerifyFirstBoot && !t.verified && t.candidate.ID != ""
}

// Verify records that the boot with this id and start (Unix milliseconds)
// responded at the upstream's address and is not leaving. It returns Stale if
// that boot does not wait for verification, and otherwise the verdict on its
// first report.
func (t *Tracker) Verify(id string, startedAt int64) Verdict {
	c := t.candidate
	if t.verified || c.ID != id || c.StartedAt != startedAt {
		return Stale
	}
	t.verified = true
	return t.Report(c)
}

// acceptOlderStart counts the reports of a boot whose start is older than that
// of the newest boot seen. It reports whether there were enough to accept it.
func (t *Tracker) acceptOlderStart(r Report) bool {
	last := &t.olderStart
	switch {
	case t.olderStartReports == 0 || last.ID != r.ID || last.StartedAt != r.StartedAt:
		t.olderStartReports = 1
	case r.Sequence > last.Sequence:
		t.olderStartReports++
	default:
		return false
	}
	*last = r
	return t.olderStartReports >= minOlderStartReports
}

// Leave records that the boot with this id and start (Unix milliseconds) is
// leaving. A start of 0 means that the message does not state it, and stands for
// the newest boot of that id. Leave returns Changed if Newest returned that boot,
// or an older one of that id, and otherwise Stale.
func (t *Tracker) Leave(id string, startedAt int64) Verdict {
	t.reported = true
	current := t.hasBoot && t.boot.ID == id
	if current && startedAt == 0 {
		startedAt = t.boot.StartedAt
	}
	if startedAt > t.departed[id] {
		t.recordDeparture(id, startedAt)
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
	if startedAt > t.departed[id] && (!current || t.boot.StartedAt == 0) {
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
	if t.departed == nil {
		t.departed = make(map[string]int64)
	}
	if _, ok := t.departed[id]; !ok {
		t.departedOrder = append(t.departedOrder, id)
	}
	t.departed[id] = max(t.departed[id], startedAt)
	for len(t.departedOrder) > maxDeparted {
		delete(t.departed, t.departedOrder[0])
		t.departedOrder = t.departedOrder[1:]
	}
}
