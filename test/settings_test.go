package test

import (
	"fmt"
	"strings"

	"github.com/lentilflow/lentilflow/pkg/standin/upstream"
)

// settings returns the settings file of n. Nodes of other regions and the
// store of another region are reached through the proxies of the links.
func (c *cluster) settings(n *node) string {
	var regions strings.Builder
	for _, region := range c.d.regions {
		if region != n.zone.region {
			fmt.Fprintf(&regions, "    %s: %s\n", region, c.links.toNode(n, region))
		}
	}
	store := "http://" + c.links.toStore(n.zone.region)
	return fmt.Sprintf(`node: %s
regions: [%s]
region: %s
availability_zone: %s
listeners:
  calls: %s
  peer: %s
  admin: %s
advertise:
  region_addresses:
%supstream:
  service: %s
  address: %s
  slots: %d
  connections: %d
  health_path: %s
platform:
  tables: %s
  objects: %s
seeds: [%s]
`, n.id, strings.Join(c.d.regions, ", "), n.zone.region, n.zone.name,
		n.address(callsPort), n.address(peerPort), n.address(adminPort), regions.String(),
		n.service, n.address(upstreamPort), c.d.slots, c.d.connections, upstream.HealthPath,
		store, store, strings.Join(c.seeds(n), ", "))
}

// seeds returns the peer addresses of one node of every availability zone.
func (c *cluster) seeds(n *node) []string {
	var seeds []string
	for _, other := range c.nodes {
		switch {
		case other.service != c.d.services[0]:
		case other.zone.region == n.zone.region:
			seeds = append(seeds, other.address(peerPort))
		default:
			seeds = append(seeds, c.links.toNode(other, n.zone.region))
		}
	}
	return seeds
}
