package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/platform"
)

var t0 = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// entry returns the i-th node of zone z; older nodes have lower i.
func entry(region, zone string, i int) model.Entry {
	return model.Entry{
		Node:       model.NodeID(fmt.Sprintf("%s-%d", zone, i)),
		Generation: uint64(t0.UnixMilli()) + uint64(i),
		Service:    fmt.Sprintf("svc-%d", i%3),
		Location:   model.Location{Region: model.Region(region), AvailabilityZone: model.AvailabilityZone(zone)},
		Address:    fmt.Sprintf("10.0.0.%d:7000", i),
		Slots:      12,
	}
}

// fleet returns n nodes in zones of two regions.
func fleet(n, zones int) []model.Entry {
	out := make([]model.Entry, n)
	for i := range out {
		z := i % zones
		out[i] = entry(fmt.Sprintf("region-%d", z%2), fmt.Sprintf("zone-%d", z), i)
	}
	return out
}

// Guards against a suspicion that empties a service, and against draining
// entries that still get work.
func TestViewUsableEntries(t *testing.T) {
	is := is.New(t)
	c := NewCore(entry("r", "z", 0))
	for _, i := range []int{3, 6} {
		c.Merge(entry("r", "z", i), t0)
	}
	v := c.View(nil)
	is.Equal(len(v.Service("svc-0")), 3)
	c.Mark("z-3", entry("r", "z", 3).Generation, model.Suspect, t0)
	v = c.View(v)
	is.Equal(len(v.Service("svc-0")), 2) // the ready ones
	c.Mark("z-6", entry("r", "z", 6).Generation, model.Suspect, t0)
	c.Update(func(e *model.Entry) { e.State = model.Draining }, t0)
	v = c.View(v)
	is.Equal(len(v.Service("svc-0")), 2) // both suspect, the draining one left out
	is.Equal(len(v.All()), 3)
	is.Equal(len(v.Service("unknown")), 0)
}

// Guards against a late message that makes a gone node live, and against a
// suspicion that survives its refutation.
func TestMergeOrder(t *testing.T) {
	is := is.New(t)
	c := NewCore(entry("r", "z", 0))
	e := entry("r", "z", 1)
	c.Merge(e, t0)
	_, ok := c.Mark(e.Node, e.Generation, model.Gone, t0)
	is.True(ok)
	_, ok = c.Merge(e, t0)
	is.True(!ok) // late
	e.Sequence++
	_, ok = c.Merge(e, t0)
	is.True(ok) // refuted
	own := c.Own()
	own.State = model.Suspect
	refuted, ok := c.Merge(own, t0)
	is.True(ok)
	is.Equal(refuted.State, model.Ready)
	is.True(refuted.Newer(&own))
	own.Generation += 100
	refuted, _ = c.Merge(own, t0)
	is.True(refuted.Newer(&own)) // an earlier process had a faster clock
	_, ok = c.Merge(model.Entry{Node: "unknown", State: model.Gone}, t0)
	is.True(!ok)
}

// Guards against tombstones that are kept forever or dropped too early.
func TestExpire(t *testing.T) {
	is := is.New(t)
	c := NewCore(entry("r", "z", 0))
	e := entry("r", "z", 1)
	c.Merge(e, t0)
	c.Mark(e.Node, e.Generation, model.Gone, t0)
	c.Expire(t0.Add(GoneRetention - time.Second))
	_, ok := c.Get(e.Node)
	is.True(ok)
	c.Expire(t0.Add(GoneRetention))
	_, ok = c.Get(e.Node)
	is.True(!ok)
	is.Equal(c.View(nil).Digest(), NewCore(entry("r", "z", 0)).View(nil).Digest())
}

