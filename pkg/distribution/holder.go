package distribution

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/pkg/delta"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/routing"
	"github.com/lentilflow/lentilflow/pkg/rules"
)

// Errors of Holder.Apply. Nothing is applied when one is returned.
var (
	// ErrOlder means that a version with this number or a higher one is in force.
	ErrOlder = merry.Sentinel("version is not newer than the one in force")
	// ErrFork means that another text with the same number is in force.
	ErrFork = merry.Sentinel("another text is in force under the same number")
	// ErrDigest means that the text is damaged.
	ErrDigest = merry.Sentinel("text does not have the digest of its version")
	// ErrRefused means that the text did not pass the check.
	ErrRefused = merry.Sentinel("text does not pass the check")
)

// Active is the version in force. It is immutable.
type Active struct {
	Info     model.VersionInfo
	Text     []byte
	File     *rules.File
	Snapshot *routing.Snapshot
}

// Holder holds the version in force in this process. It is safe for concurrent
// use; Active is one atomic load.
type Holder struct {
	active atomic.Pointer[Active]

	mu      sync.Mutex // one Apply at a time; guards changed
	changed chan struct{}
}

// NewHolder returns a Holder without a version.
func NewHolder() *Holder { return &Holder{changed: make(chan struct{})} }

// Active returns the version in force, nil before the first one.
func (h *Holder) Active() *Active { return h.active.Load() }

// Changed returns a channel that is closed at the next swap.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Apply checks the whole version and brings it into force with one atomic
// swap. The version in force again is no error. Lower numbers return ErrOlder.
func (h *Holder) Apply(v model.VersionedText) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if same, err := h.order(v.Info); same || err != nil {
		return err
	}
	next, err := build(v)
	if err != nil {
		return merry.Prependf(err, "version %d", v.Info.Number)
	}
	h.active.Store(next)
	close(h.changed)
	h.changed = make(chan struct{})
	return nil
}

// order compares a version with the one in force.
func (h *Holder) order(info model.VersionInfo) (same bool, err error) {
	var held model.VersionInfo
	if a := h.active.Load(); a != nil {
		held = a.Info
	}
	switch {
	case info.Number > held.Number:
		return false, nil
	case info.Number < held.Number || info.Number == 0:
		return false, merry.Prependf(ErrOlder, "version %d after %d", info.Number, held.Number)
	case info.Digest != held.Digest:
		return false, merry.Prependf(ErrFork, "version %d", info.Number)
	default:
		return true, nil
	}
}

// build makes a complete Active or none.
func build(v model.VersionedText) (*Active, error) {
	if delta.Digest(v.Text) != v.Info.Digest {
		return nil, ErrDigest
	}
	file, faults := rules.Parse(fmt.Sprintf("version %d", v.Info.Number), v.Text)
	if len(faults) > 0 {
		lines := make([]string, 0, len(faults))
		for _, f := range faults {
			lines = append(lines, f.String())
		}
		return nil, merry.Prepend(ErrRefused, strings.Join(lines, "; "))
	}
	snapshot, err := routing.Compile(v.Info, file)
	if err != nil {
		return nil, merry.Prepend(ErrRefused, err.Error())
	}
	return &Active{Info: v.Info, Text: v.Text, File: file, Snapshot: snapshot}, nil
}
