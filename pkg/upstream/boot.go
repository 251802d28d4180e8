package upstream

import "time"

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
