package shaping

import (
	"context"
	"errors"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lentilflow/lentilflow/pkg/internal/rapidtest"
)

func init() { rapidtest.FixSeed(71) }

const testRate = 1e6 // bytes a second

// variant is the choice of the next part. Broken variants change it.
type variant func(*Core, time.Duration) (*part, time.Duration)

// checkCore runs one random history and returns the first property that fails.
func checkCore(t *rapid.T, next variant) string {
	c, now := NewCore(testRate), time.Duration(0)
	waiting := make(map[*part]bool)
	order, sent, passed := uint64(0), 0.0, 0
	for range rapidtest.Steps(200) {
		if rapid.Bool().Draw(t, "arrives") {
			order++
			f := &flow{order: order, remaining: int64(rapid.IntRange(1, 1<<16).Draw(t, "bytes"))}
			if rapid.Bool().Draw(t, "has a target") {
				f.due = now + time.Duration(rapid.IntRange(1, 200).Draw(t, "due"))*time.Millisecond
			}
			p := &part{flow: f, bytes: f.remaining}
			waiting[p] = true
			c.Enqueue(p)
		}
		now += time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond
		p, wait := next(c, now)
		if p == nil {
			if len(waiting) > 0 && wait <= 0 {
				return "a part waits, but Next returned neither a part nor a wait time"
			}
			continue
		}
		oldest := true
		for q := range waiting {
			oldest = oldest && q.flow.order >= p.flow.order
		}
		if passed++; oldest {
			passed = 0
		}
		if passed >= oldestInterval {
			return "no part of the oldest transfer was granted within oldestInterval grants"
		}
		for q := range waiting {
			if !oldest && (!c.meetsTarget(p.flow, now) || c.meetsTarget(q.flow, now) && q.flow.before(p.flow)) {
				return "a shorter transfer that can meet its target was passed over"
			}
		}
		if sent > burst+now.Seconds()*testRate {
			return "parts were granted above the rate"
		}
		sent += float64(p.bytes)
		delete(waiting, p)
	}
	return ""
}

// Checks the order and the rate of large responses. Guards against a queue in
// front of the link, which delays every small response of the VM.
func TestCoreKeepsRateAndOrder(t *testing.T) {
	rapidtest.RequireNoFault(t, variant((*Core).Next), checkCore)
}

// Checks that checkCore detects each broken variant.
func TestCheckCoreDetectsBrokenVariants(t *testing.T) {
	rapidtest.RequireFaultsFound(t, map[string]variant{
		"parts were granted above the rate": func(c *Core, now time.Duration) (*part, time.Duration) {
			c.credit = burst
			return c.Next(now)
		},
		"no part of the oldest transfer was granted within oldestInterval grants": func(c *Core, now time.Duration) (*part, time.Duration) {
			c.grants = 1
			return c.Next(now)
		},
		"a shorter transfer that can meet its target was passed over": func(c *Core, now time.Duration) (*part, time.Duration) {
			if n := len(c.waiting); n > 1 {
				c.waiting[n-1].flow, c.waiting[0].flow = c.waiting[0].flow, c.waiting[n-1].flow
				defer func(a, b *part) { a.flow, b.flow = b.flow, a.flow }(c.waiting[0], c.waiting[n-1])
			}
			return c.Next(now)
		},
		"a part waits, but Next returned neither a part nor a wait time": func(c *Core, now time.Duration) (*part, time.Duration) {
			p, _ := c.Next(now)
			return p, 0
		},
	}, checkCore)
}

