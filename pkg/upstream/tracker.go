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
const maxLeft = 64

// challengerReports is how many reports in rising order a boot must send that
// claims an older start than one that is known. Late reports are single; a
// clock that was set back would otherwise shut a new boot out for ever.
const challengerReports = 3

// Tracker holds the newest boot of the upstream. It is not safe for concurrent
// use.
type Tracker struct {
	// Forgetful says that an earlier process may have acknowledged departures
	// that this one does not know. The first boot then takes work once it is
	// proven: by Prove, or by a second, newer report. Late reports are single,
	// and a boot that drains reports nothing else any more.
	VerifyFirstBoot bool
	proven          bool
	candidate       Report // first report of a boot that is not proven
	found           bool   // the boot is known by Found only; its start is not
	heard           bool   // the upstream has said something of itself

	boot     Boot
	known    bool
	sequence uint64
	newest   int64            // start of the newest boot seen
	left     map[string]int64 // newest start by id among the boots that have left
	order    []string

	challenger      Report // last report of a boot with an older start
	challengerCount int
}

// Current returns the boot that takes work. It returns false if none is known,
// or if it is leaving.
func (t *Tracker) Current() (Boot, bool) { return t.boot, t.known && !t.boot.Draining }

// Newest returns the newest boot that has not left.
func (t *Tracker) Newest() (Boot, bool) { return t.boot, t.known }

// Found notes that a boot of which no report has come has answered at the
// upstream's address and is not leaving. Its first report says the rest.
func (t *Tracker) Discover(id string, slots int) Verdict {
	if t.known || t.heard { // its answer may be older than what it has said
		return Stale
	}
	t.boot, t.known, t.found = Boot{ID: id, Slots: slots}, true, true
	return Changed
}

// Report takes a report. A boot that was said to be draining stays so.
func (t *Tracker) Report(r Report) Verdict {
	t.heard = true
	if t.found && r.ID == t.boot.ID { // it has answered, which proves it
		t.boot.StartedAt, t.newest = r.StartedAt, r.StartedAt
		t.found, t.proven = false, true
	}
	same := t.known && t.boot.ID == r.ID && t.boot.StartedAt == r.StartedAt
	born, left := t.left[r.ID]
	switch {
	case !same && left && r.StartedAt <= born:
		return Stale
	case t.VerifyFirstBoot && !t.proven && !r.Draining && !t.prove(r):
		return Unverified
	case same && r.Sequence <= t.sequence && r.Draining && !t.boot.Draining:
		// A boot never returns from draining, so this binds however late it is.
		t.boot.Draining = true
		return Changed
	case same && r.Sequence <= t.sequence:
		return Stale
	case !same && r.Draining:
		// Nothing runs on it, and its acknowledgement binds for later reports.
		t.remember(r.ID, r.StartedAt)
		if r.StartedAt <= t.newest {
			return Stale
		}
		if t.known {
			t.remember(t.boot.ID, t.boot.StartedAt) // it is gone
		}
		t.newest, t.known, t.challengerCount = r.StartedAt, false, 0
		return Changed
	case !same && r.StartedAt < t.newest && !t.challenge(r):
		return Stale
	}
	if t.known && !same {
		t.remember(t.boot.ID, t.boot.StartedAt) // one process at a time has the address
	}
	t.challengerCount = 0
	t.newest = r.StartedAt
	before, known := t.boot, t.known
	next := Boot{ID: r.ID, StartedAt: r.StartedAt, Slots: r.Slots, Draining: r.Draining || same && t.boot.Draining}
	t.boot, t.known, t.sequence = next, true, r.Sequence
	if known && before == next {
		return Confirmed
	}
	return Changed
}

// prove reports whether r proves its boot, and keeps it otherwise.
func (t *Tracker) prove(r Report) bool {
	c := &t.candidate
	if c.ID == r.ID && c.StartedAt == r.StartedAt && r.Sequence > c.Sequence {
		t.proven = true
		return true
	}
	if c.ID == "" || r.StartedAt > c.StartedAt {
		*c = r
	}
	return false
}

// Unproven returns the first report of a boot that is not proven yet.
func (t *Tracker) Unverified() (Report, bool) {
	return t.candidate, t.VerifyFirstBoot && !t.proven && t.candidate.ID != ""
}

// Prove notes that the boot with an id has answered at the upstream's address
// and is not leaving. It reports whether that changed anything.
func (t *Tracker) Verify(id string, born int64) Verdict {
	c := t.candidate
	if t.proven || c.ID != id || c.StartedAt != born {
		return Stale
	}
	t.proven = true
	return t.Report(c)
}

// challenge counts the reports of a boot that claims an older start, and
// reports whether it is to be believed.
func (t *Tracker) challenge(r Report) bool {
	last := &t.challenger
	switch {
	case t.challengerCount == 0 || last.ID != r.ID || last.StartedAt != r.StartedAt:
		t.challengerCount = 1
	case r.Sequence > last.Sequence:
		t.challengerCount++
	default:
		return false
	}
	*last = r
	return t.challengerCount >= challengerReports
}

// Leave notes that a boot is going. The start is 0 if the message does not
// state it; it then means the newest boot of that id.
func (t *Tracker) Leave(id string, born int64) Verdict {
	t.heard = true
	current := t.known && t.boot.ID == id
	if current && born == 0 {
		born = t.boot.StartedAt
	}
	if born > t.left[id] {
		t.remember(id, born)
	}
	if !current || t.boot.StartedAt > born {
		return Stale
	}
	t.known = false
	return Changed
}

func (t *Tracker) remember(id string, born int64) {
	if t.left == nil {
		t.left = make(map[string]int64)
	}
	if _, ok := t.left[id]; !ok {
		t.order = append(t.order, id)
	}
	t.left[id] = max(t.left[id], born)
	for len(t.order) > maxLeft {
		delete(t.left, t.order[0])
		t.order = t.order[1:]
	}
}
