package gossip

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// fetchBound bounds the time from the first news of a newer version to that version,
// if one node that has it responds. A version must be in force everywhere after 2 s.
const fetchBound = 1500 * time.Millisecond

// Guards against a node that knows of a newer version and of a node that has it, and
// asks other nodes at random, most of which lag too.
func TestNewerVersionIsFetchedFromNodeThatHasIt(t *testing.T) {
	peers := newZone(t, "z", 12)
	setFleet(peers, 1)
	for _, p := range peers {
		p.offerConfig(t, 6)
	}
	holder, lagging := peers[3], peers[7]
	holder.offerConfig(t, 7)
	lagging.runCatchUp(t)
	lagging.NoteNewerConfig(7, holder.Self.Node)
	lagging.awaitVersion(t, 7, fetchBound)
}

// runCatchUp runs the loops of p that get newer versions from other nodes until the
// test ends.
func (p *peer) runCatchUp(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var ended sync.WaitGroup
	for _, loop := range []func(context.Context) error{p.Run, p.RunCatchUp} {
		ended.Go(func() { _ = loop(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		ended.Wait()
	})
}

// awaitVersion fails the test if p does not have version v within the bound.
func (p *peer) awaitVersion(t *testing.T, v model.Version, bound time.Duration) {
	t.Helper()
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if p.Config.Version() >= v {
			return
		}
	}
	t.Fatalf("%s has version %d after %s, want %d", p.Self.Node, p.Config.Version(), bound, v)
}