// Load: downloads of 90 kB on links of 11 Mbit/s, 134 per second for six VMs,
// which is half more than the links carry. Guards against a backlog that makes
// every download late: a download that is admitted while the backlog is within
// the latency target must be sent within it.
func TestAdmittedDownloadsMeetTarget(t *testing.T) {
	is := is.New(t)
	const (
		size   = 90_000
		target = 600 * time.Millisecond
		every  = time.Second * 6 / 134
	)
	c := NewCore(11 * bytesPerMegabit * rateShare)
	type download struct {
		arrived time.Duration
		p       *part
	}
	var queue []download
	admitted, late, refused := 0, 0, 0
	for now, arrives := time.Duration(0), time.Duration(0); now < 20*time.Second; now += time.Millisecond {
		if now >= arrives {
			arrives += every
			if c.TimeToSend(now, size) > target {
				refused++
			} else {
				p := &part{flow: &flow{order: uint64(admitted), remaining: size}, bytes: size}
				admitted++
				c.AddBacklog(size)
				c.Enqueue(p)
				queue = append(queue, download{now, p})
			}
		}
		for {
			p, _ := c.Next(now)
			if p == nil {
				break
			}
			c.AddBacklog(-p.bytes)
			is.Equal(queue[0].p, p)
			if now-queue[0].arrived > target {
				late++
			}
			queue = queue[1:]
		}
	}
	is.Equal(late, 0)
	is.True(refused > 0)
	const carried = 11 * bytesPerMegabit * rateShare * 20 / size
	is.True(float64(admitted) > 0.97*carried) // the link is hardly ever idle
}

// Load: downloads of very different sizes, half more than a link of 11 Mbit/s
// carries. Guards against large responses that make many small ones late.
// Shortest first must let more downloads meet their latency target than first
// come, first served, and no response may wait for ever.
func TestShortDownloadsGoFirst(t *testing.T) {
	is := is.New(t)
	const target = 300 * time.Millisecond
	sizes := []int64{20_000, 60_000, 400_000, 30_000, 90_000, 40_000}
	simulate := func(fifo bool) (inTime int, longest time.Duration) {
		c := NewCore(11 * bytesPerMegabit * rateShare)
		var flows []*flow
		for i := 0; i < 300; i++ {
			at := time.Duration(i) * 55 * time.Millisecond
			f := &flow{order: uint64(i), remaining: sizes[i%len(sizes)], due: at + target}
			if fifo {
				f.due = 1 // none can meet its target, so the oldest goes first
			}
			flows = append(flows, f)
		}
		done := make(map[*flow]bool)
		for now := time.Duration(0); len(done) < len(flows); now += time.Millisecond {
			for i, f := range flows {
				arrived := time.Duration(i) * 55 * time.Millisecond
				if arrived > now || done[f] {
					continue
				}
				c.Enqueue(&part{flow: f, bytes: min(f.remaining, 8<<10)})
			}
			for p, _ := c.Next(now); p != nil; p, _ = c.Next(now) {
				if p.flow.remaining -= p.bytes; p.flow.remaining > 0 {
					c.Enqueue(&part{flow: p.flow, bytes: min(p.flow.remaining, 8<<10)})
					continue
				}
				done[p.flow] = true
				took := now - time.Duration(p.flow.order)*55*time.Millisecond
				longest = max(longest, took)
				if took <= target {
					inTime++
				}
			}
			c.waiting = c.waiting[:0]
		}
		return inTime, longest
	}
	first, _ := simulate(true)
	short, longest := simulate(false)
	is.True(short > first*3/2)
	is.True(longest < 30*time.Second) // the link needs 26 s for 300 responses
}

// Guards against a transfer that blocks the others after its receiver has stopped
// reading: only transfers with a waiting part compete for the link.
func TestSlowReceiverDoesNotBlockOthers(t *testing.T) {
	is := is.New(t)
	l := NewLink(100)
	slow, fast := l.Begin("r", time.Time{}), l.Begin("r", time.Time{})
	is.NoErr(slow.WaitN(t.Context(), 1<<10)) // its write then blocks
	for range 100 {
		is.NoErr(fast.WaitN(t.Context(), 8<<10))
	}
	fast.Done(true)
	slow.Done(false)
	is.Equal(l.core.backlog, int64(0))
}

