package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/lentilflow/lentilflow/test/bench/internal/mesh"
	"github.com/lentilflow/lentilflow/test/bench/internal/report"
)

const (
	partTime = 12 * time.Second // longer than a lease and than the limit of a silent stream
	// speedup shortens a day of changes and restarts so that some fall into
	// busyTime. Use beyond the idle use is divided by it.
	speedup        = 60
	busyTime       = 20 * time.Second
	changesPerDay  = 2900
	restartsPerDay = 720
	day            = 24 * time.Hour
)

// heal parts the region litoral from the others while a version is accepted
// and measures the time from the heal until it is in force everywhere.
func (b *bench) heal(ctx context.Context) error {
	w, err := b.watch(ctx)
	if err != nil {
		return err
	}
	defer w.Close()
	ctx, cancel := context.WithTimeout(ctx, limit+partTime)
	defer cancel()
	next := w.Highest() + 1
	b.Peers.Part("litoral", true)
	b.Reads.Part("litoral", true)
	time.Sleep(partTime / 2)
	_, err = b.edit(ctx)
	time.Sleep(partTime / 2)
	b.Reads.Part("litoral", false)
	b.Peers.Part("litoral", false)
	healed := time.Now()
	if err != nil {
		return err
	}
	_, last, err := w.Await(ctx, b.Mesh, next)
	if err != nil {
		b.figures.Failed(b.name("in_force_after_heal"), err)
		return nil
	}
	b.figures.Most(b.name("in_force_after_heal"), last.Sub(healed).Seconds(), "s", 5)
	return b.complete(ctx)
}

// complete waits until the rosters agree again.
func (b *bench) complete(ctx context.Context) error {
	at := time.Now()
	if err := b.AwaitComplete(ctx, time.Minute); err != nil {
		return err
	}
	b.figures.Info(b.name("rosters_agree_after_heal"), time.Since(at).Seconds(), "s")
	return nil
}

// dying kills a third of the nodes, among them a root, as soon as a version is
// accepted.
func (b *bench) dying(ctx context.Context) error {
	w, err := b.watch(ctx)
	if err != nil {
		return err
	}
	defer w.Close()
	d, _, err := b.change(ctx, w, func() {
		for i, n := range b.Nodes {
			if i%3 == 1 {
				n.Signal(syscall.SIGKILL)
			}
		}
	})
	if err != nil {
		b.figures.Failed(b.name("in_force_third_dying"), err)
		return nil
	}
	b.figures.Most(b.name("in_force_third_dying"), d.Seconds(), "s", 3)
	return nil
}

// busy measures use while the changes and restarts of a day are sped up.
func (b *bench) busy(ctx context.Context) error {
	u, err := b.Measure(func() { b.churn(ctx) })
	if err != nil {
		return err
	}
	if err := b.AwaitComplete(ctx, time.Minute); err != nil {
		return err
	}
	scaled := mesh.Usage{Node: u.Node}
	for id, n := range u.Node {
		idle := b.idleUsage.Node[id]
		n.Processor = idle.Processor + max(0, n.Processor-idle.Processor)/speedup
		n.Bytes = idle.Bytes + max(0, n.Bytes-idle.Bytes)/speedup
		scaled.Node[id] = n
	}
	b.usage("derived_busy", scaled)
	b.figures.Info(b.name("busy_store_reads"), u.Reads, "1/s")
	b.figures.Info(b.name("busy_store_writes"), u.Writes, "1/s")
	b.figures.Info(b.name("busy_store_refused"), float64(u.Refused), "requests")
	return nil
}

// churn edits the file and restarts nodes at the rates of a day times speedup.
func (b *bench) churn(ctx context.Context) {
	edits := time.NewTicker(day / changesPerDay / speedup)
	defer edits.Stop()
	restarts := time.NewTicker(day / restartsPerDay / speedup)
	defer restarts.Stop()
	end := time.After(busyTime)
	var stopping sync.WaitGroup
	defer stopping.Wait()
	for next := len(b.Nodes) - 1; ; {
		select {
		case <-end:
			return
		case <-edits.C:
			if _, err := b.edit(ctx); err != nil {
				return
			}
		case <-restarts.C:
			n := b.Nodes[next]
			next--
			stopping.Go(func() {
				if err := n.Restart(); err != nil {
					fmt.Printf("# restart of %s: %v\n", n.ID, err)
				}
			})
		}
	}
}

// drain stops a node that takes calls from others, and measures the time until
// its last new call.
func (b *bench) drain(ctx context.Context) error {
	victim := b.Nodes[len(b.Nodes)-1]
	path, ok := pathOf(victim.Service, b.rules)
	if !ok {
		return fmt.Errorf("no rule for service %s", victim.Service)
	}
	ctx, cancel := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i, n := range b.Nodes[:min(12, len(b.Nodes)-1)] {
		callers.Go(func() { call(ctx, n, path, time.Duration(i)*time.Millisecond) })
	}
	time.Sleep(2 * time.Second)
	before, _ := victim.Upstream.Calls()
	at := time.Now()
	ended := victim.Signal(syscall.SIGTERM)
	<-ended
	cancel()
	callers.Wait()
	after, last := victim.Upstream.Calls()
	if before == 0 {
		b.figures.Failed(b.name("drain_to_last_call"), fmt.Errorf("the node took no calls"))
		return nil
	}
	b.figures.Most(b.name("drain_to_last_call"), max(0, last.Sub(at).Seconds()), "s", 3)
	b.figures.Info(b.name("drain_calls_after"), float64(after-before), "calls")
	return victim.Start()
}

func pathOf(service string, rules int) (string, bool) {
	for i := range rules {
		if mesh.Service(i) == service {
			return mesh.Path(i), true
		}
	}
	return "", false
}

// call sends calls to a node until ctx ends, 100 a second.
func call(ctx context.Context, n *mesh.Node, path string, offset time.Duration) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := http.Client{Transport: transport, Timeout: time.Second}
	time.Sleep(offset)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Calls+path, nil)
		if err != nil {
			return
		}
		req.Host = mesh.Host
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}

// median returns the median in seconds.
func median(times []float64) float64 { return report.Summarize(times).Median }
