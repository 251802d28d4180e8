package claim

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"regexp"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lentilflow/lentilflow/pkg/internal/rapidtest"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/platform"
	standin "github.com/lentilflow/lentilflow/pkg/standin/platform"
)

func TestMain(m *testing.M) {
	// Shrinking is off: it takes long, and the seed repeats a failure.
	for name, value := range map[string]string{"seed": "1", "checks": "250", "steps": "80", "shrinktime": "0s", "nofailfile": "true"} {
		_ = flag.Set("rapid."+name, value) // the command line overrides
	}
	os.Exit(m.Run())
}

// variant changes claims into deliberately broken ones.
type variant func(*Claims)

// running is a granted call that has not ended.
type running struct {
	key Key
	id  ID
}

type process struct {
	actor      *standin.Actor
	claims     *Claims
	generation uint64
	calls      []running
}

// world holds several nodes, the table and the oracle: how often each key ran
// and with which request digest.
type world struct {
	t        *rapid.T
	schedule *standin.Schedule
	now      time.Time
	broken   variant
	all      []*process
	runs     map[string]int
	ranAs    map[string]string
	wrong    string // an answer that contradicts the ledger
}

func newWorld(t *rapid.T, broken variant) *world {
	w := &world{t: t, schedule: standin.NewSchedule(), now: time.Unix(1_000_000, 0), broken: broken,
		runs: map[string]int{}, ranAs: map[string]string{}}
	for i := range 3 {
		w.all = append(w.all, w.newProcess(i, 1))
	}
	return w
}

func (w *world) newProcess(i int, generation uint64) *process {
	p := &process{actor: w.schedule.NewActor(), generation: generation}
	p.claims = NewClaims(Config{
		Table:      p.actor.Table(),
		Node:       model.NodeID(fmt.Sprint(i)),
		Generation: generation,
		Alive: func(node model.NodeID, generation uint64) bool {
			return w.all[node[0]-'0'].generation == generation
		},
		Sweep: func() bool { return true },
	})
	p.claims.now = func() time.Time { return w.now }
	p.claims.settler.parallel = 1
	p.claims.settler.pause = func(context.Context, time.Duration) {}
	p.claims.submit = func(o *operation) { p.claims.settler.settle(context.Background(), []*operation{o}) }
	if w.broken != nil {
		w.broken(p.claims)
	}
	return p
}

// begin claims a group of keys in one settlement, as a group does.
func (w *world) begin(p *process, keys []Key) {
	p.actor.Start(func() {
		ops, ids, ran := make([]*operation, len(keys)), make([]ID, len(keys)), make([]bool, len(keys))
		for i, k := range keys {
			ran[i] = w.ranAs[k.Key] == k.Digest
			ops[i], ids[i] = p.claims.insertion(k)
		}
		p.claims.settler.settle(context.Background(), ops)
		for i, k := range keys {
			out, err := p.claims.outcome(k, ops[i], ids[i])
			w.answer(p, k, ran[i], out, err)
		}
	})
}

// answer checks what the caller is told against the ledger; ran says whether
// the same request ran before this one began. A claim that the store did not
// decide says nothing about earlier requests with its key.
func (w *world) answer(p *process, k Key, ran bool, out Outcome, err error) {
	switch {
	case out.Granted:
		p.calls = append(p.calls, running{key: k, id: out.ID})
	case out.Replay != nil && w.ranAs[k.Key] != k.Digest:
		w.wrong = fmt.Sprintf("key %v is replayed but did not run", k)
	case out.Run == model.NotRun && err == nil && ran:
		w.wrong = fmt.Sprintf("key %v is answered not_run but ran", k)
	}
}

// end runs the oldest granted call or has its upstream refuse it, then tells
// the claims.
func (w *world) end(p *process, shed bool) {
	call := p.calls[0]
	p.calls = p.calls[1:]
	if !shed {
		w.runs[call.key.Key]++
		w.ranAs[call.key.Key] = call.key.Digest
	}
	ctx, cancel := context.WithCancel(context.Background())
	tries := 0
	p.claims.settler.pause = func(context.Context, time.Duration) {
		if tries++; tries > 4 {
			cancel()
		}
	}
	p.actor.Start(func() {
		defer cancel()
		if shed {
			_ = p.claims.Release(ctx, call.id)
		} else {
			_ = p.claims.Finish(ctx, call.id, Answer{Status: 200})
		}
	})
}

