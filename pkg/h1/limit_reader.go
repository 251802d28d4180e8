package h1

import (
	"errors"
	"io"
	"math"
)

// errTooLarge means that a message head or a request body exceeds its limit.
var errTooLarge = errors.New("message head or request body exceeds its limit")

// limitReader fails with errTooLarge once the remaining bytes were read. It
// bounds message heads below the buffered reader, so up to one buffer of the
// following bytes counts too.
type limitReader struct {
	io.Reader
	remaining int64 // in bytes; math.MaxInt64 means no limit
}

// Read implements io.Reader.
func (r *limitReader) Read(b []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errTooLarge
	}
	if int64(len(b)) > r.remaining {
		b = b[:r.remaining]
	}
	n, err := r.Reader.Read(b)
	if r.remaining != math.MaxInt64 {
		r.remaining -= int64(n)
	}
	return n, err
}

func (r *limitReader) setLimit(n int64) { r.remaining = n }

func (r *limitReader) clearLimit() { r.remaining = math.MaxInt64 }
