package publisher

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a takeover later than 8 s after the last renewal, or before
// the holder has stopped.
func TestTakeoverTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_000_000, 0)
		holder, candidate := lease{self: "a"}, lease{self: "b"}
		holder.observe(start, leaseRow{}, 0)
		revision, renewal, renewals := uint64(0), start, rapid.IntRange(1, 20).Draw(t, "renewals")
		for now := start; ; now = now.Add(10 * time.Millisecond) {
			if renewals > 0 && !now.Before(holder.nextAt) {
				row, ok := holder.next(now)
				if !ok {
					t.Fatalf("no renewal after %v", now.Sub(start))
				}
				revision, renewal, renewals = revision+1, now, renewals-1
				holder.written(now, now, row, revision)
				holder.nextAt = holder.wakeAt(now, 0)
			}
			if now.Before(candidate.nextAt) {
				continue
			}
			candidate.observe(now, holder.row, revision)
			if _, ok := candidate.next(now); ok {
				if late := now.Sub(renewal); renewals > 0 || holder.holds(now) || late > 8*time.Second+10*time.Millisecond {
					t.Fatalf("taken %v after the last renewal, %d to come", late, renewals)
				}
				return
			}
			candidate.nextAt = candidate.wakeAt(now, rapid.Float64Range(0, 1).Draw(t, "jitter"))
		}
	})
}
