// Command capacity measures what each role of a node uses at several sizes and
// writes docs/CAPACITY.md and its plots.
package main

import (
	"fmt"
	"time"

	"github.com/alecthomas/kong"

	"github.com/lentilflow/lentilflow/test/bench/internal/mesh"
	"github.com/lentilflow/lentilflow/test/bench/internal/report"
)

var flags struct {
	Binary string `default:"bin/lentilflow" help:"Node binary."`
	Page   string `default:"docs/CAPACITY.md" help:"Page to write."`
	Plots  string `default:"docs/capacity" help:"Folder of the plots."`
	Sizes  []int  `default:"18,60,180" help:"Numbers of live nodes, one process each."`
	Only   string `help:"Run only the named part (proxy, publisher, roster, fleet) and write nothing."`
}

// The target of section 2 of the design page.
const (
	nodes          = 2800
	zoneNodes      = 400
	calls          = 160000.0 / nodes // a second and node
	changesPerDay  = 2900
	restartsPerDay = 720
	day            = 24 * time.Hour
	fanOut         = 8
	zoneRoots      = 3 // beside the region root's own, in a region of 4 zones
	regions        = 2
)

const (
	joinTime = 8 * time.Second
	runTime  = 15 * time.Second
	// speedup shortens a day of changes and restarts, so that runTime holds 30
	// changes and 7 restarts.
	speedup = 60
	rules   = 1000
)

func processor(n mesh.NodeUsage) float64 { return n.Processor }
func bytesOf(n mesh.NodeUsage) float64   { return n.Bytes }
func resident(n mesh.NodeUsage) float64  { return n.Resident }

func main() {
	kong.Parse(&flags)
	report.Main(func() {
		p := &page{}
		for _, part := range []struct {
			name string
			run  func(*page)
		}{{"proxy", proxyRole}, {"publisher", publisherRole}, {"roster", rosterRoles}, {"fleet", fleetRoles}} {
			if flags.Only != "" && flags.Only != part.name {
				continue
			}
			at := time.Now()
			part.run(p)
			fmt.Printf("%s measured in %.0f s\n", part.name, time.Since(at).Seconds())
		}
		p.print()
		if flags.Only == "" {
			p.write()
		}
	})
}
