package publisher

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lentilflow/lentilflow/pkg/internal/rapidtest"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/platform"
	"github.com/lentilflow/lentilflow/pkg/rules"
	standin "github.com/lentilflow/lentilflow/pkg/standin/platform"
)

func TestMain(m *testing.M) {
	// Shrinking is off: it takes long, and the seed repeats a failure.
	for name, value := range map[string]string{"seed": "1", "checks": "250", "steps": "80", "shrinktime": "0s", "nofailfile": "true"} {
		_ = flag.Set("rapid."+name, value) // the command line overrides
	}
	os.Exit(m.Run())
}

// checkFile is the stand-in of rules.Parse: files that begin with "bad" fail.
func checkFile(name string, text []byte) []rules.Fault {
	if bytes.HasPrefix(text, []byte("bad")) {
		return []rules.Fault{{Name: name, Line: 1, Message: "bad"}}
	}
	return nil
}

// variant changes a publisher into a deliberately broken one.
type variant func(*Publisher)

type process struct {
	actor     *standin.Actor
	publisher *Publisher
	handed    model.Version
}

// world is a set of publishers, the platform between them, and the oracle:
// what was ever seen in the version rows.
type world struct {
	t        *rapid.T
	schedule *standin.Schedule
	now      time.Time
	broken   variant
	all      []*process
	seen     []model.VersionInfo
	wrong    string // a wrong call of a hook
}

func newWorld(t *rapid.T, broken variant) *world {
	w := &world{t: t, schedule: standin.NewSchedule(), now: time.Unix(1_000_000, 0), broken: broken}
	for i := range 3 {
		w.all = append(w.all, w.newProcess(i))
	}
	return w
}

func (w *world) newProcess(i int) *process {
	p := &process{actor: w.schedule.NewActor()}
	p.publisher = NewPublisher(Config{
		Table:     p.actor.Table(),
		Objects:   p.actor.Objects(),
		Node:      model.NodeID(fmt.Sprint("node-", i)),
		Candidate: func() bool { return true },
		Check:     checkFile,
		Accept: func(v model.VersionedText) error {
			if v.Info.Number <= p.handed || digestOf(v.Text) != v.Info.Digest {
				w.wrong = fmt.Sprintf("version %d handed over after %d", v.Info.Number, p.handed)
			}
			p.handed = v.Info.Number
			return nil
		},
	})
	p.publisher.now = func() time.Time { return w.now }
	p.publisher.jitter = func() float64 { return float64(i) / 3 }
	if w.broken != nil {
		w.broken(p.publisher)
	}
	return p
}

func (w *world) pick() *process { return rapid.SampledFrom(w.all).Draw(w.t, "process") }

func (w *world) step(p *process) {
	if !p.actor.Busy() {
		p.actor.Start(func() { _ = p.publisher.step(context.Background()) })
	}
}

func (w *world) kill(p *process) {
	if p.actor.Busy() {
		p.actor.Resume(standin.Die)
	}
}

func (w *world) actions() map[string]func(*rapid.T) {
	verdicts := []standin.Verdict{standin.Serve, standin.Serve, standin.Serve, standin.Serve,
		standin.Serve, standin.Refuse, standin.Lose, standin.Late}
	run := func(t *rapid.T) {
		p := w.pick()
		w.step(p)
		for n := rapid.IntRange(0, 12).Draw(t, "requests"); n > 0 && p.actor.Busy(); n-- {
			p.actor.Resume(rapid.SampledFrom(verdicts).Draw(t, "verdict"))
		}
	}
	return map[string]func(*rapid.T){
		"":      func(*rapid.T) { w.verify() },
		"run":   run,
		"run 2": run,
		"run 3": run,
		"advance": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 70).Draw(t, "tenths")) * 100 * time.Millisecond)
		},
		"edit": func(t *rapid.T) {
			text := rapid.SampledFrom([]string{"good 1", "good 2", "good 3", "bad"}).Draw(t, "text")
			_, _ = w.schedule.Blobs.Put(context.Background(), RulesObject, []byte(text), "")
		},
		"lapse": func(*rapid.T) { w.now = w.now.Add(LeaseDuration) },
		"late":  func(*rapid.T) { w.schedule.ApplyLate() },
		"restart": func(t *rapid.T) {
			i := rapid.IntRange(0, 4*len(w.all)).Draw(t, "index")
			if i >= len(w.all) {
				return
			}
			w.kill(w.all[i])
			w.all[i] = w.newProcess(i)
		},
	}
}