// Guards against positions that leave a node without a way to the top, form a
// cycle, or exceed the fan-out.
func TestTreeReachesTop(t *testing.T) {
	is := is.New(t)
	for _, publisher := range []int{-1, 0, 77} {
		entries := fleet(2800, 7)
		if publisher >= 0 {
			entries[publisher].Publisher = true
		}
		tree := NewTree(entries)
		top, ok := tree.Top()
		is.True(ok)
		inner := make(map[model.NodeID]int)
		for _, e := range entries {
			at, depth := e, 0
			for at.Node != top {
				at, ok = tree.Parent(at.Node)
				is.True(ok)
				depth++
				is.True(depth <= 6) // 3 in the zone, zone root, region root, top
			}
			if p, ok := tree.Parent(e.Node); ok && !tree.IsZoneRoot(e.Node) {
				inner[p.Node]++
			}
			for _, c := range tree.Children(e.Node) {
				p, _ := tree.Parent(c.Node)
				is.Equal(p.Node, e.Node)
			}
		}
		for _, n := range inner {
			is.True(n <= FanOut)
		}
	}
}

// Guards against candidates that receive their versions through the node
// itself, and against a paid link before the own zone is tried.
func TestCandidates(t *testing.T) {
	is := is.New(t)
	tree := NewTree(fleet(2800, 7))
	rnd := rand.New(rand.NewPCG(1, 1))
	inner := tree.Zone("zone-3")[100]
	list := tree.Candidates(inner.Node, rnd)
	parent, _ := tree.Parent(inner.Node)
	is.Equal(list[0].Node, parent.Node)
	abroad := false
	for _, e := range list {
		is.True(e.Node != inner.Node)
		if e.Location.Region != inner.Location.Region {
			abroad = true
		} else if e.Location.AvailabilityZone == "zone-3" {
			is.True(!abroad)
			is.True(e.Generation < inner.Generation)
		}
	}
	root := tree.RegionRoots()[1]
	for _, e := range tree.Candidates(root.Node, rnd) {
		is.True(e.Location.Region != root.Location.Region)
	}
}

// Guards against a root that nobody watches.
func TestEveryNodeIsWatched(t *testing.T) {
	is := is.New(t)
	entries := fleet(300, 7)
	entries[50].Publisher = true
	tree := NewTree(entries)
	watched := make(map[model.NodeID]bool)
	for _, e := range entries {
		for _, w := range tree.Targets(e.Node, "") {
			watched[w.Node] = true
		}
	}
	is.Equal(len(watched), len(entries))
}

// Guards against verdicts without a failed probe, and against a gone verdict
// while the node may still hold a lease.
func TestWatchVerdicts(t *testing.T) {
	is := is.New(t)
	w := NewWatch()
	e := entry("r", "z", 1)
	targets := []model.Entry{e}
	w.Heard(e.Node, e.Generation, t0)
	is.Equal(len(w.Plan(targets, t0.Add(4*time.Second))), 0)
	w.Lost(e.Node, e.Generation, t0.Add(4*time.Second))
	is.Equal(len(w.Plan(targets, t0.Add(4600*time.Millisecond))), 1)
	is.Equal(len(w.Judge(targets, "r", t0.Add(5*time.Second))), 0)
	w.Failed(e.Node, e.Generation, t0.Add(5*time.Second))
	is.Equal(w.Judge(targets, "r", t0.Add(5*time.Second))[0].State, model.Suspect)
	targets[0].State = model.Suspect
	is.Equal(len(w.Judge(targets, "r", t0.Add(8900*time.Millisecond))), 0)
	is.Equal(w.Judge(targets, "r", t0.Add(9*time.Second))[0].State, model.Gone)
	w.Heard(e.Node, e.Generation, t0.Add(9*time.Second))
	is.Equal(len(w.Judge(targets, "r", t0.Add(9*time.Second))), 0)
}

// Guards against a start with too few sources while the store is down.
func TestEnough(t *testing.T) {
	is := is.New(t)
	entries := fleet(70, 7)
	tree := NewTree(entries)
	answered := make(map[model.NodeID]bool)
	is.True(tree.Enough("new", "zone-1", answered).Missing != "")
	zone := tree.Zone("zone-1")
	for _, e := range zone[1:5] {
		answered[e.Node] = true
	}
	answered[tree.Zone("zone-2")[0].Node] = true
	is.True(tree.Enough("new", "zone-1", answered).Missing != "") // zone root
	answered[zone[0].Node] = true
	is.Equal(tree.Enough("new", "zone-1", answered).Missing, "")
	delete(answered, tree.Zone("zone-2")[0].Node)
	is.True(tree.Enough("new", "zone-1", answered).Missing != "") // another zone
	is.True(NewTree(entries[:1]).Enough(entries[0].Node, "zone-0", nil).Missing != "")
}

