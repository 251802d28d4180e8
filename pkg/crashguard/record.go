package crashguard

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
)

const (
	// MaxCrashes is how many upstreams of a service one request may crash.
	MaxCrashes = 2
	// suspicionTime is how long one crash counts. Other requests that were in
	// flight on the crashed upstream are suspected for that long, or until they
	// complete.
	suspicionTime = 2 * time.Minute
	// RefusalTime is how long a request is refused after its second crash.
	RefusalTime = 10 * time.Minute
	// duplicateWindow is the time within which reports without an ID count as one
	// crash: copies of a request that were in flight together on one upstream.
	duplicateWindow = 2 * time.Second
)

// Crash is one upstream that was lost while it ran a request.
type Crash struct {
	// ID is the same in all reports of one crash, whichever node made them.
	// Reports without it are compared by upstream and time.
	ID       string       `json:"id,omitempty"`
	Upstream model.NodeID `json:"upstream"` // node of the upstream
	At       time.Time    `json:"at"`       // time of the crash
	// Age is how long ago the crash was when a message about it was sent, 0
	// otherwise. The receiver uses it instead of At, because clocks differ.
	Age time.Duration `json:"age_ns,omitempty"`
	// RanFor is how long the request had run at the time of the crash.
	RanFor time.Duration `json:"ran_ns,omitempty"`
	// Alone says that no other call was in flight on the upstream.
	Alone bool `json:"alone"`
}

// startedAfter reports whether the request started after the earlier crash. If
// two upstreams are lost together, for example with their rack, many equal
// requests are lost at once, which says nothing about these requests.
func (c *Crash) startedAfter(earlier *Crash) bool { return !c.At.Add(-c.RanFor).Before(earlier.At) }

// same reports whether c and d are reports of one crash.
func (c *Crash) same(d *Crash) bool {
	if c.ID != "" && d.ID != "" {
		return c.ID == d.ID
	}
	return c.Upstream == d.Upstream && c.At.Sub(d.At).Abs() < duplicateWindow
}

// Record holds the crashes of one fingerprint. It is a value: its methods
// return changed copies.
type Record struct {
	Service string  `json:"service"`
	Crashes []Crash `json:"crashes"`
}

// add returns r with one more crash, without duplicates and expired crashes. The
// crash is left out if its run had started before a recorded crash.
func (r Record) add(service string, c Crash) Record {
	next := r.withoutExpired(c.At)
	next.Service = service
	for _, old := range next.Crashes {
		if old.same(&c) {
			return next
		}
		if !c.startedAfter(&old) {
			return next
		}
	}
	next.Crashes = append(next.Crashes, c)
	return next
}

// maxCrashesPerRecord bounds the crashes of one record from another node. No more than
// MaxCrashes crash upstreams one after the other; copies that run at the same time add
// some.
const maxCrashesPerRecord = 64

// maxClockOffset is how far the time of a crash without an age may be in the future.
// The clocks of nodes differ, and may jump by seconds.
const maxClockOffset = time.Minute

var (
	errRecordSize = fmt.Errorf("record has no service, no crash, or more than %d crashes", maxCrashesPerRecord)
	errRecordTime = errors.New("record has a crash in the future")
)

// WithAge returns c as it is sent at the time now.
func (c Crash) WithAge(now time.Time) Crash {
	c.Age = max(now.Sub(c.At), 1)
	return c
}

// ReceivedAt returns c as it is recorded by a node that has received it at the time now.
// The time that the message took is added to the time of the crash.
func (c Crash) ReceivedAt(now time.Time) Crash {
	if c.Age > 0 {
		c.At, c.Age = now.Add(-c.Age), 0
	}
	return c
}

// WithAges returns r as it is sent at the time now.
func (r Record) WithAges(now time.Time) Record {
	return r.mapCrashes(func(c Crash) Crash { return c.WithAge(now) })
}

// ReceivedAt returns r as it is recorded by a node that has received it at the time now.
func (r Record) ReceivedAt(now time.Time) Record {
	return r.mapCrashes(func(c Crash) Crash { return c.ReceivedAt(now) })
}

func (r Record) mapCrashes(f func(Crash) Crash) Record {
	next := Record{Service: r.Service}
	for _, c := range r.Crashes {
		next.Crashes = append(next.Crashes, f(c))
	}
	return next
}

// Check returns an error if r cannot be used at the time now. Records come from other
// nodes and from rows of the store.
func (r *Record) Check(now time.Time) error {
	if r.Service == "" || len(r.Crashes) == 0 || len(r.Crashes) > maxCrashesPerRecord {
		return errRecordSize
	}
	for _, c := range r.Crashes {
		if c.Age < 0 || c.Age == 0 && c.At.Sub(now) > maxClockOffset {
			return errRecordTime
		}
	}
	return nil
}

// merge returns the record of the crashes of r and o, in the order of their times.
func (r Record) merge(o Record) Record {
	all := slices.Concat(r.Crashes, o.Crashes)
	slices.SortStableFunc(all, func(a, b Crash) int { return a.At.Compare(b.At) })
	merged := Record{Service: o.Service}
	for _, c := range all {
		merged = merged.add(o.Service, c)
	}
	return merged
}

// withoutExpired returns r without its crashes if they no longer count: once the
// newest one is older than suspicionTime, or RefusalTime for a refused request.
func (r Record) withoutExpired(now time.Time) Record {
	lifetime := suspicionTime
	if len(r.Crashes) >= MaxCrashes {
		lifetime = RefusalTime
	}
	next := Record{Service: r.Service}
	if now.Sub(r.newest()) < lifetime {
		next.Crashes = append(next.Crashes, r.Crashes...)
	}
	return next
}

// newest returns the time of the last crash.
func (r Record) newest() (newest time.Time) {
	for _, c := range r.Crashes {
		if c.At.After(newest) {
			newest = c.At
		}
	}
	return newest
}

// completed returns r after the request has completed. Crashes with other calls in
// flight are removed. A record with MaxCrashes, and crashes with only this call
// in flight, stay, because a request may crash an upstream only sometimes.
func (r Record) completed() Record {
	if len(r.Crashes) >= MaxCrashes {
		return r
	}
	next := Record{Service: r.Service}
	for _, c := range r.Crashes {
		if c.Alone {
			next.Crashes = append(next.Crashes, c)
		}
	}
	return next
}

// Refused reports whether the request is to be refused at the time now.
func (r Record) Refused(now time.Time) bool { return len(r.withoutExpired(now).Crashes) >= MaxCrashes }
