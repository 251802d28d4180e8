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
	Name   string    `toml:"name"`
	Slots  int       `toml:"slots"`
	ColdS  float64   `toml:"cold_s"` // seconds after its start in which an upstream is slow
	ColdX  float64   `toml:"cold_x"` // by which its work takes longer then
	Speeds []float64 `toml:"speeds"`
}

// class is a kind of request.
type class struct {
	Name    string  `toml:"name"`
	Service string  `toml:"service"`
	Kind    string  `toml:"kind"`
	Inner   bool    `toml:"inner"` // sent by upstreams only
	Aim     float64 `toml:"aim_ms"`
	Worth   float64 `toml:"worth"`
	Late    float64 `toml:"late_worth"`
	Work    struct {
		Mean   float64 `toml:"mean"` // milliseconds
		Spread float64 `toml:"spread"`
		Tail   float64 `toml:"tail"`   // part of the requests
		TailX  float64 `toml:"tail_x"` // whose work is longer by this factor
	} `toml:"work_ms"`
	Answer struct {
		Mean   float64 `toml:"mean"` // bytes
		Spread float64 `toml:"spread"`
	} `toml:"resp_bytes"`
	Calls []struct {
		Class string  `toml:"class"`
		Times float64 `toml:"times"`
		Share float64 `toml:"share"`
		// Together says that the calls of a request are made at the same time.
		Together bool `toml:"together"`
	} `toml:"calls"`
}

type day struct {
	Name    string `toml:"name"`
	Closing struct {
		Kind string  `toml:"kind"`
		Down float64 `toml:"down_s"`
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
	Parts   [][3]any `json:"parts"`   // name, weight, value
	Windows []count  `json:"windows"` // two seconds each, named by their start
	Classes []count  `json:"classes"`
	Events  []struct {
		At   float64 `json:"at_s"`
		Kind string  `json:"kind"`
	} `json:"events"`
}

// count is the requests of a window or a kind.
type count struct {
	Name    string  `json:"name"`
	N       float64 `json:"n"`
	NotOwed float64 `json:"not_owed"` // such as those whose callers left early
	Worth   float64 `json:"worth"`    // earned, of what was owed
}

func (c count) owed() float64 { return c.N - c.NotOwed }
