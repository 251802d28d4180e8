package h1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// maxTrailerBytes bounds the trailer section of a response, in bytes.
const maxTrailerBytes = 4 << 10

// framing says where the body of a response ends (RFC 9112, section 6.3).
type framing struct {
	length  int64 // as stated in bytes, or Chunked; 0 if the status permits no body
	chunked bool
	noBody  bool // by the status or the method of the request
}

// framing returns the framing of a response to a request with a method. A length beside a
// coding, and a coding in HTTP/1.0, are ErrMalformedResponse: readers differ in which one they
// follow.
func (h *responseHead) framing(method string) (framing, error) {
	f := framing{length: Chunked}
	lengths, codings := h.header["Content-Length"], h.header["Transfer-Encoding"]
	for _, text := range lengths {
		n, err := strconv.ParseUint(text, 10, 63)
		if err != nil || text != lengths[0] {
			return f, malformed("Content-Length %q", quotable(strings.Join(lengths, ", ")))
		}
		f.length = int64(n)
	}
	switch {
	case len(codings) == 0:
	case len(codings) > 1 || !strings.EqualFold(codings[0], "chunked") || h.minor == 0:
		return f, malformed("Transfer-Encoding %q in HTTP/1.%d", quotable(strings.Join(codings, ", ")), h.minor)
	case len(lengths) > 0:
		return f, malformed("both Content-Length and Transfer-Encoding")
	default:
		f.chunked = true
	}
	switch {
	case h.status < http.StatusOK || h.status == http.StatusNoContent || h.status == http.StatusNotModified:
		f = framing{noBody: true}
	case method == http.MethodHead:
		f.noBody = true
	}
	return f, nil
}

// body returns the body that follows a head in br. out writes to the same connection.
func (f framing) body(br *bufio.Reader, out *connWriter) io.Reader {
	switch {
	case f.noBody || f.length == 0:
		return http.NoBody
	case f.chunked:
		return &chunkedBody{br: br, chunks: httputil.NewChunkedReader(br)}
	case f.length > 0:
		return &sizedBody{br: br, remaining: f.length}
	}
	return &undelimitedBody{br: br, out: out}
}

// delimited reports whether a body ends before its connection does.
func (f framing) delimited() bool { return f.noBody || f.chunked || f.length >= 0 }

// keepsConnection reports whether the server keeps the connection open after the response
// (RFC 9112, section 9.3).
func (h *responseHead) keepsConnection() bool {
	options := h.header["Connection"]
	if httpguts.HeaderValuesContainsToken(options, "close") {
		return false
	}
	return h.minor > 0 || httpguts.HeaderValuesContainsToken(options, "keep-alive")
}

// undelimitedBody is a body that ends with its connection.
type undelimitedBody struct {
	br  *bufio.Reader
	out *connWriter
}

// Read implements io.Reader. It returns io.EOF only if the connection has ended in an
// orderly way, as far as its reads and the writes of the request show.
func (b *undelimitedBody) Read(p []byte) (int, error) {
	n, err := b.br.Read(p)
	if errors.Is(err, io.EOF) {
		if broken := b.out.end(); broken != nil {
			err = fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, broken)
		}
	}
	return n, err
}

// sizedBody is a body of a stated length.
type sizedBody struct {
	br        *bufio.Reader
	remaining int64 // in bytes
}

// Read implements io.Reader. It returns io.EOF together with the last bytes, and
// io.ErrUnexpectedEOF if the connection ends before them.
func (b *sizedBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n, err := b.br.Read(p[:min(int64(len(p)), b.remaining)])
	if b.remaining -= int64(n); b.remaining == 0 {
		return n, io.EOF
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody is a body in chunks. The fields of its trailer are checked and dropped.
type chunkedBody struct {
	br     *bufio.Reader
	chunks io.Reader
	err    error // of the last read
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	var n int
	var broken net.Error
	n, b.err = b.chunks.Read(p)
	switch {
	case b.err == nil, errors.Is(b.err, io.ErrUnexpectedEOF), errors.As(b.err, &broken):
	case errors.Is(b.err, io.EOF):
		r := lineReader{br: b.br, remaining: maxTrailerBytes}
		if err := r.skipFields(); err != nil {
			b.err = err
		}
	default:
		b.err = malformed("chunk: %w", b.err)
	}
	return n, b.err
}
