package crashguard

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
)

// BodyPrefix is how many bytes of a body are part of a fingerprint. It bounds the
// cost of the fingerprint of a call. It must not exceed what a node buffers of a
// request body (maxBufferedBody in pkg/h1, 256 KiB).
const BodyPrefix = 64 << 10

// Fingerprint identifies a request. It is a cryptographic digest, the first half
// of a SHA-256, because a caller that could forge a collision could get the
// requests of another caller refused.
type Fingerprint [16]byte

// String returns the hexadecimal form of f.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error if text
// is not 32 hexadecimal digits.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(f)) {
		return fmt.Errorf("fingerprint has %d digits, want %d", len(text), hex.EncodedLen(len(f)))
	}
	_, err := hex.Decode(f[:], text)
	return err
}

// Request holds the parts of a request from which its fingerprint is computed.
type Request struct {
	Method, Caller string // Caller is the name of the calling service
	Target         string // host, path and query
	Body           []byte // at least the first 64 KiB, or the whole body
}

// FingerprintOf returns the fingerprint of r.
func FingerprintOf(r Request) Fingerprint {
	h := sha256.New()
	for _, s := range [...]string{r.Method, r.Caller, r.Target} {
		_, _ = io.WriteString(h, s)
		_, _ = h.Write([]byte{0}) // separates the fields; no field holds a zero byte
	}
	_, _ = h.Write(r.Body[:min(len(r.Body), BodyPrefix)])
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}
