package node

import (
	"context"
	"runtime/debug"
	"time"
)

// Times at which free memory is returned to the system. Between two
// collections the Go heap grows to twice what is in use, and the burst of a
// start or of a large change stays resident for minutes, which at 2,800 roster
// entries exceeds the 32 MB that a node may use.
const (
	firstTrim    = 5 * time.Second
	trimInterval = 30 * time.Second
)

// trimMemory returns free memory to the system until ctx ends.
func trimMemory(ctx context.Context) error {
	timer := time.NewTimer(firstTrim)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			debug.FreeOSMemory()
			timer.Reset(trimInterval)
		}
	}
}