// verify compares the rows with everything seen before.
func (w *world) verify() {
	if w.wrong != "" {
		w.t.Fatal(w.wrong)
	}
	ctx := context.Background()
	infos, err := NewQueries(w.schedule.Rows, w.schedule.Blobs).Versions(ctx, 0, MaxVersionsPage)
	if err != nil || len(infos) < len(w.seen) {
		w.t.Fatalf("%d versions after %d: %v", len(infos), len(w.seen), err)
	}
	for i, info := range infos {
		if i < len(w.seen) {
			if info != w.seen[i] {
				w.t.Fatalf("version %d changed from %+v to %+v", i+1, w.seen[i], info)
			}
			continue
		}
		if info.Number != model.Version(i+1) {
			w.t.Fatalf("version %d follows version %d", info.Number, i)
		}
		if i > 0 && infos[i-1].ETag == info.ETag {
			w.t.Fatalf("file %s was accepted twice", info.ETag)
		}
		v, err := readText(ctx, w.schedule.Blobs, info)
		if err != nil || len(checkFile("", v.Text)) > 0 {
			w.t.Fatalf("version %d holds %q: %v", info.Number, v.Text, err)
		}
	}
	w.seen = infos
	head, _, err := readRow[model.VersionInfo](ctx, w.schedule.Rows, headKey)
	if err != nil || int(head.Number) != len(infos) || (len(infos) > 0 && head != infos[len(infos)-1]) {
		w.t.Fatalf("head %+v with %d versions: %v", head, len(infos), err)
	}
	holders := 0
	for _, p := range w.all {
		if p.publisher.lease.holds(w.now) {
			holders++
		}
	}
	if holders > 1 {
		w.t.Fatalf("%d holders of the lease", holders)
	}
}

// settle lets all work without faults; afterwards the last file must be
// accepted or refused.
func (w *world) settle() {
	for range 40 {
		for _, p := range w.all {
			w.step(p)
			for p.actor.Busy() {
				p.actor.Resume(standin.Serve)
			}
		}
		w.now = w.now.Add(pollInterval)
		w.verify()
	}
	ctx := context.Background()
	q := NewQueries(w.schedule.Rows, w.schedule.Blobs)
	text, tag, err := q.Rules(ctx)
	if err != nil {
		return // no file was written
	}
	rejection, rejectedErr := q.Rejected(ctx)
	if len(checkFile("", text)) > 0 {
		if rejectedErr != nil || rejection.ETag != tag {
			w.t.Fatalf("file %s is not refused: %+v %v", tag, rejection, rejectedErr)
		}
		return
	}
	head, err := q.Head(ctx)
	if err != nil || head.Digest != digestOf(text) || rejectedErr == nil {
		w.t.Fatalf("file %s is not in force: %+v %v", tag, head, err)
	}
}

func machine(broken variant) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newWorld(t, broken)
		defer func() {
			for _, p := range w.all {
				w.kill(p)
			}
		}()
		t.Repeat(w.actions())
		for len(w.schedule.Late()) > 0 {
			w.schedule.ApplyLate()
		}
		w.settle()
	}
}

// Guards against a fork or reuse of version numbers, a refused file that
// becomes a version, two holders of the lease, and a publisher that gets stuck.
func TestPublishersKeepOneOrder(t *testing.T) { rapid.Check(t, machine(nil)) }

// unchecked drops the preconditions on some rows.
type unchecked struct {
	platform.Table
	drop func(key string) bool
}

func (u unchecked) Commit(ctx context.Context, t platform.Transaction) ([]platform.Row, error) {
	t.Checks = slices.DeleteFunc(slices.Clone(t.Checks), func(c platform.Check) bool { return u.drop(c.Key) })
	return u.Table.Commit(ctx, t)
}

// Guards against a machine that cannot find the faults it is meant to find.
func TestMachineFindsBrokenPublishers(t *testing.T) {
	for name, c := range map[string]struct {
		broken variant
		want   string
	}{
		"head row not compared": {func(p *Publisher) {
			p.cfg.Table = unchecked{p.cfg.Table, func(key string) bool { return key == headKey || strings.HasPrefix(key, versionPrefix) }}
		}, "changed from"},
		"lease row not compared": {func(p *Publisher) {
			p.cfg.Table = unchecked{p.cfg.Table, func(key string) bool { return key == leaseKey }}
		}, "holders of the lease"},
		"rules file not checked": {func(p *Publisher) {
			p.cfg.Check = func(string, []byte) []rules.Fault { return nil }
		}, `holds "bad"`},
		"lost answers taken as success": {func(p *Publisher) { p.cfg.Table = trusting{p.cfg.Table} }, "holders of the lease"},
		"lost text taken as stored":     {func(p *Publisher) { p.cfg.Objects = hasty{p.cfg.Objects} }, "holds"},
	} {
		t.Run(name, func(t *testing.T) {
			if found := rapidtest.Find(t, 4000, machine(c.broken)); !strings.Contains(found, c.want) {
				t.Errorf("found %q", found)
			}
		})
	}
}

// hasty takes a refused or lost object write for success.
type hasty struct{ platform.Objects }

func (h hasty) Put(ctx context.Context, key string, body []byte, ifMatch string) (string, error) {
	_, _ = h.Objects.Put(ctx, key, body, ifMatch)
	return "", nil
}

// trusting takes a lost answer for success with a made-up revision.
type trusting struct{ platform.Table }

func (u trusting) Commit(ctx context.Context, t platform.Transaction) ([]platform.Row, error) {
	rows, err := u.Table.Commit(ctx, t)
	if err != nil {
		rows, err = make([]platform.Row, len(t.Puts)), nil
	}
	return rows, err
}
