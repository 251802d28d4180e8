package fleet

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// Member is a node as described by its row in the store.
type Member struct {
	Node     model.NodeID   `json:"node"`
	Location model.Location `json:"location"`
	Service  string         `json:"service"` // of the upstream on its VM
	// CallAddress is where the node accepts calls of other nodes, host:port.
	CallAddress string `json:"call_address"`
	// MessageAddress is where it accepts messages of other nodes, host:port.
	MessageAddress string `json:"message_address"`
}

// Complete reports whether m has all fields that other nodes need.
func (m *Member) Complete() bool {
	return m.Node != "" && m.Service != "" && m.CallAddress != "" && m.MessageAddress != "" && m.Location.AvailabilityZone != ""
}

// digest identifies the content of m.
func (m *Member) digest() uint64 {
	return xxhash.Sum64String(strings.Join([]string{
		string(m.Node), string(m.Location.Region), string(m.Location.AvailabilityZone), m.Service, m.CallAddress, m.MessageAddress,
	}, "\x00"))
}
