package catchup

import (
	"sync"
	"time"

	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
)

const (
	// announceInterval is the time without an acknowledgement after which the next
	// node of an area is told of a version. A round trip between regions takes 24 ms.
	announceInterval = 150 * time.Millisecond
	// acknowledgedInterval replaces announceInterval once a node of the area knows of
	// the version. It leaves it the time to fetch the version; the node may also have
	// ended without telling others.
	acknowledgedInterval = 600 * time.Millisecond
	// maxAnnouncements bounds the announcements of one version to one area. After that
	// the digests between random nodes remain.
	maxAnnouncements = 10
	// deputyDelay is how long a node leaves the announcements of a version to a node of
	// its zone that precedes it and has the version too.
	deputyDelay = 500 * time.Millisecond
)

// Area is what a version is announced to: an availability zone, or a whole region if
// Zone is empty. A node of a region that has a version announces it to the zones of
// the region, so one node of another region is enough.
type Area struct {
	Region model.Region
	Zone   model.AvailabilityZone
}

// Announcer decides to which areas a node announces a version, and when. All nodes
// of a zone that have a version may announce it; usually the first of them does. It
// is safe for concurrent use. The zero value has nothing to announce.
type Announcer struct {
	mu       sync.Mutex
	at       follow.Position
	start    time.Time // of the announcements, unless a deputy waits longer
	done     bool
	heard    map[Area]heard
	attempts map[Area]attempt
}

// heard holds the newest versions that some node of an area has, and knows of.
type heard struct{ has, knows follow.Position }

type attempt struct {
	count int
	last  time.Time
}

// Announcement is an announcement that is due. Attempt is its number, from 0; each
// one goes to the next node of the area.
type Announcement struct {
	Area    Area
	Attempt int
}

// Begin starts the announcements of a version, after a delay that lets the version
// reach the areas by itself. A version that is not later than the last one has no
// effect.
func (a *Announcer) Begin(at follow.Position, delay time.Duration, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !at.After(a.at) {
		return
	}
	a.at, a.start, a.done = at, now.Add(delay), false
	a.attempts = make(map[Area]attempt)
}

// Heard records the version that a node has, and the newest one that it knows of.
func (a *Announcer) Heard(from model.Location, has, knows follow.Position) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.heard == nil {
		a.heard = make(map[Area]heard)
	}
	for _, area := range []Area{{Region: from.Region, Zone: from.AvailabilityZone}, {Region: from.Region}} {
		h := a.heard[area]
		a.heard[area] = heard{has: Later(h.has, has), knows: Later(h.knows, Later(has, knows))}
	}
}

// Later returns the later one of two positions.
func Later(p, q follow.Position) follow.Position {
	if p.After(q) {
		return p
	}
	return q
}

// End ends the announcements of the versions up to at.
func (a *Announcer) End(at follow.Position) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.at.After(at) {
		a.done = true
	}
}

// Announced returns the version that all areas are known to have, or have been told
// of as often as they are; zero if the announcements are not complete.
func (a *Announcer) Announced() follow.Position {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.done {
		return follow.Position{}
	}
	return a.at
}

// Pending reports whether announcements may be left.
func (a *Announcer) Pending() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.done && a.at != follow.Position{}
}

// Next returns the announcements that are due now among the areas that are to be
// told, and the time until the next one may be due, 0 if none is left. deputy says
// that a node of this zone that precedes this one has the version too.
func (a *Announcer) Next(areas []Area, deputy bool, now time.Time) (due []Announcement, wait time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done || a.at == (follow.Position{}) {
		return nil, 0
	}
	start := a.start
	if deputy {
		start = start.Add(deputyDelay)
	}
	if start.After(now) {
		return nil, start.Sub(now)
	}
	left := false
	for _, area := range areas {
		h := a.heard[area]
		if !a.at.After(h.has) {
			continue
		}
		interval := announceInterval
		if !a.at.After(h.knows) {
			interval = acknowledgedInterval
		}
		try := a.attempts[area]
		if next := try.last.Add(interval); !next.After(now) {
			if try.count == maxAnnouncements {
				continue
			}
			due = append(due, Announcement{Area: area, Attempt: try.count})
			try = attempt{count: try.count + 1, last: now}
			a.attempts[area] = try
		}
		left = true
		if d := try.last.Add(interval).Sub(now); wait == 0 || d < wait {
			wait = d
		}
	}
	a.done = !left
	return due, wait
}
