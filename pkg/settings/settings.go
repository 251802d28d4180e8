package settings

import "github.com/lentilflow/lentilflow/pkg/model"

// Settings are the settings of a node on the users' platform. Changes of
// Retries, Drain and Log in the file apply while the process runs; changes of
// the other fields require a restart.
type Settings struct {
	// Name identifies the node in the deployment. It is the key of its row in the
	// store.
	Name             string    `yaml:"node" required:"yes" unit:"name"`
	Region           string    `yaml:"region" required:"yes" unit:"name"`
	AvailabilityZone string    `yaml:"availability_zone" required:"yes" unit:"name"`
	Listeners        Listeners `yaml:"listeners" required:"yes"`
	Upstream         Upstream  `yaml:"upstream" required:"yes"`
	Store            Store     `yaml:"store" required:"yes"`
	Network          Network   `yaml:"network"`
	// FirstStart is "yes" if the whole deployment starts for the first time. The
	// node then waits until the other nodes have written their rows before it
	// reads them.
	FirstStart string    `yaml:"first_start" default:"no" enum:"yes,no" unit:"word"`
	Retries    Retries   `yaml:"retries"`
	Rollouts   Rollouts  `yaml:"rollouts"`
	Quota      Quota     `yaml:"quota"`
	Drain      Drain     `yaml:"drain"`
	Load       HeavyLoad `yaml:"load"`
	Log        Log       `yaml:"log"`
}

// Listeners are the addresses that a node listens on.
type Listeners struct {
	// Calls accepts the calls of callers and of the upstream on the VM.
	Calls Address `yaml:"calls" required:"yes" unit:"address"`
	// Peers accepts requests of other nodes for the upstream on the VM.
	Peers Address `yaml:"peers" required:"yes" unit:"address"`
	// Messages accepts messages of other nodes and serves the metrics.
	Messages Address `yaml:"messages" required:"yes" unit:"address"`
	// Reports accepts the reports of the upstream on the VM.
	Reports Address `yaml:"reports" required:"yes" unit:"address"`
	// Readiness serves the check whether the node accepts new callers.
	Readiness Address `yaml:"readiness" required:"yes" unit:"address"`
}

type namedAddress struct {
	name    string
	address Address
}

func (l *Listeners) all() []namedAddress {
	return []namedAddress{
		{"calls", l.Calls}, {"peers", l.Peers}, {"messages", l.Messages}, {"reports", l.Reports}, {"readiness", l.Readiness},
	}
}

// Upstream identifies the upstream on the same VM by its service and by the
// address at which it accepts requests.
type Upstream struct {
	Service string  `yaml:"service" required:"yes" unit:"name"`
	Address Address `yaml:"address" required:"yes" unit:"address"`
}

// Store describes the platform's store.
type Store struct {
	// Address is where the store accepts requests.
	Address Address `yaml:"address" required:"yes" unit:"address"`
	// Apply is the time within which an accepted change must be in force on all
	// nodes. If it is shorter than 3 s, every node follows the store itself
	// instead of relying on other nodes.
	Apply Duration `yaml:"apply" default:"3s" min:"0s" max:"10m" unit:"duration"`
}

// Network describes the link of the VM.
type Network struct {
	// Bandwidth of the link in each direction. 0 means that it is not known;
	// downloads are then sent as fast as the link allows.
	Bandwidth MegabitsPerSecond `yaml:"bandwidth" default:"0" unit:"Mbit/s"`
}

// Retries limits the retries of all nodes together.
type Retries struct {
	// Ratio of retries to calls of a service.
	Ratio Ratio `yaml:"ratio" default:"0.1" unit:"ratio"`
	// Extra is the number of retries of a service that all nodes together may
	// make beyond Ratio in each window of some seconds. The window is that of the
	// limit that the deployment has to keep, for example 10 s. Nodes do not use
	// its length: a share of Extra is what their budgets together hold when full,
	// and calls, not time, fill them again.
	Extra int `yaml:"extra" default:"10" min:"0" max:"1000000" unit:"runs"`
}

