package main

import (
	"fmt"
	"math"
	"sync"
	"syscall"
	"time"

	"github.com/lentilflow/lentilflow/pkg/delta"
	"github.com/lentilflow/lentilflow/test/bench/internal/mesh"
	"github.com/lentilflow/lentilflow/test/bench/internal/report"
)

const (
	remoteRegions = 2
	partTime      = 12 * time.Second // longer than a lease and than the limit of a silent stream
	// speedup shortens a day of changes and restarts so that some fall into
	// busyTime. Use beyond the idle use is divided by it.
	speedup        = 60
	busyTime       = 20 * time.Second
	changesPerDay  = 2900
	restartsPerDay = 720
	day            = 24 * time.Hour
)

// edit changes one rule, or adds one, and returns the size of the compressed
// delta.
func (b *bench) edit() int {
	before := mesh.Rules(b.rules, b.edits)
	if b.adds {
		b.rules++
	} else {
		b.edits++
	}
	after := mesh.Rules(b.rules, b.edits)
	b.Put(after)
	return len(report.Get(delta.Encode(before, after)))
}

// watch starts to watch the nodes and waits until each has sent its version.
func (b *bench) watch() *mesh.Watch {
	w := b.Watch()
	if _, err := w.Await(1, limit); err != nil {
		w.Close()
		report.Must(err)
	}
	return w
}

// change edits the file and returns the time in seconds from acceptance until
// the version is in force on the last live node, +Inf if it is not within
// limit. accepted is called as soon as a node has the version.
func (b *bench) change(w *mesh.Watch, accepted func()) (seconds float64, size int) {
	next := w.Highest().Number + 1
	size = b.edit()
	for end := time.Now().Add(limit); w.Highest().Number < next && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	accepted()
	last, err := w.Await(next, limit)
	if err != nil {
		fmt.Println("#", err)
		return math.Inf(1), size
	}
	return last.Sub(w.Highest().AcceptedAt).Seconds(), size
}

func (b *bench) calm() {
	w := b.watch()
	defer w.Close()
	times := b.compare(w, "one_changed_rule", flags.Changes)
	report.Most(b.name("in_force_calm_max"), report.Max(times), "s", 1)
	report.Info(b.name("in_force_calm_median"), report.Median(times), "s")
	b.adds = true
	b.compare(w, "one_added_rule", flags.Changes/2)
	b.adds = false
}

// compare makes changes, prints their bytes between regions against the
// compressed delta for each remote region, and returns the times in seconds.
func (b *bench) compare(w *mesh.Watch, name string, changes int) (times []float64) {
	deltas := 0
	sent, wire := b.VersionBytes(), b.Peers.Bytes()
	for range changes {
		seconds, size := b.change(w, func() {})
		times = append(times, seconds)
		deltas += size
	}
	time.Sleep(300 * time.Millisecond) // the heartbeats that follow
	ideal, count := float64(deltas*remoteRegions), float64(changes)
	wire, sent = b.Peers.Bytes()-wire, b.VersionBytes()-sent
	report.Info(b.name(name+"_compressed_delta"), float64(deltas)/count, "B")
	report.Info(b.name(name+"_version_frame"), sent/count/remoteRegions, "B")
	report.Most(b.name(name+"_version_frames_ratio"), sent/ideal, "x", 1.5)
	report.Info(b.name(name+"_between_regions"), wire/count, "B")
	report.Info(b.name(name+"_wire_ratio"), wire/ideal, "x")
	return times
}

// busy measures use while the changes and restarts of a day are sped up.
func (b *bench) busy() {
	u := b.Measure(b.churn)
	b.Await(1)
	b.memory("sped_up", u) // memory cannot be scaled back
	for id, n := range u.Node {
		idle := b.idle.Node[id]
		n.Processor = idle.Processor + max(0, n.Processor-idle.Processor)/speedup
		n.Bytes = idle.Bytes + max(0, n.Bytes-idle.Bytes)/speedup
		u.Node[id] = n
	}
	b.usage("derived_busy", u)
	report.Info(b.name("sped_up_store_reads"), u.Reads, "1/s")
	report.Info(b.name("sped_up_store_writes"), u.Writes, "1/s")
}

// churn edits the file and restarts the youngest nodes at the rates of a day
// times speedup.
func (b *bench) churn() {
	edits, restarts := time.NewTicker(day/changesPerDay/speedup), time.NewTicker(day/restartsPerDay/speedup)
	defer edits.Stop()
	defer restarts.Stop()
	var stopping sync.WaitGroup
	defer stopping.Wait()
	end := time.After(busyTime)
	for next := len(b.Nodes) - 1; ; {
		select {
		case <-end:
			return
		case <-edits.C:
			b.edit()
		case <-restarts.C:
			n := b.Nodes[next]
			next--
			stopping.Go(func() {
				<-n.Signal(syscall.SIGTERM)
				n.Start()
			})
		}
	}
}

// heals is the number of partitions, because the time after a heal depends on
// jittered delays.
const heals = 3

// heal parts the region litoral from the others while a version is accepted
// and measures the time from the heal until it is in force everywhere.
func (b *bench) heal() {
	w := b.watch()
	defer w.Close()
	var force, agree []float64
	for range heals {
		next := w.Highest().Number + 1
		b.Peers.Part("litoral", true)
		b.Reads.Part("litoral", true)
		time.Sleep(partTime / 2)
		b.edit()
		time.Sleep(partTime / 2)
		b.Reads.Part("litoral", false)
		b.Peers.Part("litoral", false)
		healed := time.Now()
		last, err := w.Await(next, limit)
		if err != nil {
			fmt.Println("#", err)
			last = healed.Add(limit)
		}
		force = append(force, last.Sub(healed).Seconds())
		b.Await(next)
		agree = append(agree, time.Since(healed).Seconds())
	}
	report.Most(b.name("in_force_after_heal_max"), report.Max(force), "s", 5)
	report.Info(b.name("in_force_after_heal_median"), report.Median(force), "s")
	report.Info(b.name("rosters_agree_after_heal_max"), report.Max(agree), "s")
}

// dying kills a third of the nodes, roots among them, as soon as a version is
// accepted.
func (b *bench) dying() {
	w := b.watch()
	defer w.Close()
	seconds, _ := b.change(w, func() {
		for i, n := range b.Nodes {
			if i%3 == 1 {
				n.Signal(syscall.SIGKILL)
			}
		}
	})
	report.Most(b.name("in_force_third_dying"), seconds, "s", 3)
}

// drain stops a node that takes calls from others, and measures the time until
// its last new call.
func (b *bench) drain() {
	victim, rule := b.Nodes[len(b.Nodes)-1], 0
	for mesh.Service(rule) != victim.Service {
		rule++
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, n := range b.Nodes[:min(12, len(b.Nodes)-1)] {
		callers.Go(func() { n.Load(rule, 100, stop) })
	}
	time.Sleep(2 * time.Second)
	before, _ := victim.Taken()
	at := time.Now()
	<-victim.Signal(syscall.SIGTERM)
	close(stop)
	callers.Wait()
	after, last := victim.Taken()
	seconds := max(0, last.Sub(at).Seconds())
	if before == 0 {
		seconds = math.Inf(1) // the node took no calls, so nothing was measured
	}
	report.Info(b.name("drain_calls_before"), float64(before), "calls")
	report.Info(b.name("drain_calls_after"), float64(after-before), "calls")
	report.Most(b.name("drain_to_last_call"), seconds, "s", 3)
	victim.Start()
}
