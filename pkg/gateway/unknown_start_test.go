package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/crashguard"
	"github.com/lentilflow/lentilflow/pkg/shaping"
	"github.com/lentilflow/lentilflow/pkg/upstream"
)

// Guards against one crash that counts as two, and refuses the request for them: some of
// the requests at the upstream were sent before its first report stated its start.
func TestCrashOfFoundBootCountsOnce(t *testing.T) {
	is := is.New(t)
	l := newUnreportedLocal(t, "127.0.0.1:1", shaping.NewLink(0), testConfiguration(injectedFault{}), true)
	crashes := make(chan crashguard.Crash, 2)
	l.OnCrash = func(_ crashguard.Fingerprint, c crashguard.Crash) { crashes <- c }
	l.tracker.Discover("boot", 2)
	l.updateBoot("found")
	before := l.running.add(downloadAttempt(time.Second), l.boot.Load())
	l.Report(upstream.Report{ID: "boot", Start: upstream.StartedAt(7), Sequence: 1, Service: testService, Slots: 2})
	after := l.running.add(downloadAttempt(time.Second), l.boot.Load())
	is.Equal(l.running.count(l.boot.Load()), 2)
	l.inspect(before, false)
	is.True(!l.Serving())
	l.inspect(after, false)
	is.Equal((<-crashes).ID, (<-crashes).ID)
}
