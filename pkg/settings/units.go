package settings

import (
	"errors"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Address is an IP number with a port, for example "10.0.0.5:7401". Names are
// not accepted because nodes use no name service.
type Address string

// URL is an absolute http or https URL.
type URL string

// Duration is a length of time that is written with its unit, for example
// "500ms".
type Duration time.Duration

// Ratio is a number from 0 to 1, for example 0.2.
type Ratio float64

// Size is a number of bytes that is written with its unit, for example "8MiB".
type Size int64

// What the unit types accept, as stated in errors and in docs/settings.md.
const (
	acceptedAddress  = "IP number and port 1 to 65535, such as 10.0.0.5:7401"
	acceptedURL      = "http or https URL with host, such as http://10.0.0.9:7300"
	acceptedDuration = "number with unit ms, s or m, such as 500ms"
	acceptedSize     = "whole number with unit B, KiB, MiB or GiB, such as 64KiB"
	acceptedRatio    = "number from 0 to 1, such as 0.2"
	acceptedName     = "lower-case letters, digits, '-', '_' and '.', at most 63 characters"
	acceptedPath     = "path that starts with '/'"
)

var (
	namePattern     = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	durationPattern = regexp.MustCompile(`^[0-9]+(\.[0-9]+)?(ms|s|m)$`)
	sizePattern     = regexp.MustCompile(`^([0-9]+)(B|KiB|MiB|GiB)$`)
	sizeUnits       = map[string]int64{"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
)

func parseAddress(text string) (Address, error) {
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 {
		return "", errors.New("malformed address")
	}
	return Address(text), nil
}

func parseURL(text string) (URL, error) {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return "", errors.New("malformed URL")
	}
	return URL(strings.TrimSuffix(text, "/")), nil
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

func parseSize(text string) (Size, error) {
	parts := sizePattern.FindStringSubmatch(text)
	if parts == nil {
		return 0, errors.New("malformed size or wrong unit")
	}
	n, err := strconv.ParseInt(parts[1], 10, 64)
	unit := sizeUnits[parts[2]]
	if err != nil || n > (1<<62)/unit {
		return 0, errors.New("size out of range")
	}
	return Size(n * unit), nil
}
