package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lentilflow/lentilflow/pkg/standin/platform"
	"github.com/lentilflow/lentilflow/pkg/standin/upstream"
)

const (
	keyCount      = 102_000 // over 100,000 of them run
	keyCountQuick = 5_000
	keyWorkers    = 96
	keySends      = 4 // at most, by one caller
	// twinShare is the share of keys that two callers send at the same time.
	twinShare = 0.2
	// loseShare is the share of store writes whose answer is lost.
	loseShare = 0.02
	killEvery = 2 * time.Second
	cutEvery  = time.Second
	cutTime   = 200 * time.Millisecond
)

// keys sends non-idempotent calls under a mix of faults and counts the runs of
// each key in the ledgers of the upstreams.
func (b *bench) keys(ctx context.Context) error {
	count := keyCount
	if b.quick {
		count = keyCountQuick
	}
	b.store.SetFaults(platform.Faults{Unlimited: true, LoseShare: loseShare})
	faults, stop := context.WithCancel(ctx)
	var disturbing sync.WaitGroup
	var kills, cuts int
	disturbing.Go(func() { kills = repeat(faults, killEvery, b.killNode) })
	disturbing.Go(func() { cuts = repeat(faults, cutEvery, b.cutLink) })
	start := time.Now()
	var next, answered atomic.Int64
	var workers sync.WaitGroup
	for w := range keyWorkers {
		random := rand.New(rand.NewPCG(seed, uint64(w)))
		workers.Go(func() {
			for k := next.Add(1); int(k) <= count && ctx.Err() == nil; k = next.Add(1) {
				if b.sendKey(ctx, fmt.Sprintf("key-%d", k), random) {
					answered.Add(1)
				}
			}
		})
	}
	workers.Wait()
	stop()
	disturbing.Wait()
	b.out.note("keys: unlimited store, %d nodes killed, %d links cut, %d store answers lost, %v", kills, cuts,
		b.store.Counters().Lost, time.Since(start).Round(time.Second))
	b.out.add("keys.sent", float64(count), "keys", target{})
	b.out.add("keys.answered", 100*float64(answered.Load())/float64(count), "%", target{})
	return b.countRuns()
}

// sendKey sends one key, for some keys from two callers at once.
func (b *bench) sendKey(ctx context.Context, key string, random *rand.Rand) (answered bool) {
	first, second := random.IntN(members), random.IntN(members)
	var twin sync.WaitGroup
	if random.Float64() < twinShare {
		twin.Go(func() { b.sendUntilAnswered(ctx, key, second) })
	}
	answered = b.sendUntilAnswered(ctx, key, first)
	twin.Wait()
	return answered
}

// sendUntilAnswered sends the key through one node after the other, even after
// an unknown outcome, because callers do so.
func (b *bench) sendUntilAnswered(ctx context.Context, key string, node int) bool {
	for try := range keySends {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.members[(node+try)%members].calls+"/key", strings.NewReader(key))
		if err != nil {
			return false
		}
		req.Header.Set("Idempotency-Key", key)
		if resp, err := b.client.Do(req); err == nil {
			drop(resp)
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(rand.N(20 * time.Millisecond))
	}
	return false
}

// repeat calls f with 0, 1, 2 and so on, one call a period, until ctx ends, and
// returns the number of calls.
func repeat(ctx context.Context, period time.Duration, f func(i int)) (n int) {
	for pause(ctx, period) {
		f(n)
		n++
	}
	return n
}

func (b *bench) killNode(i int) {
	m := b.members[i%members]
	m.node.kill()
	_ = b.startNode(m) // a failed start shows as unanswered keys
}

func (b *bench) cutLink(i int) {
	link := b.members[(i*5+3)%members].link
	link.Cut(true)
	time.Sleep(cutTime)
	link.Cut(false)
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// countRuns reads the ledgers of the upstreams.
func (b *bench) countRuns() error {
	runs := map[string]int{}
	most, total := 0, 0
	for _, m := range b.members {
		f, err := os.Open(m.ledger)
		if err != nil {
			return err
		}
		for _, r := range upstream.ReadLedger(f) {
			if strings.HasPrefix(r.Key, "key-") {
				runs[r.Key]++
				most, total = max(most, runs[r.Key]), total+1
			}
		}
		_ = f.Close()
	}
	b.out.add("keys.that_ran", float64(len(runs)), "keys", target{})
	b.out.add("keys.runs", float64(total), "runs", target{})
	b.out.add("keys.most_runs_of_one_key", float64(most), "runs", atMost(1))
	b.out.flush()
	return nil
}
