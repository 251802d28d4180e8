package h1

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
)

// Special values of the length of a message body.
const (
	// Chunked means that the length is unknown; the body is sent in chunks.
	Chunked = -1
)

// copyBufferSize is the size of the buffer that copies one streamed body, in
// bytes.
const copyBufferSize = 16 << 10

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferSize); return &b }}

// hopByHopFields apply to one connection only (RFC 9110, section 7.6.1).
// Content-Length is included, because it is written from the body length.
var hopByHopFields = [...]string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// RemoveHopByHopFields removes the header fields that apply to one connection
// only, including those that the Connection field lists. It also removes
// Content-Length, which is written from the length of the body.
func RemoveHopByHopFields(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHopFields {
		delete(h, name)
	}
}

// errShortBody means that a body ended before its stated length.
var errShortBody = errors.New("body ended before its stated length")

// writeBody sends buffered and then rest until io.EOF; rest may be nil. With a
// length other than Chunked it sends exactly that many bytes or fails.
func writeBody(w *bufio.Writer, buffered []byte, rest io.Reader, length int64) error {
	if length == Chunked {
		return writeChunks(w, buffered, rest)
	}
	if int64(len(buffered)) > length || rest == nil && int64(len(buffered)) < length {
		return errShortBody
	}
	if _, err := w.Write(buffered); err != nil {
		return err
	}
	if rest == nil {
		return nil
	}
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	n, err := io.CopyBuffer(struct{ io.Writer }{flushWriter{w}}, struct{ io.Reader }{io.LimitReader(rest, length-int64(len(buffered)))}, *buf)
	if err == nil && n < length-int64(len(buffered)) {
		err = errShortBody
	}
	return err
}

func writeChunks(w *bufio.Writer, buffered []byte, rest io.Reader) error {
	if err := writeChunk(w, buffered); err != nil {
		return err
	}
	if rest != nil {
		buf := copyBuffers.Get().(*[]byte)
		defer copyBuffers.Put(buf)
		if _, err := io.CopyBuffer(chunkWriter{w}, struct{ io.Reader }{rest}, *buf); err != nil {
			return err
		}
	}
	_, err := w.WriteString("0\r\n\r\n")
	return err
}

func writeChunk(w *bufio.Writer, b []byte) error {
	if len(b) == 0 {
		return nil // an empty chunk would end the body
	}
	var size [16]byte
	if _, err := w.Write(append(strconv.AppendInt(size[:0], int64(len(b)), 16), "\r\n"...)); err != nil {
		return err
	}
	if _, err := w.Write(b); err != nil {
		return err
	}
	_, err := w.WriteString("\r\n")
	return err
}

// flushWriter flushes after each write, so that each part of a streamed body is
// sent as soon as it arrives.
type flushWriter struct{ w *bufio.Writer }

// Write implements io.Writer.
func (f flushWriter) Write(b []byte) (int, error) {
	n, err := f.w.Write(b)
	if err == nil {
		err = f.w.Flush()
	}
	return n, err
}

// chunkWriter sends each write as one chunk and flushes.
type chunkWriter struct{ w *bufio.Writer }

// Write implements io.Writer.
func (c chunkWriter) Write(b []byte) (int, error) {
	if err := writeChunk(c.w, b); err != nil {
		return 0, err
	}
	return len(b), c.w.Flush()
}
