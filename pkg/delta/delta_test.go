package delta

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var line = rapid.OneOf(rapid.SampledFrom([]string{"\n", "a\n", "b\n", "rule a rank=1\n", "rule a rank=2\n", "rule b rank=1\n", "tail"}), rapid.String())

// Guards against a delta that does not give the newer text, for edits, moves,
// repeated lines and texts without a last line feed.
func TestApplyGivesEncodedText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := rapid.SliceOfN(line, 0, 30).Draw(t, "before")
		after := append([]string{}, before...)
		for range rapid.IntRange(0, 6).Draw(t, "edits") {
			i := rapid.IntRange(0, len(after)).Draw(t, "at")
			j := rapid.IntRange(i, len(after)).Draw(t, "to")
			after = append(append(append([]string{}, after[:i]...), rapid.SliceOfN(line, 0, 4).Draw(t, "new")...), after[j:]...)
			if rapid.Bool().Draw(t, "rotate") && len(after) > 0 {
				k := rapid.IntRange(0, len(after)-1).Draw(t, "by")
				after = append(append([]string{}, after[k:]...), after[:k]...)
			}
		}
		a, b := []byte(strings.Join(before, "")), []byte(strings.Join(after, ""))
		encoded, err := Encode(a, b)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Apply(a, encoded)
		if err != nil || !bytes.Equal(got, b) {
			t.Fatalf("got %q, %v", got, err)
		}
	})
}

// Guards against panics and oversized results on damaged or made-up deltas.
func TestHostileDeltas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := []byte(strings.Join(rapid.SliceOfN(line, 0, 10).Draw(t, "before"), ""))
		encoded, err := Encode(before, []byte(strings.Join(rapid.SliceOfN(line, 0, 10).Draw(t, "after"), "")))
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 4).Draw(t, "damages") {
			if len(encoded) > 0 {
				encoded[rapid.IntRange(0, len(encoded)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
			}
		}
		encoded = append(encoded[:rapid.IntRange(0, len(encoded)).Draw(t, "cut")], rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "tail")...)
		for _, input := range [][]byte{encoded, append([]byte{formatPlain}, encoded...), append([]byte{formatZstd}, encoded...)} {
			got, err := Apply(before, input)
			if err == nil && len(got) > MaxText || err != nil && !errors.Is(err, ErrMalformed) {
				t.Fatalf("%d bytes, %v", len(got), err)
			}
			if text, err := Decompress(input, 100); err == nil && len(text) > 100 {
				t.Fatalf("decompressed %d bytes", len(text))
			}
		}
	})
}

