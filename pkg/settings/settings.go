package settings

import "github.com/lentilflow/lentilflow/pkg/model"

// Settings are the start-up settings of one node. They do not change while the
// process runs.
type Settings struct {
	Node             string    `yaml:"node" required:"yes" unit:"name"`
	Regions          []string  `yaml:"regions" required:"yes" unit:"list of names"`
	Region           string    `yaml:"region" required:"yes" unit:"name"`
	AvailabilityZone string    `yaml:"availability_zone" required:"yes" unit:"name"`
	Listeners        Listeners `yaml:"listeners" required:"yes"`
	Advertise        Advertise `yaml:"advertise"`
	Upstream         Upstream  `yaml:"upstream" required:"yes"`
	Platform         Platform  `yaml:"platform" required:"yes"`
	Seeds            []Address `yaml:"seeds" unit:"list of addresses"`
	Limits           Limits    `yaml:"limits"`
	Drain            Drain     `yaml:"drain"`
	Log              Log       `yaml:"log"`
}

// Listeners are the addresses that the node listens on.
type Listeners struct {
	Calls Address `yaml:"calls" required:"yes" unit:"address"`
	Peer  Address `yaml:"peer" required:"yes" unit:"address"`
	Admin Address `yaml:"admin" required:"yes" unit:"address"`
}

// Advertise holds the addresses that other processes use. An empty address
// stands for the listener's own one.
type Advertise struct {
	Calls Address `yaml:"calls" unit:"address"`
	Peer  Address `yaml:"peer" unit:"address"`
	Admin Address `yaml:"admin" unit:"address"`
	// RegionAddresses replaces Peer for nodes of the named other regions.
	RegionAddresses map[string]Address `yaml:"region_addresses" unit:"address by region"`
}

// Upstream describes the upstream on the same VM.
type Upstream struct {
	Service     string  `yaml:"service" required:"yes" unit:"name"`
	Address     Address `yaml:"address" required:"yes" unit:"address"`
	Slots       int     `yaml:"slots" required:"yes" min:"1" max:"10000" unit:"calls"`
	Connections int     `yaml:"connections" required:"yes" min:"1" max:"100000" unit:"connections"`
	HealthPath  string  `yaml:"health_path" default:"/health" unit:"path"`
}

// Platform says where the platform's table service and object store are.
type Platform struct {
	Tables  URL      `yaml:"tables" required:"yes" unit:"URL"`
	Objects URL      `yaml:"objects" required:"yes" unit:"URL"`
	Timeout Duration `yaml:"timeout" default:"2s" min:"10ms" max:"1m" unit:"duration"`
}

// Limits bound what the node takes from callers and operators.
type Limits struct {
	Body         Size     `yaml:"body" default:"8MiB" min:"1KiB" max:"1GiB" unit:"size"`
	Headers      Size     `yaml:"headers" default:"32KiB" min:"1KiB" max:"1MiB" unit:"size"`
	HeaderTime   Duration `yaml:"header_time" default:"5s" min:"100ms" max:"1m" unit:"duration"`
	BodyTime     Duration `yaml:"body_time" default:"10s" min:"100ms" max:"10m" unit:"duration"`
	Connections  int      `yaml:"connections" default:"4096" min:"1" max:"100000" unit:"connections"`
	AdminTimeout Duration `yaml:"admin_timeout" default:"10s" min:"100ms" max:"1m" unit:"duration"`
}

// Drain bounds a graceful stop.
type Drain struct {
	Announce Duration `yaml:"announce" default:"3s" min:"0s" max:"1m" unit:"duration"`
	Finish   Duration `yaml:"finish" default:"30s" min:"0s" max:"10m" unit:"duration"`
}

// Log selects what is written to standard error.
type Log struct {
	Level  string `yaml:"level" default:"info" enum:"debug,info,warn,error" unit:"word"`
	Format string `yaml:"format" default:"json" enum:"json,console" unit:"word"`
}

// Location returns where the node runs.
func (s *Settings) Location() model.Location {
	return model.Location{
		Region:           model.Region(s.Region),
		AvailabilityZone: model.AvailabilityZone(s.AvailabilityZone),
	}
}

// Entry returns the node's roster entry for a process that started at the
// given generation, in Unix milliseconds.
func (s *Settings) Entry(generation uint64) model.Entry {
	e := model.Entry{
		Node:         model.NodeID(s.Node),
		Generation:   generation,
		Service:      s.Upstream.Service,
		Location:     s.Location(),
		Address:      or(s.Advertise.Peer, s.Listeners.Peer),
		CallAddress:  or(s.Advertise.Calls, s.Listeners.Calls),
		AdminAddress: or(s.Advertise.Admin, s.Listeners.Admin),
		Slots:        s.Upstream.Slots,
	}
	for region, address := range s.Advertise.RegionAddresses {
		if e.RegionAddresses == nil {
			e.RegionAddresses = make(map[model.Region]string)
		}
		e.RegionAddresses[model.Region(region)] = string(address)
	}
	return e
}

func or(first, second Address) string {
	if first != "" {
		return string(first)
	}
	return string(second)
}
