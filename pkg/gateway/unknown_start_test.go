package gateway

import (
	"fmt"
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

// Guards against a boot that stays out of use because a remote node keeps sending what an
// earlier boot with the same id has stated before its start was known.
func TestRemoteStatementWithoutStartDoesNotEndLaterBoot(t *testing.T) {
	is := is.New(t)
	address, _ := rawUpstream(t, fmt.Sprintf("HTTP/1.1 200 X\r\n%s: boot\r\nContent-Length: 0\r\n\r\n", testNames.Boot), true)
	cfg := testConfiguration(injectedFault{})
	cfg.Services[0].HealthPath = "/health"
	l := newUnreportedLocal(t, address, shaping.NewLink(0), cfg, true)
	leaving := bootStatement{boot: upstream.Boot{ID: "boot"}, Statement: upstream.Statement{Leaving: true}}
	l.adoptStatement("r", leaving.String())
	l.Report(upstream.Report{ID: "boot", Start: upstream.StartedAt(7), Sequence: 1, Service: testService, Slots: 1})
	for end := time.Now().Add(5 * time.Second); !l.Serving() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.True(l.Serving())
	l.adoptStatement("r", leaving.String())
	is.True(l.Serving())
}
