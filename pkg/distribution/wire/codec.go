package wire

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/klauspost/compress/zstd"

	"github.com/lentilflow/lentilflow/pkg/membership"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// Limits of a message.
const (
	// MaxBody limits a request or answer body, also after decompression.
	// A roster of 2,800 entries takes about 1 MiB.
	MaxBody = 16 << 20
	// MaxFrame limits one stream frame: a whole rules file of 1 MiB in base64,
	// or the entries of a large roster.
	MaxFrame = 16 << 20
	// compressFrom is the body size from which compression pays.
	compressFrom = 1 << 10
)

// Encoding is the Content-Encoding of compressed bodies.
const Encoding = "zstd"

// Errors of the codecs.
var (
	// ErrFrame means that a frame could not be decoded.
	ErrFrame = merry.Sentinel("stream frame is damaged")
	// ErrEntry means that a roster entry is not plausible.
	ErrEntry = merry.Sentinel("roster entry is not valid")
)

var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithLowerEncoderMem(true))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxBody), zstd.WithDecoderLowmem(true))
)

// Marshal encodes a body and reports whether it is compressed.
func Marshal(v any) (body []byte, compressed bool, err error) {
	body, err = json.Marshal(v)
	if err != nil || len(body) < compressFrom {
		return body, false, err
	}
	return encoder.EncodeAll(body, nil), true, nil
}

// Unmarshal decodes a body.
func Unmarshal(body []byte, compressed bool, v any) error {
	if compressed {
		var err error
		if body, err = decoder.DecodeAll(body, nil); err != nil {
			return err
		}
	}
	return json.Unmarshal(body, v)
}

// EncodeFrame returns the frame as one line.
func EncodeFrame(f Frame) ([]byte, error) {
	line, err := json.Marshal(f)
	if err != nil {
		return nil, err
	}
	return append(line, '\n'), nil
}

// Frames reads the frames of a stream.
type Frames struct{ in *bufio.Reader }

// NewFrames returns a reader of frames.
func NewFrames(r io.Reader) *Frames { return &Frames{in: bufio.NewReaderSize(r, 4<<10)} }

// Next returns the next frame and its size. A stream that ends in the middle
// of a frame returns io.ErrUnexpectedEOF, a damaged frame ErrFrame.
func (f *Frames) Next() (Frame, int, error) {
	line, err := f.line()
	if err != nil {
		if errors.Is(err, io.EOF) && len(line) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return Frame{}, len(line), err
	}
	var out Frame
	if err := json.Unmarshal(line, &out); err != nil {
		return Frame{}, len(line), merry.Wrap(ErrFrame, merry.WithCause(err))
	}
	return out, len(line), nil
}

func (f *Frames) line() ([]byte, error) {
	var line []byte
	for {
		part, err := f.in.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > MaxFrame {
			return line, ErrFrame
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// maxClockAhead limits the generation that an entry may claim, so that one
// damaged clock cannot push generations out of reach.
const maxClockAhead = 24 * time.Hour

// CheckEntry reports whether an entry is plausible at time now.
func CheckEntry(e *model.Entry, now time.Time) error {
	switch {
	case e.Node == "" || len(e.Node) > 255:
		return merry.Prependf(ErrEntry, "node id of %d bytes", len(e.Node))
	case e.State > model.Gone:
		return merry.Prependf(ErrEntry, "node %q: state %d", e.Node, e.State)
	case e.Generation > uint64(now.Add(maxClockAhead).UnixMilli()):
		return merry.Prependf(ErrEntry, "node %q: generation %d lies in the future", e.Node, e.Generation)
	case e.Location.AvailabilityZone == "" || e.Location.Region == "":
		return merry.Prependf(ErrEntry, "node %q: no location", e.Node)
	}
	if _, _, err := net.SplitHostPort(e.Address); err != nil {
		return merry.Prependf(ErrEntry, "node %q: address %q", e.Node, e.Address)
	}
	return nil
}

// ValidEntries returns the plausible entries and the number of others.
func ValidEntries(in []model.Entry, now time.Time) (out []model.Entry, invalid int) {
	out = in[:0]
	for i := range in {
		if CheckEntry(&in[i], now) == nil {
			out = append(out, in[i])
		}
	}
	return out, len(in) - len(out)
}

// EncodeDigests returns d as bytes.
func EncodeDigests(d *membership.Digests) []byte {
	out := make([]byte, 0, 4*len(d))
	for _, v := range d {
		out = binary.LittleEndian.AppendUint32(out, v)
	}
	return out
}

// DecodeDigests is the inverse of EncodeDigests.
func DecodeDigests(b []byte) (*membership.Digests, bool) {
	var d membership.Digests
	if len(b) != 4*len(d) {
		return nil, false
	}
	for i := range d {
		d[i] = binary.LittleEndian.Uint32(b[4*i:])
	}
	return &d, true
}
