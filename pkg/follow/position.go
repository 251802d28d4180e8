package follow

import (
	"cmp"

	"go.uber.org/zap/zapcore"
)

// Revision orders the states of the store within one era: a later state has a
// higher revision.
type Revision uint64

// Era counts how often the store was restored from an older copy. A restored
// store gives out revisions again, so revisions of different eras cannot be
// compared.
type Era uint64

// Position identifies a state of the store. The zero value precedes every state.
type Position struct {
	Revision Revision `json:"revision"`
	Era      Era      `json:"era,omitempty"`
}

// At returns the position of a revision in the first era of a store that does not
// state its era.
func At(r Revision) Position { return Position{Revision: r} }

// Compare returns -1, 0 or 1 if p precedes q, equals q or follows q. Each
// position of a later era follows all positions of an earlier one.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// After reports whether p follows q.
func (p Position) After(q Position) bool { return p.Compare(q) > 0 }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (p Position) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddUint64("revision", uint64(p.Revision))
	e.AddUint64("era", uint64(p.Era))
	return nil
}
