package platform

import (
	"context"

	"github.com/ansel1/merry/v2"
)

// Errors of the platform services. Callers test them with errors.Is.
var (
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = merry.Sentinel("not found in the platform store")
	// ErrConflict means that a precondition failed and nothing was written.
	ErrConflict = merry.Sentinel("precondition failed in the platform store")
	// ErrUnavailable means that the request took no effect: the service could
	// not be reached or refused it.
	ErrUnavailable = merry.Sentinel("platform store unavailable")
	// ErrOutcomeUnknown means that a write may have taken effect although no
	// answer arrived.
	ErrOutcomeUnknown = merry.Sentinel("outcome of the platform write is unknown")
)

// Row is one row of the table service. Revision grows with every write of the
// row; 0 stands for an absent row.
type Row struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Value    []byte `json:"value"`
}

// Check is a precondition of a transaction: the row has this revision, 0 for
// an absent row.
type Check struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Put writes one row in a transaction.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Transaction writes all its rows if every check holds, and nothing otherwise.
type Transaction struct {
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// Table is the transactional table service.
type Table interface {
	// Get returns a row, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows whose keys start with prefix and sort
	// after the key after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit runs t and returns the rows written by its puts, in order. It
	// returns ErrConflict, ErrUnavailable or ErrOutcomeUnknown.
	Commit(ctx context.Context, t Transaction) ([]Row, error)
}

// Object is one stored object.
type Object struct {
	Key  string
	ETag string
	Body []byte
}

// Objects is the object store.
type Objects interface {
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Head returns the entity tag of the object, or ErrNotFound.
	Head(ctx context.Context, key string) (string, error)
	// Put writes the object and returns its new entity tag. With a non-empty
	// ifMatch the write takes place only if the stored tag equals it; the
	// value "none" demands that the object does not exist. A failed condition
	// returns ErrConflict.
	Put(ctx context.Context, key string, body []byte, ifMatch string) (string, error)
}

// IfAbsent is the ifMatch value for a Put that must create the object.
const IfAbsent = "none"
