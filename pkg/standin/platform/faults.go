package platform

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Default limits of the platform, per second.
const (
	DefaultWrites = 400
	DefaultReads  = 2000
	// burstDivisor lets a tenth of a second's allowance pass at once.
	burstDivisor = 10
)

// Faults are the switches of the stand-in.
type Faults struct {
	Down bool `json:"down"` // refuse everything with 503
	// Delay passes before a request takes effect, also if its sender has
	// given up by then.
	Delay      time.Duration `json:"delay_ns"`
	LoseNext   int           `json:"lose_next"`   // writes that take effect but whose answer is lost
	LoseShare  float64       `json:"lose_share"`  // share of writes with a lost answer, 0 to 1
	Unlimited  bool          `json:"unlimited"`   // no limit on reads and writes
	RefuseNext int           `json:"refuse_next"` // writes that are refused with 503
}

// Counters count requests since the start.
type Counters struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"` // a transaction counts once
	Refused int64 `json:"refused"`
	Lost    int64 `json:"lost"` // answers withheld after a write took effect
}

// gate decides the fate of each request.
type gate struct {
	mu     sync.Mutex
	faults Faults
	random *rand.Rand

	writes, reads *rate.Limiter

	readCount, writeCount, refusedCount, lostCount atomic.Int64
}

type fate struct {
	refused bool
	lost    bool
	delay   time.Duration
}

func newGate(writes, reads int, seed uint64) *gate {
	return &gate{
		random: rand.New(rand.NewPCG(seed, seed)),
		writes: rate.NewLimiter(rate.Limit(writes), max(1, writes/burstDivisor)),
		reads:  rate.NewLimiter(rate.Limit(reads), max(1, reads/burstDivisor)),
	}
}

func (g *gate) set(f Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = f
}

func (g *gate) get() Faults {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.faults
}

func (g *gate) admit(write bool) fate {
	g.mu.Lock()
	defer g.mu.Unlock()
	f := &g.faults
	result := fate{delay: f.Delay, refused: f.Down}
	limit, count := g.reads, &g.readCount
	if write {
		limit, count = g.writes, &g.writeCount
		if f.RefuseNext > 0 {
			f.RefuseNext--
			result.refused = true
		}
	}
	if !result.refused && !f.Unlimited && !limit.Allow() {
		result.refused = true
	}
	if result.refused {
		g.refusedCount.Add(1)
		return result
	}
	count.Add(1)
	if write {
		result.lost = g.lose(f)
	}
	return result
}

func (g *gate) lose(f *Faults) bool {
	switch {
	case f.LoseNext > 0:
		f.LoseNext--
	case f.LoseShare > 0 && g.random.Float64() < f.LoseShare:
	default:
		return false
	}
	g.lostCount.Add(1)
	return true
}

func (g *gate) counters() Counters {
	return Counters{
		Reads:   g.readCount.Load(),
		Writes:  g.writeCount.Load(),
		Refused: g.refusedCount.Load(),
		Lost:    g.lostCount.Load(),
	}
}
