package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a node that writes its row without end against another writer: at
// most one write in 30 s in the long run, and at once if the row was stable for a
// while.
func TestRewritesOfARowArePaced(t *testing.T) {
	is := is.New(t)
	var p RewritePacer
	now := time.Unix(1000, 0)
	is.Equal(p.Pause(now), time.Duration(0))
	p.Written(now)
	writes := 0
	for end := now.Add(time.Hour); now.Before(end); writes++ {
		now = now.Add(p.Pause(now) + 10*time.Millisecond) // the other writer changes it at once
		p.Written(now)
	}
	is.True(writes <= 120+6)
	now = now.Add(rewriteWindow + time.Second)
	is.Equal(p.Pause(now), time.Duration(0))
}
