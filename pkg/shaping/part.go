package shaping

import "time"

// Part is one piece of a response that waits for a Core.
type Part = part

// NewPart returns a part of n bytes, for users of a Core that keep the time
// themselves. order is that of its transfer; the lowest is the oldest. due is when
// the response misses its latency target, on the clock of the now arguments of
// Core, 0 if it has none. remaining is the number of bytes that the transfer still
// has to send.
func NewPart(order uint64, due time.Duration, remaining, n int64) *Part {
	return &part{flow: &flow{order: order, due: due, remaining: remaining}, bytes: n}
}
