package play

import (
	"math"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// Pattern is a load with its faults. Its zones are numbered; two that follow
// each other share a region.
type Scenario struct {
	Name     string
	Zones    int
	Length   time.Duration
	Services []Service
	Kinds    []RequestKind
	Faults   []Fault
	// Swing and Period are those of the wave that the rates follow in each zone;
	// zones are zonePhaseShift of a period apart.
	Amplitude float64
	Period    time.Duration
	// Repeats is how often a caller of the pattern sends a request again, and
	// AtOnce whether it does so without a wait.
	CallerRetries    int
	RetryImmediately bool
}

// Service is what runs requests.
type Service struct {
	Name             string
	Slots            int // of one upstream
	UpstreamsPerZone int // upstreams
	// Link is the bandwidth of the VM of an upstream in Mbit/s, 0 if it does not
	// bind.
	LinkMbps float64
	Speeds   []float64 // work done in a time, by upstream in turn; empty for 1
}

// Kind is a kind of request.
type RequestKind struct {
	Name          string
	Service       string
	Rank          model.Rank
	Idempotent    bool
	LatencyTarget time.Duration // latency target
	Deadline      time.Duration
	Worth         float64 // of an answer within the target
	LateWorth     float64 // of one within the deadline
	Work          time.Duration
	WorkSpread    float64 // of the logarithm of the work
	DownloadBytes float64 // mean size of a large answer, 0 for a small one
	Rate          float64 // callers' requests a second in each zone, 0 for calls of upstreams
	InnerCalls    []InnerCalls
}

// Calls are the calls that a run makes before its own work.
type InnerCalls struct {
	Kind       string
	Times      int
	Share      float64 // of the runs
	Concurrent bool    // at the same time
}

// Fault changes a pattern for a while.
type Fault struct {
	From, To      time.Duration
	Service       string  // "" for all
	UpstreamShare float64 // of the service's upstreams
	ShedShare     float64 // part of the requests that they reject without a run
	Slowdown      float64 // factor of their work, 0 for 1
	Down          bool    // nodes and upstreams are lost
	RateKind      string  // whose callers are more, "" for all
	RateZone      int     // of these callers, -1 for all
	RateFactor    float64 // of the rate, 0 for 1
}

func (f *Fault) active(now time.Duration) bool { return now >= f.From && now < f.To }

func (s *Scenario) kind(name string) *RequestKind {
	for i := range s.Kinds {
		if s.Kinds[i].Name == name {
			return &s.Kinds[i]
		}
	}
	return nil
}

// zonePhaseShift is how much later the wave comes in each zone, in periods.
const zonePhaseShift = 0.08

// rate is the requests a second of a kind in a zone.
func (s *Scenario) rate(k *RequestKind, zone int, now time.Duration) float64 {
	r := k.Rate
	if s.Period > 0 {
		phase := float64(now)/float64(s.Period) + zonePhaseShift*float64(zone)
		r *= 1 + s.Amplitude*math.Sin(2*math.Pi*phase)
	}
	for i := range s.Faults {
		f := &s.Faults[i]
		if f.RateFactor > 0 && f.active(now) && (f.RateKind == "" || f.RateKind == k.Name) && (f.RateZone < 0 || f.RateZone == zone) {
			r *= f.RateFactor
		}
	}
	return r
}

// booking is a deployment of four services: lookups and bookings whose runs call
// other services, downloads, and long queries.
func bookingScenario(name string, load float64, faults ...Fault) Scenario {
	ms := time.Millisecond
	speeds := []float64{0.6, 1, 1.4}
	return Scenario{
		Name: name, Zones: 6, Length: 20 * time.Second, Amplitude: 0.55, Period: 17 * time.Second, CallerRetries: 1, Faults: faults,
		Services: []Service{
			{Name: "search", Slots: 6, UpstreamsPerZone: 2, Speeds: speeds},
			{Name: "booking", Slots: 6, UpstreamsPerZone: 2, Speeds: speeds},
			{Name: "files", Slots: 6, UpstreamsPerZone: 1, LinkMbps: 11},
			{Name: "records", Slots: 6, UpstreamsPerZone: 2, Speeds: speeds},
		},
		Kinds: []RequestKind{
			{Name: "lookup", Service: "search", Rank: 2, Idempotent: true, LatencyTarget: 400 * ms, Deadline: time.Second, Worth: 1, LateWorth: 0.1,
				Work: 68 * ms, WorkSpread: 0.8, Rate: 75 * load, InnerCalls: []InnerCalls{{Kind: "calendar", Times: 2, Share: 0.7, Concurrent: true}}},
			{Name: "order", Service: "booking", Rank: 1, LatencyTarget: 500 * ms, Deadline: 1200 * ms, Worth: 2, LateWorth: 0.2,
				Work: 85 * ms, WorkSpread: 0.5, Rate: 27 * load, InnerCalls: []InnerCalls{{Kind: "index", Times: 1, Share: 0.7}}},
			{Name: "download", Service: "files", Rank: 2, Idempotent: true, LatencyTarget: 600 * ms, Deadline: 1500 * ms, Worth: 1, LateWorth: 0.1,
				Work: 54 * ms, WorkSpread: 0.8, DownloadBytes: 90_000, Rate: 11 * load},
			{Name: "history", Service: "records", Rank: 2, Idempotent: true, LatencyTarget: 1200 * ms, Deadline: 3 * time.Second, Worth: 1, LateWorth: 0.1,
				Work: 270 * ms, WorkSpread: 0.8, Rate: 15 * load},
			{Name: "calendar", Service: "booking", Rank: 1, Idempotent: true, LatencyTarget: 80 * ms, Deadline: 250 * ms, Work: 20 * ms, WorkSpread: 0.5},
			{Name: "index", Service: "files", Rank: 1, Idempotent: true, LatencyTarget: 80 * ms, Deadline: 250 * ms, Work: 20 * ms, WorkSpread: 0.5},
		},
	}
}

// Patterns returns the named loads.
func Scenarios() []Scenario {
	at := func(from, to float64, f Fault) Fault {
		f.From, f.To = time.Duration(from*float64(time.Second)), time.Duration(to*float64(time.Second))
		return f
	}
	storm := bookingScenario("retry storm", 1.2, at(8, 12, Fault{RateZone: -1, RateFactor: 1.6}))
	storm.CallerRetries, storm.RetryImmediately = 4, true
	return []Scenario{
		bookingScenario("calm", 0.6),
		bookingScenario("flood of one kind", 1.1, at(6, 12, Fault{RateKind: "lookup", RateZone: -1, RateFactor: 2.2})),
		bookingScenario("all callers back after a loss of all processes", 1.2,
			at(8, 8.8, Fault{Down: true}), at(8.8, 11.8, Fault{UpstreamShare: 1, Slowdown: 2})),
		bookingScenario("downloads on thin links beside short calls", 1, at(0, 20, Fault{RateKind: "download", RateZone: -1, RateFactor: 2})),
		bookingScenario("a zone's callers moved", 1.1, at(6, 14, Fault{RateZone: 0, RateFactor: 2.5}), at(6, 14, Fault{RateZone: 1, RateFactor: 0.2})),
		bookingScenario("a third of a service grey", 1.2, at(6, 14, Fault{Service: "booking", UpstreamShare: 0.34, ShedShare: 0.45})),
		bookingScenario("all of a service grey", 1.2, at(6, 14, Fault{Service: "booking", UpstreamShare: 1, ShedShare: 0.45})),
		bookingScenario("upstreams turned slow", 1.2, at(6, 14, Fault{Service: "search", UpstreamShare: 0.2, Slowdown: 5})),
		storm,
	}
}
