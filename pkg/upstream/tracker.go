package upstream

import "time"

// Report is what an upstream says of itself.
type Report struct {
	ID string
	// Born is when this boot of the upstream started, in Unix milliseconds.
	StartedAt int64
	// Sequence increases with each report of one boot.
	Sequence uint64
	Service  string
	Address  string // host:port
	Zone     string
	Software string // version of the upstream's software
	Slots    int    // requests that it processes at a time
	Draining bool
	// Cold is how much longer it is slow after its start.
	WarmupRemaining time.Duration
}

// Boot is one start of the upstream.
type Boot struct {
	ID        string
	StartedAt int64
	Slots     int
	Draining  bool
}

// Verdict is the decision on a report.
type Verdict string

// Verdicts.
const (
	// Changed: the report changed what is known of the upstream.
	Changed Verdict = "changed"
	// Confirmed: the report is newer and says what is known.
	Confirmed Verdict = "confirmed"
	// Stale: the report is older than what is known, or its boot has left.
	Stale Verdict = "stale"
	// Unproven: the report is the first one of a new process, and may be a late
	// one of a boot that has left.
	Unverified Verdict = "unproven"
)

// maxLeft bounds the memory of boots that have left. A VM sees a new boot
// every few seconds at most, and late reports are seconds old.
const maxDeparted = 64

// challengerReports is how many reports in rising order a boot must send that
// claims an older start than one that is known. Late reports are single; a
// clock that was set back would otherwise shut a new boot out for ever.
const minOlderStartReports = 3

// Tracker holds the newest boot of the upstream. It is not safe for concurrent
// use.
type Tracker struct {
	// Forgetful says that an earlier process may have acknowledged departures
	// that this one does not know. The first boot then takes work once it is
	// proven: by Prove, or by a second, newer report. Late reports are single,
	// and a boot that drains reports nothing else any more.
	VerifyFirstBoot bool
	verified        bool
	candidate       Report // first report of a boot that is not proven
	discovered      bool   // the boot is known by Found only; its start is not
	reported        bool   // the upstream has said something of itself

	boot          Boot
	hasBoot       bool
	sequence      uint64
	newestStart   int64            // start of the newest boot seen
	departed      map[string]int64 // newest start by id among the boots that have left
	departedOrder []string

	olderStart        Report // last report of a boot with an older start
	olderStartReports int
}

// Current returns the boot that takes work. It returns false if none is known,
// or if it is leaving.
func (t *Tracker) Current() (Boot, bool) { return t.boot, t.hasBoot && !t.boot.Draining }

// Newest returns the newest boot that has not left.
func (t *Tracker) Newest() (Boot, bool) { return t.boot, t.hasBoot }

// Found notes that a boot of which no report has come has answered at the
// upstream's address and is not leaving. Its first report says the rest.
func (t *Tracker) Discover(id string, slots int) Verdict {
	if t.hasBoot || t.reported { // its answer may be older than what it has said
		return Stale
	}
	t.boot, t.hasBoot, t.discovered = Boot{ID: id, Slots: slots}, true, true
	return Changed
}

// Report takes a report. A boot that was said to be draining stays so.
func (t *Tracker) Report(r Report) Verdict {
	t.reported = true
	if t.discovered && r.ID == t.boot.ID { // it has answered, which proves it
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
		// A boot never returns from draining, so this binds however late it is.
		t.boot.Draining = true
		return Changed
	case same && r.Sequence <= t.sequence:
		return Stale
	case !same && r.Draining:
		// Nothing runs on it, and its acknowledgement binds for later reports.
		t.recordDeparture(r.ID, r.StartedAt)
		if r.StartedAt <= t.newestStart {
			return Stale
		}
		if t.hasBoot {
			t.recordDeparture(t.boot.ID, t.boot.StartedAt) // it is gone
		}
		t.newestStart, t.hasBoot, t.olderStartReports = r.StartedAt, false, 0
		return Changed
	case !same && r.StartedAt < t.newestStart && !t.acceptOlderStart(r):
		return Stale
	}
	if t.hasBoot && !same {
		t.recordDeparture(t.boot.ID, t.boot.StartedAt) // one process at a time has the address
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

// prove reports whether r proves its boot, and keeps it otherwise.
func (t *Tracker) verifyByReport(r Report) bool {
	c := &t.candidate
	if c.ID == r.ID && c.StartedAt == r.StartedAt && r.Sequence > c.Sequence {
		t.verified = true
		return true
	}
	if c.ID == "" || r.StartedAt > c.StartedAt {
		*c = r
	}
	return false
}

// Unproven returns the first report of a boot that is not proven yet.
func (t *Tracker) Unverified() (Report, bool) {
	return t.candidate, t.VerifyFirstBoot && !t.verified && t.candidate.ID != ""
}

// Prove notes that the boot with an id has answered at the upstream's address
// and is not leaving. It reports whether that changed anything.
func (t *Tracker) Verify(id string, startedAt int64) Verdict {
	c := t.candidate
	if t.verified || c.ID != id || c.StartedAt != startedAt {
		return Stale
	}
	t.verified = true
	return t.Report(c)
}

// challenge counts the reports of a boot that claims an older start, and
// reports whether it is to be believed.
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

// Leave notes that a boot is going. The start is 0 if the message does not
// state it; it then means the newest boot of that id.
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
