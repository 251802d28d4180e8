package main

// site is what a deployment's file says of its capacity.
type site struct {
	Machines []struct {
		Link  float64 `toml:"link_mbps"`
		Count int     `toml:"count"`
		App   string  `toml:"app"` // service of the upstream on it
	} `toml:"machines"`
	Services []service `toml:"services"`
	Classes  []class   `toml:"classes"`
	Days     []day     `toml:"day"`
}

type service struct {
	Name        string    `toml:"name"`
	Slots       int       `toml:"slots"`
	ColdSeconds float64   `toml:"cold_s"` // seconds after its start in which an upstream is slow
	ColdFactor  float64   `toml:"cold_x"` // by which its work takes longer then
	Speeds      []float64 `toml:"speeds"`
}

// class is a kind of request.
type class struct {
	Name          string  `toml:"name"`
	Service       string  `toml:"service"`
	Kind          string  `toml:"kind"`
	Inner         bool    `toml:"inner"` // sent by upstreams only
	LatencyTarget float64 `toml:"aim_ms"`
	Worth         float64 `toml:"worth"`
	LateWorth     float64 `toml:"late_worth"`
	Work          struct {
		Mean       float64 `toml:"mean"` // milliseconds
		Spread     float64 `toml:"spread"`
		Tail       float64 `toml:"tail"`   // part of the requests
		TailFactor float64 `toml:"tail_x"` // whose work is longer by this factor
	} `toml:"work_ms"`
	Response struct {
		Mean   float64 `toml:"mean"` // bytes
		Spread float64 `toml:"spread"`
	} `toml:"resp_bytes"`
	Calls []struct {
		Class string  `toml:"class"`
		Times float64 `toml:"times"`
		Share float64 `toml:"share"`
		// Together says that the calls of a request are made at the same time.
		Concurrent bool `toml:"together"`
	} `toml:"calls"`
}

type day struct {
	Name   string `toml:"name"`
	Outage struct {
		Kind     string  `toml:"kind"`
		Duration float64 `toml:"down_s"`
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

// report is what the bench says about a play of a day.
type report struct {
	Parts   [][3]any       `json:"parts"`   // name, weight, value
	Windows []requestCount `json:"windows"` // two seconds each, named by their start
	Classes []requestCount `json:"classes"`
	Events  []struct {
		At   float64 `json:"at_s"`
		Kind string  `json:"kind"`
	} `json:"events"`
}

// count is the requests of a window or a kind.
type requestCount struct {
	Name     string  `json:"name"`
	Requests float64 `json:"n"`
	Excluded float64 `json:"not_owed"` // such as those whose callers left early
	Worth    float64 `json:"worth"`    // earned, of what was owed
}

func (c requestCount) counted() float64 { return c.Requests - c.Excluded }
