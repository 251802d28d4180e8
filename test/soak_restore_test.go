package test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/lentilflow/lentilflow/pkg/standin/store"
)

const (
	// restoreStream separates the random numbers of restores from those of the other
	// faults, which are the same with and without restores.
	restoreStream = 31
	// maxCopyAge is how much a restored store loses at the most.
	maxCopyAge = 4 * time.Second
	// copyInterval is the time between two copies of the store.
	copyInterval = 100 * time.Millisecond
)

// storeCopy is a copy of the store with the time at which it was made, and the
// number of rows of nodes that it has.
type storeCopy struct {
	*store.Copy
	at   time.Time
	rows int
}

func (s *soak) copyStore() storeCopy {
	return storeCopy{s.store.Copy(), time.Now(), len(s.store.Keys(nodesTable))}
}

// startRestores restores the store from older copies again and again, while nodes
// leave and join, if the seed is one of those whose store does so, until end is
// called.
func (s *soak) startRestores(seed uint64) (end func()) {
	if seed%6 != 3 && seed%6 != 5 {
		return func() {}
	}
	rnd := rand.New(rand.NewPCG(seed, restoreStream))
	ended := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		copies := []storeCopy{s.copyStore()}
		for {
			age, losesRows := time.Duration(rnd.Int64N(int64(maxCopyAge))), rnd.IntN(2) == 0
			away := time.Duration(rnd.IntN(1000)) * time.Millisecond
			next := time.Now().Add(time.Duration(500+rnd.IntN(3000)) * time.Millisecond)
			keepsConnections, raises := rnd.IntN(4) == 0, rnd.IntN(2) == 0
			n, absence := s.nodes[rnd.IntN(len(s.nodes))], time.Duration(rnd.IntN(1500))*time.Millisecond
			s.tasks.Go(func() { s.rejoin(n, absence) })
			for time.Now().Before(next) {
				select {
				case <-ended:
					return
				case <-time.After(copyInterval):
					copies = append(copies, s.copyStore())
				}
			}
			if losesRows {
				age = maxCopyAge
			}
			for len(copies) > 1 && time.Since(copies[1].at) > age {
				copies = copies[1:]
			}
			from := copies[0]
			if losesRows {
				from = slices.MinFunc(copies, func(a, b storeCopy) int { return cmp.Compare(a.rows, b.rows) })
			}
			s.restoreFrom(from.Copy, away, keepsConnections, raises)
			copies = []storeCopy{s.copyStore()}
		}
	})
	return func() {
		close(ended)
		wait.Wait()
	}
}

// rejoin takes a node away with its upstream, so that its row is removed, and adds
// it again after a while.
func (s *soak) rejoin(n *node, absence time.Duration) {
	if s.busy[n.name].Swap(true) {
		return
	}
	defer s.busy[n.name].Store(false)
	s.recordAction("rejoin " + n.name)
	n.upstream.Leave()
	n.upstream.Crash()
	s.stopProcess(n, syscall.SIGTERM)
	time.Sleep(absence)
	n.startUpstream()
	s.startProcessAgain(n)
}

// restoreFrom restores the store. It closes the connections to it, unless they
// survive, and gives out its last versions again, if raises is set, before nodes
// reach it. The operator writes the newest configuration again afterwards.
func (s *soak) restoreFrom(from *store.Copy, away time.Duration, keepsConnections, raises bool) {
	s.recordAction("restore")
	version := s.store.Version()
	if !keepsConnections {
		for _, n := range s.nodes {
			n.endpoint.SetAway(true)
		}
	}
	s.store.Restore(from)
	time.Sleep(away)
	if raises {
		s.raiseVersion(version)
	}
	for _, n := range s.nodes {
		n.endpoint.SetAway(false)
	}
	s.putNewestAgain()
}