// Guards against integer overflow and reads outside the texts.
func TestApplyRefuses(t *testing.T) {
	ops := func(numbers ...any) []byte {
		b := []byte{formatPlain}
		for _, n := range numbers {
			switch n := n.(type) {
			case uint64:
				b = binary.AppendUvarint(b, n)
			case int64:
				b = binary.AppendVarint(b, n)
			}
		}
		return b
	}
	const huge, low, high = ^uint64(0), -1 << 63, 1<<63 - 1
	for name, input := range map[string][]byte{
		"empty":               {},
		"unknown format":      {9},
		"huge result":         ops(huge),
		"huge copy":           ops(uint64(4), huge-1, int64(0)),
		"copy before start":   ops(uint64(4), uint64(4<<1), int64(-1)),
		"copy lowest start":   ops(uint64(4), uint64(4<<1), int64(low)),
		"copy highest start":  ops(uint64(4), uint64(4<<1), int64(high)),
		"copy after overflow": ops(uint64(4), uint64(2<<1), int64(0), uint64(2<<1), int64(high)),
		"copy past end":       ops(uint64(4), uint64(4<<1), int64(1)),
		"copy without start":  ops(uint64(4), uint64(4<<1)),
		"empty copy":          ops(uint64(4), uint64(0), int64(0)),
		"huge insert":         ops(uint64(4), huge),
		"insert without text": ops(uint64(4), uint64(4<<1|1)),
		"result too long":     ops(uint64(3), uint64(4<<1), int64(0)),
		"result too short":    ops(uint64(5), uint64(4<<1), int64(0)),
	} {
		_, err := Apply([]byte("abcd"), input)
		if !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against frames that decompress to more than the limit, against
// damage that goes unnoticed, and against texts that do not come back.
func TestDecompressLimit(t *testing.T) {
	is := is.New(t)
	for _, text := range [][]byte{{}, []byte("a"), bytes.Repeat([]byte("a"), unstatedSize-1), bytes.Repeat([]byte("a"), unstatedSize), bytes.Repeat([]byte("rule a\n"), 4*MaxText/7)} {
		packed, err := Compress(text)
		is.NoErr(err)
		got, err := Decompress(packed, len(text))
		is.NoErr(err)
		is.True(bytes.Equal(got, text))
		_, err = Decompress(packed, len(text)-1)
		is.True(errors.Is(err, ErrMalformed))
		_, err = Decompress(append(append([]byte{}, packed...), packed...), len(text))
		is.True(err != nil || len(text) == 0) // a second frame does not fit
		_, err = Decompress(packed[:len(packed)-1], len(text))
		is.True(errors.Is(err, ErrMalformed))
	}
	_, err := Encode(nil, make([]byte, MaxText+1))
	is.True(errors.Is(err, ErrTooLarge))
	is.Equal(Digest(nil), "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855")
}

// Guards against quadratic time: the bound on the work is the number of runs,
// which cannot exceed the number of lines.
func TestCommonLinesOfRepeatedLines(t *testing.T) {
	is := is.New(t)
	a := SplitLines([]byte("x\n" + strings.Repeat("\n", 200_000) + "y\n"))
	b := SplitLines([]byte("z\n" + strings.Repeat("\nq\n", 100_000) + "w\n"))
	is.True(len(CommonLines(a, b)) <= len(b))
}

// Guards against memory of many times the text for files of very short lines,
// and against a wrong text from the encoding as one line.
func TestEncodeOfManyLines(t *testing.T) {
	is := is.New(t)
	before := bytes.Repeat([]byte("\n"), MaxText)
	after := append(append([]byte("a\n"), before[:MaxText/2]...), 'b')
	var encoded []byte
	var err error
	is.True(allocated(func() { encoded, err = Encode(before, after) }) < 8<<20)
	is.NoErr(err)
	got, err := Apply(before, encoded)
	is.NoErr(err)
	is.True(bytes.Equal(got, after))
}

// Guards against a small delta that makes the receiver copy the text over and
// over before the size of the result is compared.
func TestApplyBoundsCopies(t *testing.T) {
	is := is.New(t)
	before := make([]byte, MaxText)
	whole := func(skip int64) []byte { return binary.AppendVarint(binary.AppendUvarint(nil, MaxText<<1), skip) }
	input := append([]byte{formatPlain, 4}, whole(0)...)
	input = append(input, bytes.Repeat(whole(-MaxText), 100)...)
	var err error
	is.True(allocated(func() { _, err = Apply(before, input) }) < MaxText)
	is.True(errors.Is(err, ErrMalformed))
}

// allocated returns the bytes that f allocates.
func allocated(f func()) uint64 {
	var start, end runtime.MemStats
	runtime.ReadMemStats(&start)
	f()
	runtime.ReadMemStats(&end)
	return end.TotalAlloc - start.TotalAlloc
}

func rulesText(count, changed int) []byte {
	var b bytes.Buffer
	for i := range count {
		deadline := 400 + i%7*100
		if i == changed {
			deadline = 450
		}
		fmt.Fprintf(&b, "rule r%d method=GET host=h%d.example path=/v1/t%d service=s%d rank=%d target=50ms floor=10%% deadline=%dms idempotent=yes retries=2 # Marina Costa: reason %d\n", i, i%20, i, i%140, i%8, deadline, i*7919%1000)
	}
	return b.Bytes()
}

func BenchmarkOneChangedLine(b *testing.B) {
	for _, count := range []int{1000, 5000} {
		before, after := rulesText(count, -1), rulesText(count, count/2)
		encoded, err := Encode(before, after)
		if err != nil {
			b.Fatal(err)
		}
		run := func(name string, size int, f func() error) {
			b.Run(fmt.Sprintf("%s/rules=%d", name, count), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if err := f(); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(size), "encoded-bytes")
				b.ReportMetric(float64(len(after)), "text-bytes")
			})
		}
		full, _ := Compress(after)
		run("Encode", len(encoded), func() error { _, err := Encode(before, after); return err })
		run("Apply", len(encoded), func() error { _, err := Apply(before, encoded); return err })
		run("Compress", len(full), func() error { _, err := Compress(after); return err })
		run("Decompress", len(full), func() error { _, err := Decompress(full, MaxText); return err })
	}
}
