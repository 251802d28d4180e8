package fleet

import "time"

const (
	// rewriteWindow is the time after a write of a node's row within which another
	// writer must have changed it for the next write to be delayed.
	rewriteWindow = time.Minute
	// firstRewritePause and maxRewritePause bound that delay, which doubles each time.
	firstRewritePause = time.Second
	maxRewritePause   = 30 * time.Second
)

// RewritePacer limits how often a node writes its row again if another writer keeps
// changing it, for example another node that has the same name by mistake. Otherwise
// both would write without end, and each write reaches every node. The zero value
// delays nothing yet. It is not safe for concurrent use.
type RewritePacer struct {
	last  time.Time // of the last write
	pause time.Duration
}

// Pause returns how long the node is to wait before it writes its row.
func (p *RewritePacer) Pause(now time.Time) time.Duration {
	switch {
	case p.last.IsZero() || now.Sub(p.last) > rewriteWindow:
		p.pause = 0
	case p.pause == 0:
		p.pause = firstRewritePause
	default:
		p.pause = min(2*p.pause, maxRewritePause)
	}
	return p.pause
}

// Written records that the node has written its row.
func (p *RewritePacer) Written(now time.Time) { p.last = now }
