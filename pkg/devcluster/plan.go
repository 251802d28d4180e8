package devcluster

import (
	"fmt"
	"net"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/settings"
	"github.com/lentilflow/lentilflow/pkg/standin/upstream"
)

// Default ports of a development deployment on loopback.
const (
	DefaultPlatformPort = 7390
	DefaultFirstPort    = 7400 // of the first node; each node takes the next portsPerNode
	portsPerNode        = 10
)

// Offsets of a node's ports.
const (
	callsPort = iota
	peerPort
	adminPort
	upstreamPort
)

const loopback = "127.0.0.1"

// drainAnnounce is short because a development deployment stops as a whole.
const drainAnnounce = 300 * time.Millisecond

// plan returns the settings of every node. The first upstream of each service
// is in the first zone, the second one in the second zone, and so on.
func (c *Config) plan() []*settings.Settings {
	var nodes []*settings.Settings
	for i := range c.NodesPerService {
		for _, service := range c.Deployment.Services {
			zone := c.Deployment.Zones[i%len(c.Deployment.Zones)]
			base := c.FirstPort + portsPerNode*len(nodes)
			nodes = append(nodes, c.settings(zone, service, base))
		}
	}
	for _, n := range nodes {
		n.Seeds = []settings.Address{nodes[0].Listeners.Peer}
	}
	return nodes
}

func (c *Config) settings(zone model.Location, service string, base int) *settings.Settings {
	s := settings.Default()
	s.Node = fmt.Sprintf("%s-%s", zone.AvailabilityZone, service)
	s.Regions = c.Deployment.Regions()
	s.Region = string(zone.Region)
	s.AvailabilityZone = string(zone.AvailabilityZone)
	s.Listeners = settings.Listeners{
		Calls: address(base + callsPort),
		Peer:  address(base + peerPort),
		Admin: address(base + adminPort),
	}
	s.Upstream.Service = service
	s.Upstream.Address = address(base + upstreamPort)
	s.Upstream.HealthPath = upstream.HealthPath
	s.Upstream.Slots = c.Deployment.Slots
	s.Upstream.Connections = c.Deployment.Connections
	s.Drain.Announce = settings.Duration(drainAnnounce)
	return &s
}

func address(port int) settings.Address {
	return settings.Address(net.JoinHostPort(loopback, fmt.Sprint(port)))
}
