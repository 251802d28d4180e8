package main

import (
	"context"
	"fmt"
	"time"

	"github.com/lentilflow/lentilflow/pkg/delta"
	"github.com/lentilflow/lentilflow/test/bench/internal/mesh"
	"github.com/lentilflow/lentilflow/test/bench/internal/report"
)

const (
	settle   = 6 * time.Second  // until joins and returns to the proper parent are over
	idleTime = 15 * time.Second // long enough for five lease renewals and a roster row
	limit    = 20 * time.Second // for one version to be in force everywhere
)

// sized are the usages at one number of nodes.
type sized struct {
	nodes int
	idle  mesh.Usage
}

// bench is one deployment under measurement.
type bench struct {
	*mesh.Mesh
	flags   *flags
	figures *report.Figures
	size    int
	rules   int  // in the file
	edits   int  // of the file so far
	adds    bool // edits add a rule instead of changing one
	// idleUsage is what busy compares with.
	idleUsage mesh.Usage
}

func measureSize(ctx context.Context, f *flags, size int, figures *report.Figures) (sized, error) {
	m, err := deployment(ctx, f, size)
	if err != nil {
		return sized{}, err
	}
	defer m.Stop()
	b := &bench{Mesh: m, flags: f, figures: figures, size: size, rules: f.Rules}
	time.Sleep(settle)
	s := sized{nodes: size}
	if s.idle, err = b.idle(); err != nil {
		return s, err
	}
	b.idleUsage = s.idle
	for _, step := range []func(context.Context) error{b.calm, b.busy, b.heal, b.baselines, b.drain, b.dying} {
		if err := step(ctx); err != nil {
			return s, err
		}
	}
	return s, nil
}

// name adds the number of nodes to the name of a figure.
func (b *bench) name(text string) string { return fmt.Sprintf("%s_%d", text, b.size) }

func (b *bench) idle() (mesh.Usage, error) {
	u, err := b.Measure(func() { time.Sleep(idleTime) })
	if err != nil {
		return u, err
	}
	b.figures.Info(b.name("idle_between_regions"), u.Between*60, "B/min")
	b.figures.Info(b.name("idle_store_between_regions"), u.StoreBetween*60, "B/min")
	b.figures.Info(b.name("idle_store_reads"), u.Reads, "1/s")
	b.figures.Info(b.name("idle_store_writes"), u.Writes, "1/s")
	b.usage("idle", u)
	return u, nil
}

// usage prints the figures of the mean node and of the busiest one.
func (b *bench) usage(when string, u mesh.Usage) {
	bytes := report.Summarize(u.Values(func(n mesh.NodeUsage) float64 { return n.Bytes }))
	processor := report.Summarize(u.Values(func(n mesh.NodeUsage) float64 { return n.Processor * 100 }))
	memory := report.Summarize(u.Values(func(n mesh.NodeUsage) float64 { return n.Resident / 1e6 }))
	b.figures.Most(b.name(when+"_node_bytes_mean"), bytes.Mean, "B/s", 5000)
	b.figures.Most(b.name(when+"_node_bytes_max"), bytes.Max, "B/s", 5000)
	b.figures.Most(b.name(when+"_processor_mean"), processor.Mean, "%core", 3.3)
	b.figures.Most(b.name(when+"_processor_max"), processor.Max, "%core", 3.3)
	if when == "derived_busy" {
		// Memory cannot be scaled back; at the real rates it is lower.
		when = "sped_up"
	}
	b.figures.Most(b.name(when+"_memory_mean"), memory.Mean, "MB", 32)
	b.figures.Most(b.name(when+"_memory_max"), memory.Max, "MB", 32)
}

// edit changes one rule, or adds one, and returns the size of the compressed
// delta.
func (b *bench) edit(ctx context.Context) (int, error) {
	before := mesh.Rules(b.rules, b.edits)
	if b.adds {
		b.rules++
	} else {
		b.edits++
	}
	after := mesh.Rules(b.rules, b.edits)
	d, err := delta.Encode(before, after)
	if err != nil {
		return 0, err
	}
	return len(d), b.Put(ctx, after)
}

// change edits the file and returns the time from acceptance until the version
// is in force on the last live node. during, if any, is called as soon as the
// version is accepted.
func (b *bench) change(ctx context.Context, w *mesh.Watch, during func()) (time.Duration, int, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	next := w.Highest() + 1
	size, err := b.edit(ctx)
	if err != nil {
		return 0, 0, err
	}
	if during != nil {
		if err := w.Accepted(ctx, next); err != nil {
			return 0, 0, err
		}
		during()
	}
	accepted, last, err := w.Await(ctx, b.Mesh, next)
	return last.Sub(accepted), size, err
}

// watch starts to watch the nodes and waits until each has sent its version.
func (b *bench) watch(ctx context.Context) (*mesh.Watch, error) {
	w := b.Watch(ctx)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if _, _, err := w.Await(ctx, b.Mesh, 1); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

func (b *bench) calm(ctx context.Context) error {
	w, err := b.watch(ctx)
	if err != nil {
		return err
	}
	defer w.Close()
	if times := b.compare(ctx, w, "one_changed_rule", b.flags.Changes); times != nil {
		s := report.Summarize(times)
		b.figures.Most(b.name("in_force_calm_max"), s.Max, "s", 1)
		b.figures.Info(b.name("in_force_calm_median"), s.Median, "s")
	}
	b.adds = true
	b.compare(ctx, w, "one_added_rule", b.flags.Changes/2)
	b.adds = false
	return nil
}

// compare makes changes, prints their bytes between regions against the
// compressed delta for each remote region, and returns the times in seconds.
func (b *bench) compare(ctx context.Context, w *mesh.Watch, name string, changes int) []float64 {
	var times []float64
	deltas := 0
	sent, wire := b.versionBytes(), b.Peers.Bytes()
	for range changes {
		d, size, err := b.change(ctx, w, nil)
		if err != nil {
			b.figures.Failed(b.name("in_force_calm"), err)
			return nil
		}
		times = append(times, d.Seconds())
		deltas += size
	}
	time.Sleep(300 * time.Millisecond) // the heartbeats that follow
	const remote = 2                   // regions
	ideal, count := float64(deltas*remote), float64(changes)
	sent, wire = b.versionBytes()-sent, b.Peers.Bytes()-wire
	b.figures.Info(b.name(name+"_compressed_delta"), float64(deltas)/count, "B")
	b.figures.Info(b.name(name+"_version_frame"), sent/count/remote, "B")
	b.figures.Most(b.name(name+"_version_frames_ratio"), sent/ideal, "x", 1.5)
	b.figures.Info(b.name(name+"_between_regions"), float64(wire)/count, "B")
	b.figures.Info(b.name(name+"_wire_ratio"), float64(wire)/ideal, "x")
	return times
}

// versionBytes returns the bytes of version frames sent to other regions so
// far, by the counters of the relays.
func (b *bench) versionBytes() float64 {
	var sum float64
	for _, n := range b.Alive() {
		if r, err := n.Read(false); err == nil {
			sum += r.Metrics.Sum("lentilflow_control_bytes_total", `kind="version"`, `direction="sent"`, `scope="other_region"`)
		}
	}
	return sum
}
