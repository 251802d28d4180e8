package wire

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/membership"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// Guards against a frame that is used although its stream ended in the middle
// of it, or although it is damaged.
func TestFrames(t *testing.T) {
	is := is.New(t)
	line, err := EncodeFrame(Frame{Beat: &BeatFrame{Sequence: 7, Version: 2}})
	is.NoErr(err)
	in := NewFrames(strings.NewReader(string(line) + string(line[:len(line)-2])))
	f, n, err := in.Next()
	is.NoErr(err)
	is.Equal(n, len(line))
	is.Equal(f.Beat.Sequence, uint64(7))
	_, _, err = in.Next()
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	_, _, err = NewFrames(strings.NewReader("{\"beat\":7}\n")).Next()
	is.True(errors.Is(err, ErrFrame))
	_, _, err = NewFrames(strings.NewReader("")).Next()
	is.True(errors.Is(err, io.EOF))
}

// Guards against entries that would push generations out of reach or cannot be
// addressed.
func TestCheckEntry(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	good := model.Entry{
		Node: "n", Generation: uint64(now.UnixMilli()), Address: "10.0.0.1:7000",
		Location: model.Location{Region: "serra", AvailabilityZone: "caxias"},
	}
	is.NoErr(CheckEntry(&good, now))
	for _, spoil := range []func(*model.Entry){
		func(e *model.Entry) { e.Node = "" },
		func(e *model.Entry) { e.State = model.Gone + 1 },
		func(e *model.Entry) { e.Generation = 1 << 63 },
		func(e *model.Entry) { e.Address = "nowhere" },
		func(e *model.Entry) { e.Location.AvailabilityZone = "" },
	} {
		e := good
		spoil(&e)
		is.True(errors.Is(CheckEntry(&e, now), ErrEntry))
	}
}

// Guards against bodies and digests that do not survive their codec, and
// against a body that decompresses beyond the limit.
func TestBodies(t *testing.T) {
	is := is.New(t)
	in := JoinAnswer{Node: "n", Entries: make([]model.Entry, 500)}
	body, compressed, err := Marshal(in)
	is.NoErr(err)
	is.True(compressed)
	var out JoinAnswer
	is.NoErr(Unmarshal(body, compressed, &out))
	is.Equal(len(out.Entries), 500)
	bomb := encoder.EncodeAll(make([]byte, MaxBody+1), nil)
	is.True(Unmarshal(bomb, true, &out) != nil)
	var d membership.Digests
	d[3], d[255] = 9, 1<<31
	back, ok := DecodeDigests(EncodeDigests(&d))
	is.True(ok)
	is.Equal(*back, d)
	_, ok = DecodeDigests([]byte{1})
	is.True(!ok)
}
