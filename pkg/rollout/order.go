package rollout

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/lentilflow/lentilflow/pkg/follow"
)

// Order is a request of the operator to move the traffic of a service to upstreams of
// another software version.
type Order struct {
	Service string
	To      string        // software version
	Within  time.Duration // from the order to its time limit
	// At is the position of the row of the order in the store.
	At follow.Position
}

const (
	// maxNameBytes bounds the names of services and software versions, in bytes.
	maxNameBytes = 200
	// maxDuration bounds the time of an order.
	maxDuration = 24 * time.Hour
)

// Errors of orders and states.
var (
	ErrNoService  = errors.New("names no service")
	ErrNoVersion  = errors.New("names no software version")
	ErrNoDuration = errors.New("has no duration above 0 and up to 24h")
	errName       = fmt.Errorf("has a name with more than %d bytes or a control character", maxNameBytes)
	errPhase      = errors.New("has an unknown phase")
	errShare      = errors.New("has a share outside of 0 to 1")
	errNodes      = errors.New("has too many nodes")
	errAge        = errors.New("has a negative time")
)

// Check returns an error if an order cannot be carried out by any deployment.
func (o *Order) Check() error {
	switch {
	case o.Service == "":
		return ErrNoService
	case o.To == "":
		return ErrNoVersion
	case o.Within <= 0 || o.Within > maxDuration:
		return ErrNoDuration
	}
	return errors.Join(checkName(o.Service), checkName(o.To))
}

func checkName(name string) error {
	if len(name) > maxNameBytes || strings.ContainsFunc(name, unicode.IsControl) || !utf8.ValidString(name) {
		return errName
	}
	return nil
}

// Key identifies an order in the attempts that it allows.
func (o *Order) Key() string { return strconv.FormatUint(uint64(o.At.Revision), 10) }

// same reports whether o and p are the same order. A store that was restored may have
// given the row another revision, so there the content decides.
func (o *Order) same(p *Order) bool {
	return o.Service == p.Service && o.To == p.To && o.Within == p.Within && (o.At == p.At || o.At.Era != p.At.Era)
}
