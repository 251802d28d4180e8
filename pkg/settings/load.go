package settings

import (
	"errors"
	"io/fs"
	"os"
	"reflect"

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
	if fault := d.decodeValue(root, "", reflect.ValueOf(&s).Elem(), ""); fault != nil {
		return nil, fault
	}
	if fault := d.checkDistinct(&s); fault != nil {
		return nil, fault
	}
	return &s, nil
}

func (d *decoder) checkDistinct(s *Settings) *ValidationError {
	seen := map[Address]string{s.Upstream.Address: "upstream.address"}
	for _, l := range s.Listeners.all() {
		field := "listeners." + l.name
		if other, ok := seen[l.address]; ok {
			return d.errorAt(d.lines[field], field, "same address as "+other, "an address of its own")
		}
		seen[l.address] = field
	}
	return nil
}

// Default returns settings that hold the defaults only. Required fields are
// empty.
func Default() Settings {
	var s Settings
	(&decoder{}).setDefaults(reflect.ValueOf(&s).Elem())
	return s
}
