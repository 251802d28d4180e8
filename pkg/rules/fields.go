package rules

import (
	"encoding/hex"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// Largest accepted values of fields.
const (
	maxSlots       = 1000    // of one upstream
	maxConnections = 100_000 // to one upstream
	maxWeight      = 1000    // relative to the other rules of the rank
	maxRetries     = 5       // of one call
	maxInFlight    = 100_000 // calls of one rule at one node
	maxRate        = 1e6     // requests per second, and requests of a burst
	// maxDuration is the longest target and deadline. It limits how long a call
	// can occupy a slot.
	maxDuration = 10 * time.Minute
)

var serviceFields = []field[model.Service]{
	{"slots", true, "a whole number from 1 to 1000", func(s *model.Service, v string) bool {
		return number(v, 1, maxSlots, &s.Slots)
	}},
	{"connections", true, "a whole number from 1 to 100000", func(s *model.Service, v string) bool {
		return number(v, 1, maxConnections, &s.Connections)
	}},
}

const acceptedDuration = "whole milliseconds from 1ms to 10m with a unit, for example 50ms, 1.5s or 2m"

var ruleFields = []field[model.Rule]{
	{"method", false, "* or a list without spaces of " + strings.Join(Methods, ","), setMethods},
	{"host", false, "* or a lower-case host name or IP address without port", func(r *model.Rule, v string) bool {
		r.Match.Host = v
		return v == config.AnyHost || validHost(v)
	}},
	{"path", true, "an absolute path such as /status, without trailing slash, escapes, empty or dot segments, and not below /.lentilflow/", func(r *model.Rule, v string) bool {
		r.Match.Path = v
		return validRulePath(v)
	}},
	{"service", true, "a service declared in this file", func(r *model.Rule, v string) bool {
		r.Service = v
		return validName(v)
	}},
	{"rank", true, "a whole number from 0 (most urgent) to 7", setRank},
	{"target", false, acceptedDuration, func(r *model.Rule, v string) bool { return duration(v, &r.LatencyTarget) }},
	{"floor", false, "a whole percentage from 0% to 100%", setFloor},
	{"worth", false, "a whole number from 1 to 1000", func(r *model.Rule, v string) bool { return number(v, 1, maxWeight, &r.Weight) }},
	{"deadline", true, acceptedDuration, func(r *model.Rule, v string) bool { return duration(v, &r.Deadline) }},
	{"idempotent", true, "yes, no", func(r *model.Rule, v string) bool {
		r.Idempotent = v == "yes"
		return v == "yes" || v == "no"
	}},
	{"retries", false, "a whole number from 0 to 5", func(r *model.Rule, v string) bool { return number(v, 0, maxRetries, &r.Retries) }},
	{"inflight", false, "a whole number from 0 (no limit) to 100000", func(r *model.Rule, v string) bool {
		return number(v, 0, maxInFlight, &r.MaxInFlight)
	}},
	{"prefer", false, "zone, region, any", setPrefer},
	{"public", false, "yes, no", func(r *model.Rule, v string) bool {
		r.Public = v == "yes"
		return v == "yes" || v == "no"
	}},
}

// keyField is the only field that a statement may state more than once.
const keyField = "key"

// digestPrefix precedes the digest of a key.
const digestPrefix = "sha256:"

var teamFields = []field[model.Team]{
	{"rank", false, "a whole number from 0 (most urgent) to 7", func(t *model.Team, v string) bool {
		var n int
		ok := number(v, 0, int(model.MaxRank), &n)
		t.Rank = new(model.Rank(n))
		return ok
	}},
	{"rate", false, "a number from 0 (no limit) to 1000000", func(t *model.Team, v string) bool { return decimal(v, maxRate, &t.Rate) }},
	{"burst", false, "a number from 0 to 1000000", func(t *model.Team, v string) bool { return decimal(v, maxRate, &t.Burst) }},
	{keyField, true, "sha256: and 64 hexadecimal digits in lower case, as \"lentilctl teams digest\" prints", func(t *model.Team, v string) bool {
		digits, found := strings.CutPrefix(v, digestPrefix)
		t.Keys = append(t.Keys, digits)
		return found && len(digits) == hex.EncodedLen(len(config.KeyDigest{})) && strings.Trim(digits, "0123456789abcdef") == ""
	}},
}

// decimal parses decimal digits with an optional fraction. It rejects signs, leading
// zeros and exponents.
func decimal(v string, high float64, x *float64) bool {
	whole, fraction, found := strings.Cut(v, ".")
	if whole == "" || len(whole) > 1 && whole[0] == '0' || strings.Trim(whole+fraction, "0123456789") != "" || found && fraction == "" {
		return false
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || f > high {
		return false
	}
	*x = f
	return true
}

// number parses decimal digits. It rejects signs and leading zeros, so that a
// value has only one spelling.
func number(v string, low, high int, n *int) bool {
	if v == "" || len(v) > 1 && v[0] == '0' || strings.Trim(v, "0123456789") != "" {
		return false
	}
	x, err := strconv.Atoi(v)
	if err != nil || x < low || x > high {
		return false
	}
	*n = x
	return true
}

// duration parses a positive duration in whole milliseconds, up to maxDuration.
func duration(v string, d *time.Duration) bool {
	if v == "" || v[0] < '0' || v[0] > '9' {
		return false
	}
	x, err := time.ParseDuration(v)
	if err != nil || x < time.Millisecond || x > maxDuration || x%time.Millisecond != 0 {
		return false
	}
	*d = x
	return true
}

func setMethods(r *model.Rule, v string) bool {
	if v == "*" {
		r.Match.Methods = nil
		return true
	}
	list := strings.Split(v, ",")
	slices.Sort(list)
	for i, m := range list {
		if !slices.Contains(Methods, m) || i > 0 && list[i-1] == m {
			return false
		}
	}
	r.Match.Methods = list
	return true
}

func setRank(r *model.Rule, v string) bool {
	var n int
	ok := number(v, 0, int(model.MaxRank), &n)
	r.Rank = model.Rank(n)
	return ok
}

func setFloor(r *model.Rule, v string) bool {
	digits, found := strings.CutSuffix(v, "%")
	return found && number(digits, 0, 100, &r.Floor)
}

func setPrefer(r *model.Rule, v string) bool {
	r.Prefer = model.Preference(v)
	return slices.Contains([]model.Preference{model.PreferZone, model.PreferRegion, model.PreferAny}, r.Prefer)
}

// validHost accepts host names of RFC 1123 and IP addresses. IPv6 addresses are
// in brackets, as in the Host header.
func validHost(host string) bool {
	if inner, found := strings.CutPrefix(host, "["); found {
		inner, found = strings.CutSuffix(inner, "]")
		a, err := netip.ParseAddr(inner)
		return found && err == nil && a.Is6() && a.String() == inner
	}
	if len(host) > maxHostLength {
		return false
	}
	for label := range strings.SplitSeq(host, ".") {
		if !validName(label) || label[0] == '-' || label[len(label)-1] == '-' {
			return false
		}
	}
	return true
}

// validRulePath reports whether a rule can state a path. ValidPath must accept it,
// and it must have no trailing slash and no character that a URL would escape.
func validRulePath(path string) bool {
	if path != "/" && strings.HasSuffix(path, "/") {
		return false
	}
	for _, c := range []byte(path) {
		if !isLowerAlnum(c) && (c < 'A' || c > 'Z') && !strings.ContainsRune("-._~!$&'()*+,;=:@/", rune(c)) {
			return false
		}
	}
	return ValidPath(path)
}
