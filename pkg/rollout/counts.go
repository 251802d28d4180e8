package rollout

import (
	"errors"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
)

const (
	// maxRoutes bounds the routes that a node counts separately; the others count
	// together as otherRoutes.
	maxRoutes   = 32
	otherRoutes = "other routes"
	// buckets is the number of service times that are told apart. Bucket 0 ends at 1 ms,
	// each further one at sqrt(2) times the end of the one before it; the last one begins
	// at 23 s.
	buckets = 31
)

// bucketOf returns the bucket of a service time.
func bucketOf(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms < 1 {
		return 0
	}
	return min(int(2*math.Log2(ms))+1, buckets-1)
}

// Outcome is how a request at an upstream ended. Requests that the upstream has not run,
// and those whose caller has gone, are not counted.
type Outcome uint8

// Outcomes.
const (
	Answered Outcome = iota // with a response that is no failure
	Failed                  // with a failure, or without a valid response
	TimedOut                // its deadline passed; how long it ran says whether it was slow
	Cold                    // in any way, while the upstream was slow after its start
)

// RouteCounts are the counts of one route at one upstream since the order.
type RouteCounts struct {
	Route    string `json:"route"`
	Requests uint64 `json:"n"`
	Failures uint64 `json:"failed,omitempty"`
	// Cold is the number of further requests, which ran while the upstream was slow
	// after its start.
	Cold uint64 `json:"cold,omitempty"`
	// Times are numbers of requests that did not fail, by service time. The first entry
	// is the first bucket that is not empty.
	Times []uint64 `json:"times,omitempty"`
}

// Counts is what the node beside an upstream tells the coordinators.
type Counts struct {
	Node    model.NodeID    `json:"node"`
	Service string          `json:"service"`
	At      follow.Position `json:"at"` // of the order
	// Started is the start of the process in Unix nanoseconds; its counts begin at 0.
	// Sequence rises with each message of the process.
	Started  int64  `json:"started"`
	Sequence uint64 `json:"sequence"`
	// Software is the version of the upstream, "" if it is not known. Ready says that
	// the upstream would serve if its version may.
	Software string `json:"software,omitempty"`
	Ready    bool   `json:"ready,omitempty"`
	// Slots, Running and Waiting are those of the upstream. Closed says that it accepts
	// no further requests.
	Slots   int  `json:"slots,omitempty"`
	Running int  `json:"running,omitempty"`
	Waiting int  `json:"waiting,omitempty"`
	Closed  bool `json:"closed,omitempty"`
	// Routes are a part of the counts, which begin again if Software changes.
	Routes []RouteCounts `json:"routes,omitempty"`
}

var errCounts = errors.New("counts are impossible")

// Check returns an error if counts of another node cannot be used.
func (c *Counts) Check() error {
	if c.Node == "" || c.Service == "" || c.Slots < 0 || c.Running < 0 || c.Waiting < 0 || len(c.Routes) > maxRoutes+1 {
		return errCounts
	}
	for _, r := range c.Routes {
		if len(r.Route) > maxNameBytes || r.Failures > r.Requests || len(r.Times) > buckets+1 {
			return errCounts
		}
		if len(r.Times) > 0 && r.Times[0]+uint64(len(r.Times))-1 > buckets {
			return errCounts
		}
	}
	return errors.Join(checkName(string(c.Node)), checkName(c.Service), checkName(c.Software))
}

// histogram counts requests by service time.
type histogram [buckets]uint64

// encode returns h as RouteCounts.Times.
func (h *histogram) encode() []uint64 {
	first := slices.IndexFunc(h[:], func(n uint64) bool { return n > 0 })
	if first < 0 {
		return nil
	}
	last := buckets - 1
	for h[last] == 0 {
		last--
	}
	return append([]uint64{uint64(first)}, h[first:last+1]...)
}

func (r *RouteCounts) histogram() (h histogram) {
	if len(r.Times) > 1 {
		copy(h[r.Times[0]:], r.Times[1:])
	}
	return h
}

// routeTotal are the counts of a route at this node.
type routeTotal struct {
	requests, failures, cold uint64
	times                    histogram
}

// Recorder counts the requests at the upstream of this node while a rollout of its
// service is running. It is safe for concurrent use.
type Recorder struct {
	At follow.Position // of the order
	// ColdUntil is when upstreams cease to count as cold. An upstream that is cold for most
	// of the time of the order has to be judged all the same.
	ColdUntil time.Time

	mu       sync.Mutex
	software string
	routes   map[string]*routeTotal
	order    []string // of the routes, as they were first seen
}

// NewRecorder returns a recorder for an order.
func NewRecorder(at follow.Position, coldUntil time.Time) *Recorder {
	return &Recorder{At: at, ColdUntil: coldUntil, routes: make(map[string]*routeTotal)}
}

// Record counts one request that an upstream of a version has run for a service time. An
// upstream of another version begins at 0.
func (r *Recorder) Record(software, route string, o Outcome, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.use(software)
	t := r.routes[route]
	if t == nil {
		if len(r.order) >= maxRoutes {
			route = otherRoutes
			t = r.routes[route]
		}
		if t == nil {
			t = &routeTotal{}
			r.routes[route] = t
			r.order = append(r.order, route)
		}
	}
	switch o {
	case Cold:
		t.cold++
		return
	case Failed:
		t.failures++
	default:
		t.times[bucketOf(d)]++
	}
	t.requests++
}

// use begins new counts if the version of the upstream is another one. The mutex is held.
func (r *Recorder) use(software string) {
	if software != r.software {
		r.software, r.order = software, nil
		clear(r.routes)
	}
}

// Counts returns the counts of a version.
func (r *Recorder) Counts(software string) []RouteCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.use(software)
	all := make([]RouteCounts, 0, len(r.order))
	for _, route := range r.order {
		t := r.routes[route]
		all = append(all, RouteCounts{Route: route, Requests: t.requests, Failures: t.failures, Cold: t.cold, Times: t.times.encode()})
	}
	return all
}
