package play

import (
	"math"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// Scenario describes a deployment, its load and its faults. The availability zones
// are numbered from 0. Zones 2n and 2n+1 share a region.
type Scenario struct {
	Name     string
	Zones    int
	Length   time.Duration // time in which requests arrive
	Services []Service
	Kinds    []RequestKind
	Faults   []Fault
	// Hiccups is the share of the upstreams whose service times are hiccupFactor times as
	// long. Every hiccupLength, others are drawn.
	Hiccups float64
	// ZoneLoads are factors of the request rates in the zones, all 1 if empty.
	ZoneLoads []float64
	// Amplitude and Period are those of the sine wave that the request rates
	// follow in each zone. Amplitude is relative to RequestKind.Rate. The waves of
	// consecutive zones differ by zonePhaseShift. A Period of 0 means constant
	// rates.
	Amplitude float64
	Period    time.Duration
	// CallerRetries is the largest number of times that a caller sends a request
	// again. Unless RetryImmediately is set, it first waits for the time that the
	// refusal states, or for defaultRetryWait if it states none.
	CallerRetries    int
	RetryImmediately bool
	// Teams is the number of teams that send requests, 0 for none. The load of team
	// number i, from 1, is proportional to i to the power of -teamExponent. Every
	// urgentTeams-th team has rank 0, which replaces that of the request kind; 0 for none.
	Teams       int
	urgentTeams int
}

// Service describes the upstreams of one service.
type Service struct {
	Name             string
	Slots            int // of each upstream
	UpstreamsPerZone int
	UpstreamsByZone  []int // replaces UpstreamsPerZone if it is not empty; the speeds are then drawn
	// LinkMbps is the bandwidth of the VM of each upstream in Mbit/s. 0 means that
	// it does not limit downloads.
	LinkMbps float64
	Speeds   []float64 // relative speeds, by which service times are divided; assigned to the upstreams in turn; if empty, all are 1
}

// RequestKind describes one kind of request.
type RequestKind struct {
	Name          string
	Service       string
	Rank          model.Rank
	Idempotent    bool
	LatencyTarget time.Duration // from the start of the request
	Deadline      time.Duration // from the start of the request
	Timeout       time.Duration // of the route, from the arrival of each try at a node; 0 if only Deadline applies
	Worth         float64       // of a response within the latency target
	LateWorth     float64       // of a later response within the deadline
	Work          time.Duration // mean service time at speed 1, without inner calls
	WorkSpread    float64       // standard deviation of the logarithm of the service time
	TailShare     float64       // share of the requests whose service time is longer by TailFactor
	TailFactor    float64
	DownloadBytes float64 // mean size of the response of a download in bytes, 0 for other requests
	Rate          float64 // requests per second from the callers of each zone, 0 for inner calls
	InnerCalls    []InnerCalls
}

const (
	hiccupLength = 600 * time.Millisecond
	hiccupFactor = 2.5
)

// inner reports whether only upstreams make requests of the kind.
func (k *RequestKind) inner() bool { return k.Rate == 0 }

// InnerCalls are calls of one kind that an upstream makes while it runs a request,
// before its own work.
type InnerCalls struct {
	Kind       string  // name of a request kind
	Times      int     // number of calls
	Share      float64 // share of the runs that make the calls
	Concurrent bool    // all calls are made at the same time
}

// Fault changes a scenario from the time From until the time To. Service selects the
// upstreams to which ShedShare, Slowdown, RateLimit and Down apply. RateKind and RateZone select
// the requests to which RateFactor applies.
type Fault struct {
	From, To      time.Duration // since the start of the scenario
	Service       string        // "" for all services
	UpstreamShare float64       // share of the service's upstreams to which ShedShare, Slowdown and RateLimit apply
	ShedShare     float64       // share of the requests that they reject without running them
	Slowdown      float64       // factor of their service time, 0 for 1
	RateLimit     float64       // requests per second that each of these upstreams states as its limit, 0 for none
	Down          bool          // all nodes and upstreams of the service are lost
	RateKind      string        // request kind to which RateFactor applies, "" for all
	RateZone      int           // zone to which RateFactor applies, -1 for all
	RateFactor    float64       // factor of the request rate, 0 for 1
	RateTeam      int           // number of the team to which RateFactor applies, 0 for all
	GoneShare     float64       // share of the service's upstreams that leave and are not used any more
}

// upstreams returns the number of upstreams of the service in a zone.
func (s *Service) upstreams(zone int) int {
	if len(s.UpstreamsByZone) > 0 {
		return s.UpstreamsByZone[zone]
	}
	return s.UpstreamsPerZone
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

// zonePhaseShift is the phase difference between the waves of consecutive zones, in
// periods. With six zones the first and the last one differ by 0.4 of a period, so
// that the load of some zones is low while that of others is high.
const zonePhaseShift = 0.08

// rate returns the requests per second of a kind from the callers of a zone.
func (s *Scenario) rate(k *RequestKind, zone int, now time.Duration) float64 {
	r := k.Rate
	if len(s.ZoneLoads) > 0 {
		r *= s.ZoneLoads[zone]
	}
	if s.Period > 0 {
		phase := float64(now)/float64(s.Period) + zonePhaseShift*float64(zone)
		r *= 1 + s.Amplitude*math.Sin(2*math.Pi*phase)
	}
	for i := range s.Faults {
		f := &s.Faults[i]
		if f.RateFactor > 0 && f.active(now) && (f.RateKind == "" || f.RateKind == k.Name) && (f.RateZone < 0 || f.RateZone == zone) {
			if f.RateTeam > 0 {
				r *= 1 + (f.RateFactor-1)*s.teamShare(f.RateTeam)
			} else {
				r *= f.RateFactor
			}
		}
	}
	return r
}

// teamExponent is the exponent of the sizes of teams, by their position in the order
// of size. With 75 teams the first one sends 0.28 of the requests.
const teamExponent = 1.2

// teamShare returns the share of the requests that a team sends without faults.
func (s *Scenario) teamShare(team int) float64 {
	sum := 0.0
	for i := 1; i <= s.Teams; i++ {
		sum += math.Pow(float64(i), -teamExponent)
	}
	return math.Pow(float64(team), -teamExponent) / sum
}

// team draws the team of a request, 0 without teams. random is in [0, 1).
func (s *Scenario) team(now time.Duration, random float64) int {
	if s.Teams == 0 {
		return 0
	}
	weights, total := make([]float64, s.Teams+1), 0.0
	for i := 1; i <= s.Teams; i++ {
		weights[i] = math.Pow(float64(i), -teamExponent)
		for j := range s.Faults {
			if f := &s.Faults[j]; f.RateTeam == i && f.active(now) {
				weights[i] *= f.RateFactor
			}
		}
		total += weights[i]
	}
	point := random * total
	for i := 1; i < s.Teams; i++ {
		if point -= weights[i]; point < 0 {
			return i
		}
	}
	return s.Teams
}

// bookingScenario returns a scenario with four services. Their requests are lookups
// and bookings that call other services, downloads, and long queries. load is a
// factor of the request rates.
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

// Scenarios returns the named scenarios.
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
		bookingScenario("most upstreams of a service limited", 0.9, at(6, 14, Fault{Service: "search", UpstreamShare: 0.67, RateLimit: 8})),
		storm,
	}
}
