package fleet

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"unicode"
	"unicode/utf8"

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

// MaxNameBytes bounds the names in a Member, in bytes. The key of a row has at most as
// many.
const MaxNameBytes = 200

// Check returns an error if a field that other nodes need is missing or cannot be
// used. Rows and messages may come from other writers.
func (m *Member) Check() error {
	for field, name := range map[string]string{
		"node": string(m.Node), "service": m.Service, "availability_zone": string(m.Location.AvailabilityZone),
	} {
		if name == "" {
			return fmt.Errorf("%s is missing", field)
		}
		if err := checkName(name); err != nil {
			return fmt.Errorf("%s: %w", field, err)
		}
	}
	if err := checkName(string(m.Location.Region)); err != nil {
		return fmt.Errorf("region: %w", err)
	}
	for field, address := range map[string]string{"call_address": m.CallAddress, "message_address": m.MessageAddress} {
		if err := checkAddress(address); err != nil {
			return fmt.Errorf("%s: %w", field, err)
		}
	}
	return nil
}

var (
	errName    = fmt.Errorf("has more than %d bytes or a control character", MaxNameBytes)
	errAddress = errors.New("is not the IP address of a host with a port from 1 to 65535")
)

func checkName(name string) error {
	if len(name) > MaxNameBytes || strings.ContainsFunc(name, unicode.IsControl) || !utf8.ValidString(name) {
		return errName
	}
	return nil
}

func checkAddress(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		return errAddress
	}
	return nil
}

// digest identifies the content of m.
func (m *Member) digest() uint64 {
	return xxhash.Sum64String(strings.Join([]string{
		string(m.Node), string(m.Location.Region), string(m.Location.AvailabilityZone), m.Service, m.CallAddress, m.MessageAddress,
	}, "\x00"))
}
