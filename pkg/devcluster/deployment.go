package devcluster

import (
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/examples"
	"github.com/lentilflow/lentilflow/pkg/config"
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
	Rules       []byte // example rules file, with teams
	// Example is a call that the example rules file routes.
	Example Example
}

// Example is a call to try out, and an edit of the rules file that changes the
// rule of this call.
type Example struct {
	Host    string
	Path    string
	Service string // that runs the call
	Team    string // whose call it is
	Key     string // of the team
	Public  string // path of a call of the same host that needs no key
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
		Rules: withTeams(examples.Bertolucci, "catalogue",
			team("salons", "", "salons-try-it-out", "Marina Costa: salon owners"),
			team("depots", "rank=1 rate=5 burst=5 ", "depots-try-it-out", "Ana Prado: depot clerks")),
		Example: Example{
			Host: "api.bertolucci.example", Path: "/status/42", Service: "acompanha", Team: "salons", Key: "salons-try-it-out", Public: "/catalogue/1",
			Before: "target=50ms", After: "target=40ms",
		},
	},
	{
		Name:        "haneul",
		Zones:       locations("seoul/seoul-a", "busan/busan-a", "daejeon/daejeon-a", "seoul/seoul-b", "busan/busan-b", "daejeon/daejeon-b"),
		Services:    []string{"catalog", "ordering", "engraving"},
		Slots:       12,
		Connections: 120,
		Rules: withTeams(examples.Haneul, "catalog-images",
			team("shops", "", "shops-try-it-out", "Jung Hana: shop managers"),
			team("partners", "rank=3 rate=5 burst=5 ", "partners-try-it-out", "Lee Min-jun: resellers")),
		Example: Example{
			Host: "engraving.haneul.example", Path: "/designs/7", Service: "engraving", Team: "shops", Key: "shops-try-it-out", Public: "/images/1",
			Before: "target=250ms", After: "target=240ms",
		},
	},
}

// withTeams returns a copy of a rules file in which a rule is public, with the
// statements of teams at its end.
func withTeams(text []byte, publicRule string, teams ...string) []byte {
	lines := strings.Split(string(text), "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, "rule "+publicRule+" ") {
			lines[i] = strings.Replace(line, " idempotent=", " public=yes idempotent=", 1)
		}
	}
	return []byte(strings.Join(lines, "\n") + "\n# Teams, with the digests of their keys.\n" + strings.Join(teams, ""))
}

// team returns the statement of a team. fields ends with a space unless it is empty.
func team(name, fields, key, askedBy string) string {
	return "team " + name + " " + fields + "key=sha256:" + config.DigestOfKey(key).Hex() + "   # " + askedBy + "\n"
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
