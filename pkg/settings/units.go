package settings

import (
	"errors"
	"net/netip"
	"regexp"
	"time"
)

// Address is an IP address with a port, for example "10.0.0.5:7401". Host names
// are not accepted because nodes use no name service.
type Address string

// Duration is a length of time that is written with its unit, for example
// "500ms".
type Duration time.Duration

// Ratio is a number from 0 to 1, for example 0.2.
type Ratio float64

// MegabitsPerSecond is a bandwidth in Mbit/s, for example 11.5.
type MegabitsPerSecond float64

// maxMegabits is the largest accepted bandwidth, in Mbit/s.
const maxMegabits = 1e6

// Descriptions of the accepted values of each type, for errors and
// docs/settings.md.
const (
	acceptedAddress  = "IP number and port 1 to 65535, such as 10.0.0.5:7401"
	acceptedDuration = "number with unit ms, s or m, such as 500ms"
	acceptedRatio    = "number from 0 to 1, such as 0.2"
	acceptedMegabits = "number of Mbit/s from 0 to 1000000, such as 11.5"
	acceptedName     = "lower-case letters, digits, '-', '_' and '.', at most 63 characters"
	acceptedPath     = "path that starts with '/'"
)

var (
	namePattern     = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	durationPattern = regexp.MustCompile(`^[0-9]+(\.[0-9]+)?(ms|s|m)$`)
)

func parseAddress(text string) (Address, error) {
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 {
		return "", errors.New("malformed address")
	}
	return Address(text), nil
}

func parseDuration(text string) (Duration, error) {
	if !durationPattern.MatchString(text) {
		return 0, errors.New("malformed duration or wrong unit")
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, errors.New("duration out of range")
	}
	return Duration(d), nil
}
