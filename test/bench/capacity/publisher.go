package main

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"github.com/lentilflow/lentilflow/pkg/distribution"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/test/bench/internal/mesh"
)

const rolePublisher = "publisher"

func errSetup(state distribution.State, s setup) error {
	return merry.Errorf("node has %d ready entries, %d children, version %d; wanted %d entries, %d children",
		state.Roster["ready"], len(state.Children), state.Info.Number, s.roster+1, s.children)
}

// publisherRole measures one node that accepts changes of files of several
// sizes, with a change each 0.7 s, because it polls each 0.5 s.
func publisherRole(ctx context.Context, f *flags, p *page) error {
	sizes := []float64{100, 1000, 5000}
	var cost, memory, reads, writes []float64
	results := make([]acceptance, len(sizes))
	var g errgroup.Group
	for i, rules := range sizes {
		g.Go(func() (err error) {
			results[i], err = acceptances(ctx, f, int(rules))
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	for _, a := range results {
		u, id, n, seconds := a.usage, a.node, a.versions, runTime.Seconds()
		cost = append(cost, (u[1].Node[id].Processor-u[0].Node[id].Processor)*seconds/float64(n)*1000)
		memory = append(memory, resident(u[1].Node[id]))
		reads = append(reads, (u[1].Reads-u[0].Reads)*seconds/float64(n))
		writes = append(writes, (u[1].Writes-u[0].Writes)*seconds/float64(n))
	}
	c := p.line(rolePublisher, "processor time for one accepted change", "ms", "rules", 1000, 0, sizes, cost)
	p.line(rolePublisher, "memory under constant changes", "MB", "rules", 1000, 32, sizes, memory)
	r := p.line(rolePublisher, "store reads for one accepted change", "reads", "rules", 1000, 0, sizes, reads)
	w := p.line(rolePublisher, "store writes for one accepted change", "writes", "rules", 1000, 0, sizes, writes)
	p.sum(rolePublisher, "processor for acceptance", "% of a core", c.Derived()/1000*changesPerDay/daySeconds*100, 3.3, "2,900 changes a day of a file with 1,000 rules")
	p.sum(rolePublisher, "store reads for acceptance", "1/s", r.Derived()*changesPerDay/daySeconds, 2000, "2,900 changes a day")
	p.sum(rolePublisher, "store writes for acceptance", "1/s", w.Derived()*changesPerDay/daySeconds, 400, "2,900 changes a day")
	return nil
}

// acceptance is the use of a publisher that is alone, idle and with changes.
type acceptance struct {
	usage    [2]mesh.Usage
	node     model.NodeID
	versions int
}

func acceptances(ctx context.Context, f *flags, rules int) (a acceptance, err error) {
	m, err := mesh.Start(ctx, mesh.Config{Binary: f.Binary, Zones: mesh.Zones()[:1], Nodes: 1, Rules: mesh.Rules(rules, 0)})
	if err != nil {
		return a, err
	}
	defer m.Stop()
	time.Sleep(joinTime / 2)
	n := m.Nodes[0]
	a.node = n.ID
	if a.usage[0], err = m.Measure(func() { time.Sleep(runTime) }); err != nil {
		return a, err
	}
	before, err := n.State()
	if err != nil {
		return a, err
	}
	var putErr error
	a.usage[1], err = m.Measure(func() { putErr = editFor(ctx, m, rules) })
	if err != nil || putErr != nil {
		return a, errors.Join(err, putErr)
	}
	after, err := n.State()
	if a.versions = int(after.Info.Number - before.Info.Number); a.versions == 0 && err == nil {
		err = merry.Errorf("no change of %d rules was accepted", rules)
	}
	return a, err
}

// editFor changes one rule every 0.7 s for runTime.
func editFor(ctx context.Context, m *mesh.Mesh, rules int) error {
	end := time.Now().Add(runTime)
	for i := 1; time.Now().Before(end); i++ {
		if err := m.Put(ctx, mesh.Rules(rules, i)); err != nil {
			return err
		}
		time.Sleep(700 * time.Millisecond)
	}
	return nil
}
