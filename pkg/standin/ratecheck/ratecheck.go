// Package ratecheck counts the requests of an upstream that states a rate limit as
// the users' platform does. Tests use it.
package ratecheck

import (
	"slices"
	"time"
)

const (
	// Window is the span in which requests are counted.
	Window = 4 * time.Second
	// SettleTime is the time from the first response with a limit until the count
	// begins; the bound of the deployments is 3 s or more.
	SettleTime = 3 * time.Second
	// factor and extra are what is permitted within a Window: factor times what the
	// limit allows, and extra requests.
	factor = 1.5
	extra  = 5
)

// Permitted returns the number of requests that are permitted within a Window under
// a limit of rate requests per second.
func Permitted(rate float64) int { return int(factor*rate*Window.Seconds()) + extra }

// Most returns the largest number of arrivals after the time from within a Window.
func Most(arrivals []time.Time, from time.Time) int {
	sorted := slices.SortedFunc(slices.Values(arrivals), time.Time.Compare)
	most, first := 0, 0
	for i, at := range sorted {
		if !at.After(from) {
			first = i + 1
			continue
		}
		for at.Sub(sorted[first]) > Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
