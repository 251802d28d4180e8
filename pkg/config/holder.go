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
	changed chan struct{}
}

// NewHolder returns a Holder without a configuration.
func NewHolder() *Holder { return &Holder{changed: make(chan struct{})} }

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
	close(h.changed)
	h.changed = make(chan struct{})
	return true, nil
}

// Changed returns a channel that is closed when the next version is in force.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}