func (w *world) actions() map[string]func(*rapid.T) {
	verdicts := []standin.Verdict{standin.Serve, standin.Serve, standin.Serve, standin.Serve,
		standin.Refuse, standin.Lose, standin.Late}
	run := func(t *rapid.T) {
		p := rapid.SampledFrom(w.all).Draw(t, "process")
		if !p.actor.Busy() {
			w.start(t, p)
		}
		for n := rapid.IntRange(0, 6).Draw(t, "requests"); n > 0 && p.actor.Busy(); n-- {
			p.actor.Resume(rapid.SampledFrom(verdicts).Draw(t, "verdict"))
		}
	}
	return map[string]func(*rapid.T){
		"":      func(*rapid.T) { w.verify() },
		"run":   run,
		"run 2": run,
		"run 3": run,
		"late":  func(*rapid.T) { w.schedule.ApplyLate() },
		"advance": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "seconds")) * time.Second)
		},
		"kill": func(t *rapid.T) {
			i := rapid.IntRange(0, 3*len(w.all)).Draw(t, "index")
			if i < len(w.all) {
				w.kill(w.all[i])
				w.all[i] = w.newProcess(i, w.all[i].generation+1)
			}
		},
	}
}

// start draws what an idle process does next.
func (w *world) start(t *rapid.T, p *process) {
	ctx := context.Background()
	switch choice := rapid.IntRange(0, 5).Draw(t, "choice"); {
	case choice == 0:
		p.actor.Start(func() { p.claims.workOff(ctx) })
	case choice == 1:
		p.actor.Start(func() { _, _, _ = p.claims.sweepPage(ctx, "") })
	case choice < 4 && len(p.calls) > 0:
		w.end(p, rapid.Bool().Draw(t, "shed"))
	default:
		var keys []Key
		for range rapid.IntRange(1, 4).Draw(t, "group") {
			keys = append(keys, Key{
				Service: "orders",
				Key:     rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "key"),
				Digest:  rapid.SampledFrom([]string{"x", "x", "x", "y"}).Draw(t, "digest"),
			})
		}
		w.begin(p, keys)
	}
}

func (w *world) kill(p *process) {
	if p.actor.Busy() {
		p.actor.Resume(standin.Die)
	}
}

func (w *world) verify() {
	if w.wrong != "" {
		w.t.Fatal(w.wrong)
	}
	for key, n := range w.runs {
		if n > 1 {
			w.t.Fatalf("key %s ran %d times", key, n)
		}
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
	}
}

// Guards against two runs for one key, a replay without a run, and not_run for
// a request that ran.
func TestClaimsRunOnce(t *testing.T) { rapid.Check(t, machine(nil)) }

// unchecked drops every precondition.
type unchecked struct{ platform.Table }

func (u unchecked) Commit(ctx context.Context, t platform.Transaction) ([]platform.Row, error) {
	t.Checks = nil
	return u.Table.Commit(ctx, t)
}

// trusting takes a lost answer for success.
type trusting struct{ platform.Table }

func (u trusting) Commit(ctx context.Context, t platform.Transaction) ([]platform.Row, error) {
	rows, err := u.Table.Commit(ctx, t)
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		return nil, nil
	}
	return rows, err
}

// Guards against a machine that cannot find the faults it is meant to find.
func TestMachineFindsBrokenClaims(t *testing.T) {
	for name, c := range map[string]struct {
		broken variant
		want   string
	}{
		"row not compared":    {func(c *Claims) { c.settler.table = unchecked{c.settler.table} }, "ran 2 times|not_run but ran"},
		"lost answer granted": {func(c *Claims) { c.settler.table = trusting{c.settler.table} }, "ran 2 times|not_run but ran"},
		"claim of a dead holder taken over": {func(c *Claims) {
			c.decide = func(r record, digest string, alive func(model.NodeID, uint64) bool) Outcome {
				return Outcome{Granted: !alive(r.Node, r.Generation) && r.State == pending}
			}
		}, "ran 2 times|not_run but ran"},
		"key in progress answered not_run": {func(c *Claims) {
			c.decide = func(r record, digest string, alive func(model.NodeID, uint64) bool) Outcome {
				return refusal(model.KeyInProgress, model.NotRun)
			}
		}, "answered not_run but ran"},
		"rows deleted early": {func(c *Claims) { c.cfg.Table = aged{c.cfg.Table} }, "ran 2 times|not_run but ran"},
	} {
		t.Run(name, func(t *testing.T) {
			if found := rapidtest.Find(t, 4000, machine(c.broken)); !regexp.MustCompile(c.want).MatchString(found) {
				t.Errorf("found %q", found)
			}
		})
	}
}

// aged shows rows as if they were past their retention.
type aged struct{ platform.Table }

func (a aged) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	rows, err := a.Table.Scan(ctx, prefix, after, limit)
	for i := range rows {
		r, decodeErr := decode(rows[i].Value)
		if decodeErr == nil {
			r.At = r.At.Add(-2 * Retention)
			rows[i].Value = r.encode()
		}
	}
	return rows, err
}
