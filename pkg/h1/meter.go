package h1

import (
	"errors"
	"io"
	"math"
)

// errTooLarge means that a message head exceeds its limit.
var errTooLarge = errors.New("message head exceeds its limit")

// meter fails with errTooLarge once more than left bytes were read. It bounds
// message heads below the buffered reader, so up to one buffer of the next
// bytes counts too.
type meter struct {
	io.Reader
	left int64
}

// Read implements io.Reader.
func (m *meter) Read(b []byte) (int, error) {
	if m.left <= 0 {
		return 0, errTooLarge
	}
	if int64(len(b)) > m.left {
		b = b[:m.left]
	}
	n, err := m.Reader.Read(b)
	if m.left != math.MaxInt64 {
		m.left -= int64(n)
	}
	return n, err
}

func (m *meter) limit(n int64) { m.left = n }

func (m *meter) unlimit() { m.left = math.MaxInt64 }
