package delta

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/ansel1/merry/v2"
)

// MaxText is the largest text in bytes that a delta can produce.
const MaxText = 1 << 20

// ErrMalformed means that an encoded delta or compressed text cannot be
// decoded, or would exceed its size limit.
var ErrMalformed = merry.Sentinel("malformed delta")

// ErrTooLarge means that a text exceeds MaxText.
var ErrTooLarge = merry.Sentinel("text exceeds the size limit of a delta")

// Formats of an encoded delta, in its first byte.
const (
	formatPlain byte = 1 // operations follow as they are
	formatZstd  byte = 2 // operations follow as one zstd frame
)

// Operations are a uvarint length<<1|kind. A copy is followed by the signed
// distance of its start from the end of the last copy, an insert by its bytes.
const (
	opCopy   = 0
	opInsert = 1
)

// maxOps bounds the decompressed operations: an insert of every byte on its
// own takes twice MaxText, and Encode writes far less.
const maxOps = 2*MaxText + binary.MaxVarintLen64

// Digest returns the hexadecimal SHA-256 of text.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Encode returns the changes that turn before into after. Equal lines are
// copied from before, and so are the equal start and end of a changed line.
// It returns ErrTooLarge if a text exceeds MaxText.
func Encode(before, after []byte) ([]byte, error) {
	if len(before) > MaxText || len(after) > MaxText {
		return nil, merry.Wrap(ErrTooLarge, merry.AppendMessagef("%d and %d bytes", len(before), len(after)))
	}
	w := newWriter(before, after)
	w.write()
	packed, err := Compress(w.ops)
	if err != nil {
		return nil, err
	}
	if len(packed) < len(w.ops) {
		return append([]byte{formatZstd}, packed...), nil
	}
	return append([]byte{formatPlain}, w.ops...), nil
}

// Apply returns the text that the encoded delta makes of before. Input that
// Encode did not write gives ErrMalformed or another text, so callers compare
// the digest of the result.
func Apply(before, encoded []byte) ([]byte, error) {
	ops, err := unpack(encoded)
	if err != nil {
		return nil, err
	}
	size, n := binary.Uvarint(ops)
	if n <= 0 || size > MaxText {
		return nil, malformed("result size is missing or exceeds %d bytes", MaxText)
	}
	r := reader{before: before, ops: ops[n:], size: int(size), after: make([]byte, 0, size)}
	for len(r.ops) > 0 {
		if err := r.step(); err != nil {
			return nil, err
		}
	}
	if len(r.after) != r.size {
		return nil, malformed("operations give %d of %d bytes", len(r.after), r.size)
	}
	return r.after, nil
}

func unpack(encoded []byte) ([]byte, error) {
	if len(encoded) == 0 {
		return nil, malformed("empty input")
	}
	switch encoded[0] {
	case formatPlain:
		return encoded[1:], nil
	case formatZstd:
		return Decompress(encoded[1:], maxOps)
	default:
		return nil, malformed("unknown format %d", encoded[0])
	}
}

// reader applies operations.
type reader struct {
	before, ops, after []byte
	size               int   // of the whole result
	position           int64 // in before, after the last copy
}

// step applies one operation.
func (r *reader) step() error {
	head, n := binary.Uvarint(r.ops)
	if n <= 0 {
		return malformed("operation is cut short")
	}
	r.ops = r.ops[n:]
	length := head >> 1
	if length == 0 || length > uint64(r.size-len(r.after)) {
		return malformed("operation of %d bytes at byte %d of %d", length, len(r.after), r.size)
	}
	if head&1 == opInsert {
		return r.insert(int(length))
	}
	return r.copy(int64(length))
}

func (r *reader) insert(length int) error {
	if length > len(r.ops) {
		return malformed("insert of %d bytes has %d", length, len(r.ops))
	}
	r.after = append(r.after, r.ops[:length]...)
	r.ops = r.ops[length:]
	return nil
}

func (r *reader) copy(length int64) error {
	skip, n := binary.Varint(r.ops)
	size := int64(len(r.before))
	if n <= 0 {
		return malformed("start of a copy is missing")
	}
	r.ops = r.ops[n:]
	start := r.position + skip // negative if the sum overflows
	if start < 0 || length > size-start {
		return malformed("copy of %d bytes from byte %d of %d", length, start, size)
	}
	r.position = start + length
	r.after = append(r.after, r.before[start:r.position]...)
	return nil
}

func malformed(format string, args ...any) error {
	return merry.Wrap(ErrMalformed, merry.AppendMessage(fmt.Sprintf(format, args...)), merry.NoCaptureStack())
}
