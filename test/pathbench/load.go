package main

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	seed = 57
	// deadlineHeader tells the forwarders of baseline.go the deadline, which
	// the nodes know from the rules file.
	deadlineHeader = "Bench-Deadline-Ms"
	// callerPatience is how long a caller waits after the deadline for the
	// refusal.
	callerPatience = 200 * time.Millisecond
)

// stream is a sequence of calls that arrive at random times, independent of
// the answers (a Poisson process).
type stream struct {
	rank     string
	rate     float64 // calls/s
	from, to time.Duration
	bases    []string
	path     string
	deadline time.Duration
	resends  int  // by the caller after a failure, at once
	same     bool // identical requests; otherwise each has a query of its own
	fromSend bool // latency counts from the sending instead of the arrival
}

// outcome is the end of one call.
type outcome struct {
	at, took time.Duration // arrival, counted from the start of the load
	good     bool          // answered within the deadline
	target   int           // index of the base URL
	upstream string
}

// load runs streams at the same time and keeps the outcomes by rank.
type load struct {
	client   *http.Client
	mu       sync.Mutex
	outcomes map[string][]outcome
	lag      *hdrhistogram.Histogram // of the generator, in microseconds
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2048, DisableCompression: true}}
}

// run returns when every call of the streams has ended.
func run(ctx context.Context, client *http.Client, streams []stream) *load {
	l := &load{client: client, outcomes: map[string][]outcome{}, lag: newHistogram()}
	start := time.Now()
	var all sync.WaitGroup
	for i := range streams {
		all.Go(func() { l.generate(ctx, start, &streams[i], rand.New(rand.NewPCG(seed, uint64(i))), &all) })
	}
	all.Wait()
	return l
}

func (l *load) generate(ctx context.Context, start time.Time, s *stream, random *rand.Rand, all *sync.WaitGroup) {
	at := s.from
	gap := func() time.Duration { return time.Duration(random.ExpFloat64() / s.rate * float64(time.Second)) }
	for at += gap(); at < s.to && ctx.Err() == nil; at += gap() {
		time.Sleep(time.Until(start.Add(at)))
		target := random.IntN(len(s.bases))
		all.Go(func() { l.call(ctx, start, at, s, target) })
	}
}

func (l *load) call(ctx context.Context, start time.Time, at time.Duration, s *stream, target int) {
	arrival := start.Add(at)
	lag := time.Since(arrival)
	if s.fromSend {
		arrival = time.Now()
	}
	o := outcome{at: at, target: target}
	for try := 0; try <= s.resends && !o.good; try++ {
		o.good, o.upstream = l.send(ctx, s, s.bases[(target+try)%len(s.bases)], int64(at))
	}
	o.took = time.Since(arrival)
	o.good = o.good && o.took <= s.deadline
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[s.rank] = append(l.outcomes[s.rank], o)
	_ = l.lag.RecordValue(lag.Microseconds())
}

func (l *load) send(ctx context.Context, s *stream, base string, number int64) (bool, string) {
	ctx, cancel := context.WithTimeout(ctx, s.deadline+callerPatience)
	defer cancel()
	url := base + s.path
	if !s.same {
		url += "?n=" + strconv.FormatInt(number, 10)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, ""
	}
	req.Header.Set(deadlineHeader, strconv.FormatInt(s.deadline.Milliseconds(), 10))
	resp, err := l.client.Do(req)
	if err != nil {
		return false, ""
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK, resp.Header.Get("Lentilflow-Upstream")
}

// span is a part of a load.
type span struct{ from, to time.Duration }

// window returns the outcomes of a rank that arrived in the span.
func (l *load) window(rank string, in span) []outcome {
	return slices.DeleteFunc(slices.Clone(l.outcomes[rank]), func(o outcome) bool { return o.at < in.from || o.at >= in.to })
}

// share returns the percentage of calls answered within the deadline.
func share(calls []outcome) float64 {
	return 100 * float64(good(calls)) / max(1, float64(len(calls)))
}

func good(calls []outcome) (n int) {
	for _, o := range calls {
		if o.good {
			n++
		}
	}
	return n
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

// quantile returns a quantile of the latency of good calls, in milliseconds.
func quantile(calls []outcome, percent float64) float64 {
	h := newHistogram()
	for _, o := range calls {
		if o.good {
			_ = h.RecordValue(max(1, o.took.Microseconds()))
		}
	}
	return float64(h.ValueAtQuantile(percent)) / 1000
}

func median(values []float64) float64 {
	v := slices.Sorted(slices.Values(values))
	if len(v) == 0 {
		return 0
	}
	return (v[(len(v)-1)/2] + v[len(v)/2]) / 2
}

// saturate sends calls from a fixed number of workers, each waiting for its
// answer, and returns the answered calls per second.
func saturate(client *http.Client, bases []string, path string, workers int, d time.Duration) float64 {
	l := &load{client: client}
	s := &stream{path: path, deadline: 2 * time.Second}
	var answered atomic.Int64
	var all sync.WaitGroup
	start := time.Now()
	for i := range workers {
		all.Go(func() {
			for time.Since(start) < d {
				if ok, _ := l.send(context.Background(), s, bases[i%len(bases)], rand.Int64()); ok {
					answered.Add(1)
				}
			}
		})
	}
	all.Wait()
	return float64(answered.Load()) / time.Since(start).Seconds()
}
