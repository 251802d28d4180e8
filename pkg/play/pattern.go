package play

import (
	"math"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// Pattern is a load with its faults. Its zones are numbered; two that follow
// each other share a region.
type Pattern struct {
	Name     string
	Zones    int
	Length   time.Duration
	Services []Service
	Kinds    []Kind
	Faults   []Fault
	// Swing and Period are those of the wave that the rates follow in each zone;
	// zones are zoneLag of a period apart.
	Swing  float64
	Period time.Duration
	// Repeats is how often a caller of the pattern sends a request again, and
	// AtOnce whether it does so without a wait.
	Repeats int
	AtOnce  bool
}

// Service is what runs requests.
type Service struct {
	Name    string
	Slots   int // of one upstream
	PerZone int // upstreams
	// Link is the bandwidth of the VM of an upstream in Mbit/s, 0 if it does not
	// bind.
	Link   float64
	Speeds []float64 // work done in a time, by upstream in turn; empty for 1
}

// Kind is a kind of request.
type Kind struct {
	Name       string
	Service    string
	Rank       model.Rank
	Idempotent bool
	Target     time.Duration // latency target
	Deadline   time.Duration
	Worth      float64 // of an answer within the target
	Late       float64 // of one within the deadline
	Work       time.Duration
	Spread     float64 // of the logarithm of the work
	Bytes      float64 // mean size of a large answer, 0 for a small one
	Rate       float64 // callers' requests a second in each zone, 0 for calls of upstreams
	Calls      []Calls
}

// Calls are the calls that a run makes before its own work.
type Calls struct {
	Kind     string
	Times    int
	Share    float64 // of the runs
	Together bool    // at the same time
}

// Fault changes a pattern for a while.
type Fault struct {
	From, To time.Duration
	Service  string  // "" for all
	Part     float64 // of the service's upstreams
	Shed     float64 // part of the requests that they reject without a run
	Slow     float64 // factor of their work, 0 for 1
	Down     bool    // nodes and upstreams are lost
	Kind     string  // whose callers are more, "" for all
	Zone     int     // of these callers, -1 for all
	Factor   float64 // of the rate, 0 for 1
}

func (f *Fault) active(now time.Duration) bool { return now >= f.From && now < f.To }

func (p *Pattern) kind(name string) *Kind {
	for i := range p.Kinds {
		if p.Kinds[i].Name == name {
			return &p.Kinds[i]
		}
	}
	return nil
}

// zoneLag is how much later the wave comes in each zone, in periods.
const zoneLag = 0.08

// rate is the requests a second of a kind in a zone.
func (p *Pattern) rate(k *Kind, zone int, now time.Duration) float64 {
	r := k.Rate
	if p.Period > 0 {
		phase := float64(now)/float64(p.Period) + zoneLag*float64(zone)
		r *= 1 + p.Swing*math.Sin(2*math.Pi*phase)
	}
	for i := range p.Faults {
		f := &p.Faults[i]
		if f.Factor > 0 && f.active(now) && (f.Kind == "" || f.Kind == k.Name) && (f.Zone < 0 || f.Zone == zone) {
			r *= f.Factor
		}
	}
	return r
}

// booking is a deployment of four services: lookups and bookings whose runs call
// other services, downloads, and long queries.
func booking(name string, load float64, faults ...Fault) Pattern {
	ms := time.Millisecond
	speeds := []float64{0.6, 1, 1.4}
	return Pattern{
		Name: name, Zones: 6, Length: 20 * time.Second, Swing: 0.55, Period: 17 * time.Second, Repeats: 1, Faults: faults,
		Services: []Service{
			{Name: "search", Slots: 6, PerZone: 2, Speeds: speeds},
			{Name: "booking", Slots: 6, PerZone: 2, Speeds: speeds},
			{Name: "files", Slots: 6, PerZone: 1, Link: 11},
			{Name: "records", Slots: 6, PerZone: 2, Speeds: speeds},
		},
		Kinds: []Kind{
			{Name: "lookup", Service: "search", Rank: 2, Idempotent: true, Target: 400 * ms, Deadline: time.Second, Worth: 1, Late: 0.1,
				Work: 68 * ms, Spread: 0.8, Rate: 75 * load, Calls: []Calls{{Kind: "calendar", Times: 2, Share: 0.7, Together: true}}},
			{Name: "order", Service: "booking", Rank: 1, Target: 500 * ms, Deadline: 1200 * ms, Worth: 2, Late: 0.2,
				Work: 85 * ms, Spread: 0.5, Rate: 27 * load, Calls: []Calls{{Kind: "index", Times: 1, Share: 0.7}}},
			{Name: "download", Service: "files", Rank: 2, Idempotent: true, Target: 600 * ms, Deadline: 1500 * ms, Worth: 1, Late: 0.1,
				Work: 54 * ms, Spread: 0.8, Bytes: 90_000, Rate: 11 * load},
			{Name: "history", Service: "records", Rank: 2, Idempotent: true, Target: 1200 * ms, Deadline: 3 * time.Second, Worth: 1, Late: 0.1,
				Work: 270 * ms, Spread: 0.8, Rate: 15 * load},
			{Name: "calendar", Service: "booking", Rank: 1, Idempotent: true, Target: 80 * ms, Deadline: 250 * ms, Work: 20 * ms, Spread: 0.5},
			{Name: "index", Service: "files", Rank: 1, Idempotent: true, Target: 80 * ms, Deadline: 250 * ms, Work: 20 * ms, Spread: 0.5},
		},
	}
}

// Patterns returns the named loads.
func Patterns() []Pattern {
	at := func(from, to float64, f Fault) Fault {
		f.From, f.To = time.Duration(from*float64(time.Second)), time.Duration(to*float64(time.Second))
		return f
	}
	storm := booking("retry storm", 1.2, at(8, 12, Fault{Zone: -1, Factor: 1.6}))
	storm.Repeats, storm.AtOnce = 4, true
	return []Pattern{
		booking("calm", 0.6),
		booking("flood of one kind", 1.1, at(6, 12, Fault{Kind: "lookup", Zone: -1, Factor: 2.2})),
		booking("all callers back after a loss of all processes", 1.2,
			at(8, 8.8, Fault{Down: true}), at(8.8, 11.8, Fault{Part: 1, Slow: 2})),
		booking("downloads on thin links beside short calls", 1, at(0, 20, Fault{Kind: "download", Zone: -1, Factor: 2})),
		booking("a zone's callers moved", 1.1, at(6, 14, Fault{Zone: 0, Factor: 2.5}), at(6, 14, Fault{Zone: 1, Factor: 0.2})),
		booking("a third of a service grey", 1.2, at(6, 14, Fault{Service: "booking", Part: 0.34, Shed: 0.45})),
		booking("all of a service grey", 1.2, at(6, 14, Fault{Service: "booking", Part: 1, Shed: 0.45})),
		booking("upstreams turned slow", 1.2, at(6, 14, Fault{Service: "search", Part: 0.2, Slow: 5})),
		storm,
	}
}