// Guards against a node that still takes work after its lease, and against a
// renewal that counts from its answer.
func TestLease(t *testing.T) {
	is := is.New(t)
	r := NewRoster(entry("r", "z", 0))
	is.True(!r.MayServe())
	r.Renewed(time.Now().Add(-LeaseDuration+30*time.Millisecond), time.Hour)
	is.True(r.MayServe())
	time.Sleep(40 * time.Millisecond)
	is.True(!r.MayServe())
	is.True(r.Lease().Ever)
	is.True(Exemption{OtherLive: 0}.Exempt())
	is.True(Exemption{OtherLive: 5, Root: true}.Exempt())
	is.True(!Exemption{OtherLive: 5, Root: true, RootReachable: true}.Exempt())
	is.True(!Exemption{OtherLive: 5}.Exempt())
}

// Guards against readers that see a torn or lost change under churn.
func TestRosterUnderChurn(t *testing.T) {
	is := is.New(t)
	r := NewRoster(entry("r", "z", 0))
	entries := fleet(200, 7)
	var wg sync.WaitGroup
	for w := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for round := range 20 {
				for _, e := range entries {
					e.Sequence = uint64(round)
					r.MergeFrom(model.NodeID(fmt.Sprint(w)), []model.Entry{e})
				}
				r.View().Service("svc-1")
			}
		}()
	}
	wg.Wait()
	time.Sleep(2 * viewInterval)
	is.Equal(len(r.View().All()), 201)
	for _, e := range r.View().All()[:200] {
		is.True(e.Sequence == 19 || e.Node == "z-0")
	}
}

// fakeTable is a table with compare-and-set and an outage switch.
type fakeTable struct {
	platform.Table
	rows map[string]platform.Row
	down bool
	puts int
}

func (f *fakeTable) Get(_ context.Context, key string) (platform.Row, error) {
	if f.down {
		return platform.Row{}, platform.ErrUnavailable
	}
	row, ok := f.rows[key]
	if !ok {
		return row, platform.ErrNotFound
	}
	return row, nil
}

func (f *fakeTable) Scan(context.Context, string, string, int) ([]platform.Row, error) {
	var out []platform.Row
	for _, row := range f.rows {
		out = append(out, row)
	}
	return out, nil
}

func (f *fakeTable) Commit(_ context.Context, t platform.Transaction) ([]platform.Row, error) {
	if f.rows[t.Checks[0].Key].Revision != t.Checks[0].Revision {
		return nil, platform.ErrConflict
	}
	f.puts++
	row := platform.Row{Key: t.Puts[0].Key, Revision: t.Checks[0].Revision + 1, Value: t.Puts[0].Value}
	f.rows[row.Key] = row
	return []platform.Row{row}, nil
}

// Guards against row writes above the budget, by nodes that are no zone root,
// and against entries that a new process does not find.
func TestRows(t *testing.T) {
	is := is.New(t)
	table := &fakeTable{rows: make(map[string]platform.Row)}
	root := NewRoster(entry("r", "z", 0))
	rows := NewRows(root, table)
	ctx := context.Background()
	is.NoErr(rows.Write(ctx, t0))
	is.NoErr(rows.Write(ctx, t0.Add(29*time.Second))) // unchanged
	is.Equal(table.puts, 1)
	root.Merge([]model.Entry{entry("r", "z", 1)})
	time.Sleep(2 * viewInterval)
	is.NoErr(rows.Write(ctx, t0.Add(29*time.Second)))
	is.Equal(table.puts, 2)
	second := NewRoster(entry("r", "z", 1))
	is.NoErr(NewRows(second, table).Read(ctx))
	time.Sleep(2 * viewInterval)
	is.Equal(len(second.View().All()), 2)
	is.NoErr(NewRows(second, table).Write(ctx, t0))
	is.Equal(table.puts, 2) // no zone root
	far := NewRoster(entry("r", "other", 5))
	is.NoErr(NewRows(far, table).Read(ctx))
	time.Sleep(2 * viewInterval)
	is.Equal(len(far.View().All()), 3) // through the rows of other zones
	table.down = true
	is.True(rows.Write(ctx, t0.Add(time.Hour)) != nil)
}
