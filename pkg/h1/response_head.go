package h1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformedResponse means that the bytes of a server are no response by RFC 9110 and
// RFC 9112. Nothing that they state holds, also not that the request has not run, and the
// connection cannot be used again.
var ErrMalformedResponse = errors.New("malformed response")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrMalformedResponse}, args...)...)
}

// maxQuotedBytes bounds how much of a line an error quotes, in bytes.
const maxQuotedBytes = 60

// quotable returns the start of a text for an error.
func quotable(text string) string { return text[:min(len(text), maxQuotedBytes)] }

// responseHead is the head of a response.
type responseHead struct {
	minor  int // of the version HTTP/1
	status int
	header http.Header // with canonical names
}

// readResponseHead reads the head of a response. Unlike http.ReadResponse, it accepts only
// what RFC 9112, sections 2.2, 4 and 5, and RFC 9110, sections 5.1, 5.5 and 15, permit a
// server to send: what one reader skips or repairs, the next one may understand
// otherwise. It returns ErrMalformedResponse, errSplicedResponse, errTooLarge if the head
// exceeds maxResponseHeaderBytes, or the error of br.
func readResponseHead(br *bufio.Reader) (*responseHead, error) {
	r := lineReader{br: br, remaining: maxResponseHeaderBytes}
	line, err := r.next()
	if err != nil {
		return nil, err
	}
	head := &responseHead{}
	if err := head.parseStatusLine(string(line)); err != nil {
		return nil, err
	}
	head.header, err = r.fields()
	return head, err
}

// maxStatus is the largest valid status code (RFC 9110, section 15).
const maxStatus = 599

// parseStatusLine parses a status line without its end (RFC 9112, section 4). The blank
// before an empty reason may be missing: old servers leave it out.
func (h *responseHead) parseStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	status, reason, _ := strings.Cut(rest, " ")
	minor, ok := strings.CutPrefix(version, "HTTP/1.")
	if !ok || !isNumber(minor, 1) || !isNumber(status, 3) {
		return malformed("status line %q", quotable(line))
	}
	if !httpguts.ValidHeaderFieldValue(reason) {
		return malformed("reason %q has a control byte", quotable(reason))
	}
	if containsStatusLine(reason) {
		return errSplicedResponse
	}
	h.minor, _ = strconv.Atoi(minor)
	h.status, _ = strconv.Atoi(status)
	if h.status < http.StatusContinue || h.status > maxStatus {
		return malformed("status %s", status)
	}
	return nil
}

// isNumber reports whether text is a decimal number of so many digits.
func isNumber(text string, digits int) bool {
	return len(text) == digits && strings.Trim(text, "0123456789") == ""
}

// lineReader reads the lines of a head or of a trailer section.
type lineReader struct {
	br        *bufio.Reader
	remaining int    // how many bytes may still be read
	long      []byte // a line that exceeds the buffer of br
}

// next returns the next line without CRLF. It is valid until the next call. A line that
// ends with LF only is malformed, although RFC 9112, section 2.2, lets a recipient accept
// it: an LF at the start of a field name would end the head.
func (r *lineReader) next() ([]byte, error) {
	line, err := r.slice()
	if errors.Is(err, bufio.ErrBufferFull) {
		r.long = r.long[:0]
		for errors.Is(err, bufio.ErrBufferFull) {
			r.long = append(r.long, line...)
			line, err = r.slice()
		}
		r.long = append(r.long, line...)
		line = r.long
	}
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	text, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok {
		return nil, malformed("line %q ends without CR", quotable(string(line)))
	}
	return text, nil
}

// slice returns the bytes up to the next LF, or those that fit in the buffer of br with
// bufio.ErrBufferFull.
func (r *lineReader) slice() ([]byte, error) {
	line, err := r.br.ReadSlice('\n')
	if r.remaining -= len(line); r.remaining < 0 {
		return nil, errTooLarge
	}
	return line, err
}

// fieldsPerAllocation is the number of values that fields allocates at once. Few responses
// have more fields.
const fieldsPerAllocation = 8

// fields reads field lines up to the empty line after them.
func (r *lineReader) fields() (http.Header, error) {
	h := make(http.Header, fieldsPerAllocation)
	var values []string // the arrays of the names that occur once
	for {
		line, err := r.next()
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			return h, nil
		}
		name, value, err := parseField(string(line))
		if err != nil {
			return nil, err
		}
		name = textproto.CanonicalMIMEHeaderKey(name)
		if earlier, ok := h[name]; ok {
			h[name] = append(earlier, value)
			continue
		}
		if len(values) == cap(values) {
			values = make([]string, 0, fieldsPerAllocation)
		}
		values = append(values, value)
		h[name] = values[len(values)-1 : len(values) : len(values)]
	}
}

// skipFields reads field lines up to the empty line after them and drops them.
func (r *lineReader) skipFields() error {
	for {
		line, err := r.next()
		if err != nil || len(line) == 0 {
			return err
		}
		if _, _, err := parseField(string(line)); err != nil {
			return err
		}
	}
}

// parseField parses a field line (RFC 9112, section 5). Blanks around a name and folded
// lines are malformed: a proxy must remove or reject both, and with either a length may
// be overlooked.
func parseField(line string) (name, value string, err error) {
	if line[0] == ' ' || line[0] == '\t' {
		return "", "", malformed("line %q begins with a blank", quotable(line))
	}
	name, value, ok := strings.Cut(line, ":")
	if !ok {
		return "", "", malformed("line %q has no colon", quotable(line))
	}
	if !httpguts.ValidHeaderFieldName(name) {
		return "", "", malformed("field name %q is no token", quotable(name))
	}
	value = strings.Trim(value, " \t")
	if !httpguts.ValidHeaderFieldValue(value) {
		return "", "", malformed("value of field %s has a control byte", quotable(name))
	}
	if containsStatusLine(value) {
		return "", "", errSplicedResponse
	}
	return name, value, nil
}
