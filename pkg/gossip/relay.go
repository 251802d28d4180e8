package gossip

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/text"
)

// pathConfiguration takes a whole configuration, as compressed JSON.
const pathConfiguration = "/v1/configuration"

// neighbours returns the other nodes of the availability zone that can be
// reached.
func (n *Node) neighbours() []fleet.Member {
	reachable, _ := n.split()
	return in(reachable, func(l model.Location) bool { return l.AvailabilityZone == n.Self.Location.AvailabilityZone })
}

// Reads reports whether this node reads the configuration from the store for
// its availability zone: the first one by name that can be reached does. Nodes
// may disagree for a while; then several read, or none and each for itself.
func (n *Node) Reads() bool {
	for _, m := range n.neighbours() {
		if m.Node < n.Self.Node {
			return false
		}
	}
	return true
}

// Spread sends the configuration in force to the other nodes of the
// availability zone. Those that it does not reach read the store.
func (n *Node) Spread() {
	s := n.Config.Current()
	if s == nil {
		return
	}
	body, err := packConfiguration(s.Configuration)
	if err != nil {
		n.Log.Error("configuration cannot be sent to other nodes", zap.Uint64("version", uint64(s.Version)), zap.Error(err))
		return
	}
	each(n.neighbours(), func(m fleet.Member) {
		if err := n.postBytes(context.Background(), m, pathConfiguration, body, nil); err != nil {
			n.Log.Debug("node did not take a configuration", zap.String("to", string(m.Node)), zap.Error(err))
		}
	})
}

func packConfiguration(c *config.Configuration) ([]byte, error) {
	plain, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	if len(plain) > maxMessage {
		return nil, fmt.Errorf("configuration has %d bytes, at most %d are sent", len(plain), maxMessage)
	}
	return text.Compress(plain)
}

func unpackConfiguration(body io.Reader) (*config.Configuration, error) {
	packed, err := io.ReadAll(io.LimitReader(body, maxMessage))
	if err != nil {
		return nil, err
	}
	c := &config.Configuration{}
	return c, unpack(packed, c)
}

func (n *Node) handleConfiguration(c echo.Context) error {
	cfg, err := unpackConfiguration(c.Request().Body)
	if err != nil {
		n.Log.Warn("configuration of another node cannot be used", zap.String("remote", c.RealIP()), zap.Error(err))
		return c.NoContent(http.StatusBadRequest)
	}
	n.takeConfiguration(cfg, c.RealIP())
	return c.NoContent(http.StatusNoContent)
}

// takeConfiguration puts a configuration of another node in force if it is newer.
func (n *Node) takeConfiguration(c *config.Configuration, from string) {
	taken, err := n.Config.Offer(c)
	if err != nil {
		n.Log.Error("configuration of another node is refused", zap.String("from", from), zap.Error(err))
	}
	if taken {
		n.OnConfig(c.Version, from)
	}
}