// Rollouts limits what a bad software version may do during its rollout.
type Rollouts struct {
	// Exposure is the share of the requests of a service, from the order of a rollout to
	// its time limit, that a bad version may get, and Tolerance a number of further ones.
	Exposure  Ratio `yaml:"exposure" default:"0.1" unit:"ratio"`
	Tolerance int   `yaml:"tolerance" default:"0" min:"0" max:"1000000" unit:"requests"`
	// Rollback is the time after its 50th bad response within which a bad version must get
	// no more requests.
	Rollback Duration `yaml:"rollback" default:"5s" min:"1s" max:"10m" unit:"duration"`
	// OnlyOrdered is "yes" if a version that differs from the one in use gets requests only
	// because of an order, also before the first order of its service.
	OnlyOrdered string `yaml:"only_ordered" default:"no" enum:"yes,no" unit:"word"`
}

// HeavyLoad switches the decisions under heavy load (docs/design/heavy-load.md). "no" makes
// the node decide as it does for a lighter load.
type HeavyLoad struct {
	// ReturningLate counts the time since the first try of a caller that comes back
	// after a refusal towards its latency target.
	ReturningLate string `yaml:"returning_late" default:"yes" enum:"yes,no" unit:"word"`
	// InnerFirst gives the calls that upstreams make the most urgent rank.
	InnerFirst string `yaml:"inner_first" default:"yes" enum:"yes,no" unit:"word"`
	// QueueLimit refuses calls whose expected wait is longer than a quarter of the
	// latency target at all upstreams.
	QueueLimit string `yaml:"queue_limit" default:"yes" enum:"yes,no" unit:"word"`
	// RefuseLate refuses waiting calls that can no longer meet their latency target,
	// while others can.
	RefuseLate string `yaml:"refuse_late" default:"yes" enum:"yes,no" unit:"word"`
	// TeamShares divides the starts of a route's calls among teams by weight.
	TeamShares string `yaml:"team_shares" default:"yes" enum:"yes,no" unit:"word"`
	// MoreChoices compares five random upstreams for an attempt instead of two.
	MoreChoices string `yaml:"more_choices" default:"yes" enum:"yes,no" unit:"word"`
	// InnerReserve keeps a slot free for the calls that upstreams make, if many arrive.
	InnerReserve string `yaml:"inner_reserve" default:"yes" enum:"yes,no" unit:"word"`
}

// Quota is what the deployment promises about the requests of a team in every window:
// at most (rate x Window + burst) x (1 + Overage) + Tolerance.
type Quota struct {
	Window  Duration `yaml:"window" default:"5s" min:"100ms" max:"10m" unit:"duration"`
	Overage Ratio    `yaml:"overage" default:"0" unit:"ratio"`
	// Tolerance is a number of requests. It lets small teams use their whole limit, and
	// nodes get tokens ahead of demand.
	Tolerance int `yaml:"tolerance" default:"0" min:"0" max:"1000000" unit:"requests"`
}

// Drain limits the duration of a graceful stop.
type Drain struct {
	// Announce is how long new calls are accepted after the node has reported
	// that it is no longer ready.
	Announce Duration `yaml:"announce" default:"2500ms" min:"0s" max:"1m" unit:"duration"`
	// Finish is the longest time from the signal to the end of the process.
	Finish Duration `yaml:"finish" default:"6s" min:"0s" max:"10m" unit:"duration"`
}

// Log selects what is written to standard output.
type Log struct {
	// Level is the least severe level that is written.
	Level string `yaml:"level" default:"info" enum:"debug,info,warn,error" unit:"word"`
}

// Location returns where the node runs.
func (s *Settings) Location() model.Location {
	return model.Location{Region: model.Region(s.Region), AvailabilityZone: model.AvailabilityZone(s.AvailabilityZone)}
}
