package config

import (
	"sync"
	"sync/atomic"
)

// Holder keeps the configuration in force. Versions only rise within the life
// of a process. Reads take no lock.
type Holder struct {
	current atomic.Pointer[Snapshot]
	mu      sync.Mutex
	recent  []*Configuration // the newest ones, in order
}

// recentVersions is how many versions are kept for other nodes that have one
// of them and lack the newest.
const recentVersions = 8

// NewHolder returns a Holder without a configuration.
func NewHolder() *Holder { return &Holder{} }

// Current returns the configuration in force, or nil.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Version returns the version in force, or 0.
func (h *Holder) Version() Version {
	if s := h.current.Load(); s != nil {
		return s.Version
	}
	return 0
}

// Offer puts c in force if it is newer and has no fault; the error is a
// *Fault. It reports whether c is in force now.
func (h *Holder) Offer(c *Configuration) (bool, error) {
	if c.Version <= h.Version() {
		return false, nil
	}
	s, err := Compile(c)
	if err != nil {
		return false, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.Version <= h.Version() {
		return false, nil
	}
	h.current.Store(s)
	h.recent = append(h.recent, c)
	if len(h.recent) > recentVersions {
		h.recent = h.recent[len(h.recent)-recentVersions:]
	}
	return true, nil
}

// Recent returns one of the newest configurations by its version, or nil.
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
