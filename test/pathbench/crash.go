package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	crashSends  = 100
	lostAtMost  = 2
	resendPause = 5 * time.Millisecond
)

// supervise starts crashed upstreams again, as their VMs do, until ctx ends.
func (b *bench) supervise(ctx context.Context, m *member, crashes *atomic.Int64) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.server.done:
			crashes.Add(1)
			if b.startServer(m) != nil {
				return
			}
		}
	}
}

// crash sends one request that crashes upstreams again and again through all
// nodes, from the given number of callers, and returns the upstreams lost.
func (b *bench) crash(ctx context.Context, bases []string, name string, callers int) int {
	var crashes atomic.Int64
	var all, supervisors sync.WaitGroup
	supervised, stop := context.WithCancel(ctx)
	for _, m := range b.members {
		supervisors.Go(func() { b.supervise(supervised, m, &crashes) })
	}
	for caller := range callers {
		all.Go(func() {
			for i := range crashSends / callers {
				url := fmt.Sprintf("%s/crash/%s", bases[(i+caller)%len(bases)], name)
				if resp, err := b.client.Get(url); err == nil {
					drop(resp)
				}
				time.Sleep(resendPause)
			}
		})
	}
	all.Wait()
	time.Sleep(200 * time.Millisecond) // for the end of the last process
	stop()
	supervisors.Wait()
	return int(crashes.Load())
}

// crashes compares the crash guard with forwarders that pass on every call.
func (b *bench) crashes(ctx context.Context, plain *baseline) error {
	for round := range b.rounds {
		lost := b.crash(ctx, b.nodes, fmt.Sprintf("one-%d", round), 1)
		if lost == 0 {
			return merry.New("the crashing request crashed nothing")
		}
		b.out.add("crash.system.lost", float64(lost), "upstreams", atMost(lostAtMost))
		lost = b.crash(ctx, b.nodes, fmt.Sprintf("four-%d", round), 4)
		b.out.add("crash.system.lost_to_four_callers", float64(lost), "upstreams", target{})
	}
	lost := b.crash(ctx, plain.calls, "plain", 1)
	b.out.add("crash.forwarder.lost", float64(lost), "upstreams", target{})
	b.out.flush()
	return ctx.Err()
}
