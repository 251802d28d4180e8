package claim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/platform"
	standin "github.com/lentilflow/lentilflow/pkg/standin/platform"
)

func start(tb testing.TB) (*standin.Service, *platform.TableClient) {
	tb.Helper()
	service := standin.NewService(standin.Config{})
	service.SetFaults(standin.Faults{Unlimited: true})
	server, err := standin.NewServer("127.0.0.1:0", service)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(server.Stop)
	return service, platform.NewTable(platform.Config{URL: server.URL(), Timeout: 500 * time.Millisecond})
}

func key(name string) Key { return Key{Service: "orders", Key: name, Digest: "d"} }

// Guards against one claim of a group that fails its check, or repeats a key
// of the group, spoiling the others, and against groups that do not form.
func TestGroupMembersAreIndependent(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	service, table := start(t)
	c := NewClaims(Config{Table: table, Window: 20 * time.Millisecond})
	old, err := c.Begin(ctx, key("0"))
	is.NoErr(err)
	is.NoErr(c.Finish(ctx, old.ID, Answer{Status: 201, Body: []byte("done")}))
	before := service.Counters().Writes

	outcomes := make([]Outcome, 40)
	var wg sync.WaitGroup
	for i := range outcomes {
		wg.Go(func() { outcomes[i], _ = c.Begin(ctx, key(fmt.Sprint(i/2))) })
	}
	wg.Wait()
	for i := 0; i < len(outcomes); i += 2 {
		a, b := outcomes[i], outcomes[i+1]
		if i == 0 {
			is.True(a.Replay != nil && b.Replay != nil)
			is.Equal(string(a.Replay.Body), "done")
			continue
		}
		is.True(a.Granted != b.Granted) // one of two equal keys
		is.True(a.Refusal == model.KeyInProgress || b.Refusal == model.KeyInProgress)
	}
	is.True(service.Counters().Writes-before <= 10)
}

// Guards against a caller that leaves, or a group without an answer, making
// the claim of another caller unknown, and against the row that the leaving
// caller's claim gets anyway staying for the retention.
func TestLeavingCaller(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	service, table := start(t)
	service.SetFaults(standin.Faults{LoseNext: 1, Delay: 50 * time.Millisecond})
	c := NewClaims(Config{Table: table})
	var wg sync.WaitGroup
	wg.Go(func() {
		short, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
		defer cancel()
		out, err := c.Begin(short, key("leaves"))
		is.True(errors.Is(err, ErrUnavailable))
		is.Equal(out.Refusal, model.ClaimUnavailable)
	})
	out, err := c.Begin(ctx, key("stays"))
	is.NoErr(err)
	is.True(out.Granted)
	wg.Wait()
	_, err = service.Rows.Get(ctx, key("leaves").row())
	is.NoErr(err) // the insert took effect
	c.workOff(ctx)
	_, err = service.Rows.Get(ctx, key("leaves").row())
	is.True(errors.Is(err, platform.ErrNotFound))
}

// Guards against orders that hang or run while the store is down, and against
// a key that stays in progress after an outage although its call has ended.
func TestStoreDown(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	service, table := start(t)
	c := NewClaims(Config{Table: table, Timeout: 100 * time.Millisecond})
	before, err := c.Begin(ctx, key("before"))
	is.NoErr(err)
	service.SetFaults(standin.Faults{Down: true})
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	is.True(errors.Is(c.Finish(short, before.ID, Answer{Status: 201}), ErrUnavailable))
	out, err := c.Begin(ctx, key("a"))
	is.True(errors.Is(err, ErrUnavailable))
	is.Equal(out.Refusal, model.ClaimUnavailable)
	is.Equal(out.Run, model.NotRun)
	service.SetFaults(standin.Faults{})
	c.workOff(ctx)
	out, err = c.Begin(ctx, key("before"))
	is.NoErr(err)
	is.Equal(out.Replay.Status, 201)
}

// Guards against rows that stay for ever or go before their retention ends,
// and against a body above the limit being stored or replayed.
func TestSweepAndLargeBody(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	service, table := start(t)
	c := NewClaims(Config{Table: table, Window: -1, Sweep: func() bool { return true }})
	now := time.Unix(1_000_000, 0)
	c.now = func() time.Time { return now }
	for i := range sweepPage + 1 {
		_, err := c.Begin(ctx, key(fmt.Sprint(i)))
		is.NoErr(err)
	}
	now = now.Add(Retention)
	late, err := c.Begin(ctx, key("late"))
	is.NoErr(err)
	is.NoErr(c.Finish(ctx, late.ID, Answer{Status: 200, Body: make([]byte, MaxBody+1)}))
	is.Equal(c.sweepOnce(ctx, c.sweepOnce(ctx, "")), "")
	rows, _ := service.Rows.Scan(ctx, rowPrefix, "", 1000)
	is.Equal(len(rows), sweepPage+2) // exactly at the retention nothing goes
	now = now.Add(time.Second)
	is.Equal(c.sweepOnce(ctx, c.sweepOnce(ctx, "")), "")
	rows, _ = service.Rows.Scan(ctx, rowPrefix, "", 1000)
	is.Equal(len(rows), 1)
	again, err := c.Begin(ctx, key("late"))
	is.NoErr(err)
	is.Equal(again.Refusal, model.KeyOutcomeUnknown)
}

// BenchmarkOrder measures platform writes per order (claim and finish) for
// several numbers of orders in flight.
func BenchmarkOrder(b *testing.B) {
	for _, inFlight := range []int{1, 8, 64} {
		for name, window := range map[string]time.Duration{"alone": -1, "grouped": DefaultWindow} {
			b.Run(fmt.Sprintf("%s/%d", name, inFlight), func(b *testing.B) { benchmarkOrders(b, window, inFlight) })
		}
	}
}

func benchmarkOrders(b *testing.B, window time.Duration, inFlight int) {
	service, table := start(b)
	c := NewClaims(Config{Table: table, Window: window})
	ctx := context.Background()
	work := make(chan int)
	var wg sync.WaitGroup
	for range inFlight {
		wg.Go(func() {
			for i := range work {
				out, err := c.Begin(ctx, key(fmt.Sprint(i)))
				if err != nil || !out.Granted || c.Finish(ctx, out.ID, Answer{Status: 200}) != nil {
					b.Error("order failed", err)
				}
			}
		})
	}
	for i := 0; b.Loop(); i++ {
		work <- i
	}
	close(work)
	wg.Wait()
	b.ReportMetric(float64(service.Counters().Writes)/float64(b.N), "writes/order")
}