// Guards against a backlog that is not reduced, or is reduced twice, when calls are
// cancelled, and against parts that wait for the link after their call has ended.
func TestCancelledTransferLeavesNoBacklog(t *testing.T) {
	is := is.New(t)
	l := NewLink(0.01)
	a, b := l.Begin("r", time.Time{}), l.Begin("r", time.Time{})
	a.SetSize(1<<20, time.Now().Add(time.Hour))
	b.SetSize(1<<20, time.Now().Add(time.Hour))
	is.True(l.TimeToSend("r") > time.Minute)
	is.NoErr(a.WaitN(t.Context(), 1<<16)) // into debt
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	is.True(errors.Is(b.WaitN(ctx, 1<<10), context.DeadlineExceeded))
	a.Done(false)
	b.Done(false)
	is.Equal(l.core.backlog, int64(0))
	is.Equal(len(l.core.waiting), 0)
}

// Guards against responses that are cut off at the end of a planned stop because
// they wait for the link.
func TestDisabledLinkDelaysNothing(t *testing.T) {
	is := is.New(t)
	l := NewLink(0.01)
	a, b := l.Begin("r", time.Time{}), l.Begin("r", time.Time{})
	a.SetSize(1<<20, time.Now().Add(time.Hour))
	is.NoErr(a.WaitN(t.Context(), 1<<16)) // into debt
	sent := make(chan error)
	go func() { sent <- b.WaitN(context.Background(), 1<<16) }()
	for waits := false; !waits; {
		l.mu.Lock()
		waits = len(l.core.waiting) > 0
		l.mu.Unlock()
	}
	l.Disable()
	is.NoErr(<-sent)
	is.NoErr(a.WaitN(t.Context(), 1<<20))
	a.Done(true)
	b.Done(true)
	is.Equal(l.TimeToSend("r"), time.Duration(0))
}

// Load: downloads that fill the link beside many small responses, which do not
// wait. Guards against a queue in front of the link, which delays the small ones:
// the bytes that they send are subtracted from the credit of the large ones.
func TestSmallResponsesConsumeCredit(t *testing.T) {
	is := is.New(t)
	c := NewCore(testRate)
	small, large := 0.0, 0.0
	const seconds = 10
	for now := time.Duration(0); now < seconds*time.Second; now += time.Millisecond {
		c.Consume(now, 300) // 0.3 of the rate
		small += 300
		if len(c.waiting) == 0 {
			c.Enqueue(&part{flow: &flow{remaining: 1 << 20}, bytes: 8 << 10})
		}
		if p, _ := c.Next(now); p != nil {
			large += float64(p.bytes)
		}
	}
	is.True(small+large <= seconds*testRate+burst+8<<10)
	is.True(large > 0.65*seconds*testRate)
}

// Checks the mean size of a route, by which a response is admitted or refused
// before it is made, and a link whose bandwidth is not known.
func TestMeanSizeOfRoute(t *testing.T) {
	is := is.New(t)
	for _, megabits := range []float64{0, 1000} {
		l := NewLink(megabits)
		x := l.Begin("r", time.Time{})
		is.NoErr(x.WaitN(t.Context(), 1000))
		x.Done(true)
		is.Equal(l.meanSizes["r"], 1000.0)
		x = l.Begin("r", time.Time{})
		x.Done(false) // cut off: its size does not count
		is.Equal(l.meanSizes["r"], 1000.0)
		is.Equal(NewLink(0).TimeToSend("r"), time.Duration(0))
	}
}

// Guards against downloads that are refused because a faulty upstream has stated a
// length that nobody could send.
func TestStatedLengthCountsForWhatCanBeSent(t *testing.T) {
	is := is.New(t)
	for _, stated := range []int64{1 << 40, math.MaxInt64} {
		l := NewLink(8)
		a, b := l.Begin("files", time.Time{}), l.Begin("files", time.Time{})
		a.SetSize(stated, time.Now().Add(time.Second))
		b.SetSize(stated, time.Now().Add(time.Second))
		wait := l.TimeToSend("files")
		is.True(wait > time.Second && wait < 3*time.Second) // what both could send until their deadlines
		a.Done(false)
		b.Done(false)
		is.Equal(l.TimeToSend("files"), time.Duration(0))
	}
}
