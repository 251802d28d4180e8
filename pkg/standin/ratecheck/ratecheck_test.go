package ratecheck

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards the count that other tests rely on: windows slide, their ends count, and
// arrivals before the start do not.
func TestMostCountsSlidingWindows(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	at := func(seconds ...float64) (times []time.Time) {
		for _, s := range seconds {
			times = append(times, start.Add(time.Duration(s*float64(time.Second))))
		}
		return times
	}
	is.Equal(Most(nil, start), 0)
	is.Equal(Most(at(1, 2, 5, 5.5, 9.5), start), 3)         // 1, 2 and 5; 2, 5 and 5.5
	is.Equal(Most(at(5.5, 9.5, 1, 2, 5), start), 3)         // in any order
	is.Equal(Most(at(-1, -0.5, 0, 1, 2), start), 2)         // after the start only
	is.Equal(Most(at(1, 1, 1, 1), start.Add(time.Hour)), 0) // all before it
	is.Equal(Permitted(8), 53)
}
