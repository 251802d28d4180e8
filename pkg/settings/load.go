package settings

import (
	"errors"
	"io/fs"
	"os"
	"reflect"

	"github.com/ansel1/merry/v2"
)

// Load reads and checks the settings file at path. It returns a
// *ValidationError if the file is invalid, and another error if it cannot be
// read.
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

// Parse checks text as the content of a settings file. name is the file name
// for errors. Every error that it returns is a *ValidationError.
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

// checkDistinct returns an error if two listeners, or a listener and the
// upstream, have the same address.
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

// Default returns settings in which every field has its default. Fields without
// a default are empty.
func Default() Settings {
	var s Settings
	(&decoder{}).setDefaults(reflect.ValueOf(&s).Elem())
	return s
}
