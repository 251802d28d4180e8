package shaping

import "time"

// Part is one piece of an answer that waits for a Core.
type Part = part

// NewPart returns a part of n bytes, for users of a Core that keep the time
// themselves. order is that of its transfer, due when the answer misses its
// latency target (0 for none), and left what the transfer still has to send.
func NewPart(order uint64, due time.Duration, remaining, n int64) *Part {
	return &part{flow: &flow{order: order, due: due, remaining: remaining}, bytes: n}
}
