package config

import (
	"slices"
	"sync"
	"sync/atomic"
)

// Holder holds the configuration in force. Its version never decreases within
// the life of a process. It is safe for concurrent use; Current and Version
// take no lock.
type Holder struct {
	current atomic.Pointer[Snapshot]
	mu      sync.Mutex
	recent  []*Configuration // newest versions, oldest first
}

// recentVersions is the number of versions that are kept. A node that has one of
// them can get the newest version as a Change; a node that is further behind gets
// the whole configuration. Each version that is kept can take the memory of a
// whole configuration.
const recentVersions = 8

// NewHolder returns a Holder without a configuration.
func NewHolder() *Holder { return &Holder{} }

// Current returns the configuration in force, or nil if there is none.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Version returns the version in force, or 0 if there is none.
func (h *Holder) Version() Version {
	if s := h.current.Load(); s != nil {
		return s.Version
	}
	return 0
}

// TeamsUnknown reports whether the configuration in force is a copy without its
// teams.
func (h *Holder) TeamsUnknown() bool {
	s := h.current.Load()
	return s != nil && s.TeamsUnknown
}

// replaces reports whether c is newer than the configuration in force, or the
// complete copy of a version that is in force without its teams.
func (h *Holder) replaces(c *Configuration) bool {
	return c.Version > h.Version() || c.Version == h.Version() && h.TeamsUnknown() && !c.TeamsUnknown
}

// Offer puts c in force if it is newer than the configuration in force and has
// no fault. A complete copy also replaces one of the same version without its teams,
// and a copy without its teams does not replace a version that has some. Offer
// reports whether it put c in force; the error is a *Fault. The caller must not
// change c afterwards.
func (h *Holder) Offer(c *Configuration) (bool, error) {
	if !h.replaces(c) {
		return false, nil
	}
	if s := h.Current(); c.TeamsUnknown && s != nil && s.HasTeams() {
		return false, nil
	}
	s, err := Compile(c)
	if err != nil {
		return false, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.replaces(c) {
		return false, nil
	}
	h.current.Store(s)
	h.recent = slices.DeleteFunc(h.recent, func(r *Configuration) bool { return r.Version == c.Version })
	h.recent = append(h.recent, c)
	if len(h.recent) > recentVersions {
		h.recent = h.recent[len(h.recent)-recentVersions:]
	}
	return true, nil
}

// Recent returns the configuration with the given version, or nil if it is not
// among the newest that are kept.
func (h *Holder) Recent(v Version) *Configuration {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.recent {
		if c.Version == v {
			return c
		}
	}
	return nil
}
