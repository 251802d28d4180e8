package settings

import (
	"errors"
	"io/fs"
	"maps"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Load reads and checks the settings file at path. The error is a *Fault when
// the file could be read but is not acceptable.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, merry.Errorf("settings file %s does not exist", path)
	}
	if err != nil {
		return nil, merry.Prependf(err, "read settings file")
	}
	return Parse(path, text)
}

// Parse checks text as the settings file called name.
func Parse(name string, text []byte) (*Settings, error) {
	d := &decoder{file: name, lines: make(map[string]int)}
	root, fault := d.parse(text)
	if fault != nil {
		return nil, fault
	}
	var s Settings
	if fault := d.value(root, "", reflect.ValueOf(&s).Elem(), ""); fault != nil {
		return nil, fault
	}
	for _, check := range []func(*Settings) *Fault{d.checkRegion, d.checkOverrides, d.checkAdvertised, d.checkDistinct} {
		if fault := check(&s); fault != nil {
			return nil, fault
		}
	}
	return &s, nil
}

func (d *decoder) checkRegion(s *Settings) *Fault {
	if !slices.Contains(s.Regions, s.Region) {
		return d.fault(d.lines["region"], "region", "unknown region \""+s.Region+"\"", strings.Join(s.Regions, ", "))
	}
	return nil
}

func (d *decoder) checkOverrides(s *Settings) *Fault {
	others := slices.DeleteFunc(slices.Clone(s.Regions), func(r string) bool { return r == s.Region })
	for _, region := range slices.Sorted(maps.Keys(s.Advertise.RegionAddresses)) {
		if !slices.Contains(others, region) {
			field := "advertise.region_addresses." + region
			return d.fault(d.lines[field], field, "unknown region or the node's own", strings.Join(others, ", "))
		}
	}
	return nil
}

// checkAdvertised refuses an advertised address that other processes cannot
// use because it is unspecified (0.0.0.0 or ::).
func (d *decoder) checkAdvertised(s *Settings) *Fault {
	for _, a := range []struct {
		name                 string
		advertised, listener Address
	}{
		{"calls", s.Advertise.Calls, s.Listeners.Calls},
		{"peer", s.Advertise.Peer, s.Listeners.Peer},
		{"admin", s.Advertise.Admin, s.Listeners.Admin},
	} {
		address := netip.MustParseAddrPort(or(a.advertised, a.listener))
		if address.Addr().IsUnspecified() {
			field := "advertise." + a.name
			line := max(d.lines[field], d.lines["listeners."+a.name])
			return d.fault(line, field, "must be stated because the listener has no single address", acceptedAddress)
		}
	}
	return nil
}

func (d *decoder) checkDistinct(s *Settings) *Fault {
	seen := make(map[Address]string)
	for _, l := range []struct {
		name    string
		address Address
	}{
		{"listeners.calls", s.Listeners.Calls},
		{"listeners.peer", s.Listeners.Peer},
		{"listeners.admin", s.Listeners.Admin},
		{"upstream.address", s.Upstream.Address},
	} {
		if other, ok := seen[l.address]; ok {
			return d.fault(d.lines[l.name], l.name, "same address as "+other, "an address of its own")
		}
		seen[l.address] = l.name
	}
	return nil
}

// LoadNode reads and checks the settings file of a node on the users'
// platform. The error is a *Fault when the file could be read but is not
// acceptable.
func LoadNode(path string) (*Node, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Prependf(err, "read settings file")
	}
	return ParseNode(path, text)
}

// ParseNode checks text as the settings file called name.
func ParseNode(name string, text []byte) (*Node, error) {
	d := &decoder{file: name, lines: make(map[string]int)}
	root, fault := d.parse(text)
	if fault != nil {
		return nil, fault
	}
	var n Node
	if fault := d.value(root, "", reflect.ValueOf(&n).Elem(), ""); fault != nil {
		return nil, fault
	}
	seen := map[Address]string{n.Upstream.Address: "upstream.address"}
	for _, l := range n.Listeners.all() {
		if other, ok := seen[l.address]; ok {
			field := "listeners." + l.name
			return nil, d.fault(d.lines[field], field, "same address as "+other, "an address of its own")
		}
		seen[l.address] = "listeners." + l.name
	}
	return &n, nil
}

// Default returns settings that hold the defaults only. Required fields are
// empty.
func Default() Settings {
	var s Settings
	(&decoder{}).defaults(reflect.ValueOf(&s).Elem())
	return s
}
