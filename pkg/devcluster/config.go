package devcluster

import (
	"net"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/settings"
)

// Config describes a development deployment.
type Config struct {
	Deployment      Deployment
	NodesPerService int // 1 to NodesPerService
	FirstPort       int // of the first node
	PlatformPort    int
	Log             *zap.Logger
}

// Node describes one running node.
type Node struct {
	Node     model.NodeID   `json:"node"`
	Service  string         `json:"service"`
	Location model.Location `json:"location"`
	Calls    string         `json:"calls"`
	Admin    string         `json:"admin"`
}

// check refuses counts and ports that do not fit.
func (c *Config) check() error {
	if c.NodesPerService < 1 || c.NodesPerService > NodesPerService {
		return merry.Errorf("nodes per service: %d (accepted: 1 to %d)", c.NodesPerService, NodesPerService)
	}
	last := c.FirstPort + portsPerNode*c.NodesPerService*len(c.Deployment.Services)
	if c.FirstPort < 1024 || last > 65535 {
		return merry.Errorf("first port: %d (accepted: 1024 to %d)", c.FirstPort, 65535-last+c.FirstPort)
	}
	if c.PlatformPort < 1024 || c.PlatformPort > 65535 || c.PlatformPort >= c.FirstPort && c.PlatformPort < last {
		return merry.Errorf("platform port: %d (accepted: 1024 to 65535 without the ports of the nodes, %d to %d)", c.PlatformPort, c.FirstPort, last-1)
	}
	return nil
}

// checkPorts reports the first port that is in use, before anything starts.
func checkPorts(platformPort int, nodes []*settings.Settings) error {
	addresses := []settings.Address{address(platformPort)}
	for _, n := range nodes {
		addresses = append(addresses, n.Listeners.Calls, n.Listeners.Peer, n.Listeners.Admin, n.Upstream.Address)
	}
	for _, a := range addresses {
		l, err := net.Listen("tcp", string(a))
		if err != nil {
			return merry.Errorf("address %s cannot be used, another deployment may be running (choose other ports): %w", a, err)
		}
		l.Close()
	}
	return nil
}
