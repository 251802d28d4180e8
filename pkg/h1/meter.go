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
func (m *limitReader) Read(b []byte) (int, error) {
	if m.remaining <= 0 {
		return 0, errTooLarge
	}
	if int64(len(b)) > m.remaining {
		b = b[:m.remaining]
	}
	n, err := m.Reader.Read(b)
	if m.remaining != math.MaxInt64 {
		m.remaining -= int64(n)
	}
	return n, err
}

func (m *limitReader) setLimit(n int64) { m.remaining = n }

func (m *limitReader) clearLimit() { m.remaining = math.MaxInt64 }
