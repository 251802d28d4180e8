package upstream

import "slices"

// maxDeparted is the number of departed boots that are kept to reject late reports. A
// VM has a new boot every few seconds at most, and late reports are seconds old, so
// they cover more time than reports can be late.
const maxDeparted = 64

// departures are the newest departures of boots at one address, one for each id and
// start. The zero value is empty.
type departures struct {
	list  []departed // at most maxDeparted, the oldest first
	count int        // of the departures that were ever added
}

// departed is one departure.
type departed struct {
	Departure
	number int // departures.count when it was last added
	// acknowledged says that this process has acknowledged the departure.
	acknowledged bool
	// followed says that a later boot with this id has been verified. A departure
	// without a start does not matter any more then.
	followed bool
}

// add adds a departure as the newest one, and removes the oldest ones above maxDeparted.
func (l *departures) add(d Departure) {
	l.count++
	if i := l.find(d.ID, d.Start); i >= 0 {
		l.list = slices.Delete(l.list, i, i+1)
	}
	l.list = append(l.list, departed{Departure: d, number: l.count})
	l.list = l.list[max(len(l.list)-maxDeparted, 0):]
}

// recordAcknowledged records that a departure is acknowledged.
func (l *departures) recordAcknowledged(d Departure) {
	if i := l.find(d.ID, d.Start); i >= 0 {
		l.list[i].acknowledged = true
	}
}

// isAcknowledged reports whether this process has acknowledged the departure of a boot.
func (l *departures) isAcknowledged(d Departure) bool {
	return slices.ContainsFunc(l.list, func(o departed) bool {
		return o.ID == d.ID && o.Start.MayBe(d.Start) && o.acknowledged
	})
}

// recordFollowed records that a later boot with an id has been verified.
func (l *departures) recordFollowed(id string) {
	for i := range l.list {
		if l.list[i].ID == id {
			l.list[i].followed = true
		}
	}
}

// find returns the index of a departure, -1 if it is not known.
func (l *departures) find(id string, start Start) int {
	return slices.IndexFunc(l.list, func(d departed) bool { return d.ID == id && d.Start == start })
}

// contains reports whether the boot with this id and a known start has left.
func (l *departures) contains(id string, start Start) bool {
	return start.Known() && l.find(id, start) >= 0
}

// mayContain reports whether a boot may be one that has left, because the start of one of
// the two is not known.
func (l *departures) mayContain(id string, start Start) bool {
	return slices.ContainsFunc(l.list, func(d departed) bool {
		return d.ID == id && !d.followed && !(d.Start.Known() && start.Known())
	})
}

// anyOf reports whether any boot with an id has left.
func (l *departures) anyOf(id string) bool {
	return slices.ContainsFunc(l.list, func(d departed) bool { return d.ID == id })
}

// addedSince reports whether a boot may have left after the first count departures.
func (l *departures) addedSince(id string, start Start, count int) bool {
	return slices.ContainsFunc(l.list, func(d departed) bool {
		return d.ID == id && d.Start.MayBe(start) && d.number > count
	})
}

// needsReports reports whether only its reports verify a boot, because it has left unless
// the clock was set back.
func (l *departures) needsReports(id string, start Start) bool {
	return slices.ContainsFunc(l.list, func(d departed) bool {
		return d.ID == id && !d.Start.Known() && d.Until.Known() && !d.followed && !d.Until.Before(start)
	})
}

// covers reports whether a departure without a start, or one that stands for more boots,
// is known.
func (l *departures) covers(d Departure) bool {
	i := l.find(d.ID, d.Start)
	if i < 0 {
		return false
	}
	known := l.list[i].Until
	return !d.Until.Known() || d.Until == known || d.Until.Before(known)
}

// repeatedBy returns the departure that a departure without a start repeats most likely,
// or d: a boot that leaves may send its departure again before it ends.
func (l *departures) repeatedBy(d Departure) Departure {
	for _, o := range l.list {
		if o.ID == d.ID && o.Start.Known() && o.acknowledged && !o.followed {
			d = o.Departure
		}
	}
	return d
}

// newestStart returns the newest known start of the boots with an id that have left.
func (l *departures) newestStart(id string) (newest Start) {
	for _, d := range l.list {
		if d.ID == id {
			newest = newest.later(d.Start)
		}
	}
	return newest
}
