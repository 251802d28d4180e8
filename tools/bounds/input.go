package main

// site holds the capacity and the load of a deployment, as its file states them.
type site struct {
	Machines []struct {
		Link  float64 `toml:"link_mbps"` // bandwidth of each machine in Mbit/s
		Count int     `toml:"count"`
		App   string  `toml:"app"` // service of the upstream on each machine
	} `toml:"machines"`
	Services []service `toml:"services"`
	Classes  []class   `toml:"classes"`
	Days     []day     `toml:"day"`
}

type service struct {
	Name        string    `toml:"name"`
	Slots       int       `toml:"slots"`  // of each upstream
	ColdSeconds float64   `toml:"cold_s"` // time after its start in which an upstream is slow
	ColdFactor  float64   `toml:"cold_x"` // factor of its service times in that time
	Speeds      []float64 `toml:"speeds"` // see meanSpeed
}

// class is a class of requests. Worth is that of a response within the latency
// target, and LateWorth that of a later one.
type class struct {
	Name          string  `toml:"name"`
	Service       string  `toml:"service"`
	Kind          string  `toml:"kind"`
	Inner         bool    `toml:"inner"`  // called by upstreams only
	LatencyTarget float64 `toml:"aim_ms"` // milliseconds
	Worth         float64 `toml:"worth"`
	LateWorth     float64 `toml:"late_worth"`
	Work          struct {
		Mean       float64 `toml:"mean"`   // milliseconds
		Spread     float64 `toml:"spread"` // standard deviation of the logarithm
		Tail       float64 `toml:"tail"`   // share of the requests with a longer service time
		TailFactor float64 `toml:"tail_x"` // factor of the service time of these requests
	} `toml:"work_ms"`
	Response struct {
		Mean   float64 `toml:"mean"`   // bytes
		Spread float64 `toml:"spread"` // standard deviation of the logarithm
	} `toml:"resp_bytes"`
	Calls []struct {
		Class string  `toml:"class"`
		Times float64 `toml:"times"` // number of calls
		Share float64 `toml:"share"` // share of the requests that make the calls
		// Concurrent says that a request makes all these calls at the same time.
		Concurrent bool `toml:"together"`
	} `toml:"calls"`
}

// day is one day of the bench. Outage is the loss of all processes on that day.
type day struct {
	Name   string `toml:"name"`
	Outage struct {
		Kind     string  `toml:"kind"`
		Duration float64 `toml:"down_s"` // seconds
	} `toml:"closing"`
}

func (s *site) day(name string) (day, bool) {
	for _, d := range s.Days {
		if d.Name == name {
			return d, true
		}
	}
	return day{}, false
}

// report is the report of the bench about one run of a day.
type report struct {
	Parts   [][3]any       `json:"parts"`   // name, weight, value
	Windows []requestCount `json:"windows"` // two seconds each; the name is the start in seconds
	Classes []requestCount `json:"classes"`
	Events  []struct {
		At   float64 `json:"at_s"`
		Kind string  `json:"kind"`
	} `json:"events"`
}

// requestCount holds the number of requests of a window or a class, and their worth.
type requestCount struct {
	Name     string  `json:"name"`
	Requests float64 `json:"n"`
	Excluded float64 `json:"not_owed"` // not part of the worth, for example because the caller left early
	Worth    float64 `json:"worth"`    // worth earned, as a share of the worth if all counted requests met their targets
}

// counted returns the number of requests that count for the worth.
func (c requestCount) counted() float64 { return c.Requests - c.Excluded }
