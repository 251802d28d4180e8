package devcluster

import (
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/examples"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// NodesPerService is the number of upstreams, and so of nodes, of each service in
// both deployments: one in each availability zone. Start accepts fewer.
const NodesPerService = 6

// Deployment describes the deployment of one user of the product. Its rules file
// is explained in docs/rules.md.
type Deployment struct {
	Name        string
	Zones       []model.Location // starts with one of each region
	Services    []string
	Slots       int    // of each upstream
	Connections int    // that each upstream accepts
	Rules       []byte // example rules file
	// Example is a call that the example rules file routes.
	Example Example
}

// Example is a call to try out, and an edit of the rules file that changes the
// rule of this call.
type Example struct {
	Host    string
	Path    string
	Service string // that runs the call
	Before  string // text in the rules file
	After   string // text that replaces it
}

var deployments = []Deployment{
	{
		Name:        "bertolucci",
		Zones:       locations("serra/caxias", "litoral/joinville", "oeste/cascavel", "serra/bento", "litoral/itajai", "oeste/toledo"),
		Services:    []string{"acompanha", "agenda", "pecas"},
		Slots:       15,
		Connections: 130,
		Rules:       examples.Bertolucci,
		Example:     Example{Host: "api.bertolucci.example", Path: "/status/42", Service: "acompanha", Before: "target=50ms", After: "target=40ms"},
	},
	{
		Name:        "haneul",
		Zones:       locations("seoul/seoul-a", "busan/busan-a", "daejeon/daejeon-a", "seoul/seoul-b", "busan/busan-b", "daejeon/daejeon-b"),
		Services:    []string{"catalog", "ordering", "engraving"},
		Slots:       12,
		Connections: 120,
		Rules:       examples.Haneul,
		Example:     Example{Host: "engraving.haneul.example", Path: "/designs/7", Service: "engraving", Before: "target=250ms", After: "target=240ms"},
	},
}

// Find returns the deployment with the given name, or an error if there is none.
func Find(name string) (Deployment, error) {
	for _, d := range deployments {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, merry.Errorf("deployment %q does not exist (accepted: %s)", name, strings.Join(Names(), ", "))
}

// Names returns the names of the deployments.
func Names() []string {
	names := make([]string, len(deployments))
	for i, d := range deployments {
		names[i] = d.Name
	}
	return names
}

// locations parses locations of the form region/zone.
func locations(names ...string) []model.Location {
	all := make([]model.Location, len(names))
	for i, name := range names {
		region, zone, _ := strings.Cut(name, "/")
		all[i] = model.Location{Region: model.Region(region), AvailabilityZone: model.AvailabilityZone(zone)}
	}
	return all
}
