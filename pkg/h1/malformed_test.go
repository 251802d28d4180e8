package h1

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/standin/rawserver"
)

// rawServer starts a server that responds to each request with the same text and closes the
// connection afterwards if closes is set.
func rawServer(t *testing.T, response string, closes bool) *rawserver.Server {
	t.Helper()
	s, err := rawserver.Start(response, closes)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// exchangeOnce sends a request and returns the response and its body. An error of the body
// is returned like one of the head.
func exchangeOnce(t *testing.T, p *Pool) (resp *Response, body string, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	resp, err = p.Do(ctx, newRequest("7"))
	if err != nil {
		return nil, "", err
	}
	defer resp.Close()
	text, err := io.ReadAll(resp)
	return resp, string(text), err
}

// checkMalformed checks that neither of two exchanges with a server that sends response
// has a complete response, that the server may have received the requests, and that the
// connection of the first one is not used again.
func checkMalformed(t *testing.T, response string) {
	t.Helper()
	t.Parallel()
	is := is.New(t)
	for _, closes := range []bool{false, true} {
		server := rawServer(t, response, closes)
		p := newPool(server.Address())
		began := time.Now()
		for range 2 {
			resp, body, err := exchangeOnce(t, p)
			if err == nil {
				t.Fatalf("taken for a response: status %d, fields %q, body %q", resp.Status, resp.Header, body)
			}
			var exchangeErr *ExchangeError
			is.True(!errors.As(err, &exchangeErr) || exchangeErr.Sent)
		}
		is.Equal(server.Connections.Load(), int64(2))
		is.True(time.Since(began) < testTimeout) // the exchange does not wait for its deadline
	}
}

// Guards against a head whose field names are no tokens (RFC 9110, section 5.1) and that
// is taken for that of a response: the line is passed on, or a length that it states is
// not seen, so that the body is another one than the server's.
func TestMalformedFieldNamesAreRejected(t *testing.T) {
	const id, body = "Id: 7\r\n", "body"
	for name, fields := range map[string]string{
		"blank before colon":          id + "Content-Length: 4\r\nX-Receipt : r\r\n",
		"blank before colon of id":    "Id: 7\r\nId : 8\r\nContent-Length: 4\r\n",
		"blank before colon, length":  id + "Content-Length : 4\r\nConnection: close\r\n",
		"blank before colon, coding":  id + "Transfer-Encoding : chunked\r\nContent-Length: 4\r\n",
		"blank within":                id + "X Receipt: r\r\nContent-Length: 4\r\n",
		"blank within length":         id + "Content- Length: 4\r\n",
		"blank first":                 " X-Receipt: r\r\n" + id + "Content-Length: 4\r\n",
		"blank at start of length":    id + "X-A: a\r\n Content-Length: 4\r\n",
		"blank at start of last line": id + "Content-Length: 4\r\nX-A: a\r\n X-Receipt: r\r\n",
		"tab at start of length":      id + "X-A: a\r\n\tContent-Length: 4\r\n",
		"tab before colon":            id + "Content-Length\t: 4\r\n",
		"line feed at start":          id + "\nContent-Length: 4\r\n",
		"line feed within":            id + "Content-\nLength: 4\r\n",
		"line feed before colon":      id + "Content-Length\n: 4\r\n",
		"line feed ends a field":      "Id: 7\nContent-Length: 4\r\n",
		"carriage return at start":    id + "\rContent-Length: 4\r\n",
		"carriage return within":      id + "Content-\rLength: 4\r\n",
		"null":                        id + "X-\x00Receipt: r\r\nContent-Length: 4\r\n",
		"bell":                        id + "X-Receipt\a: r\r\nContent-Length: 4\r\n",
		"escape at start":             id + "\x1bX-Receipt: r\r\nContent-Length: 4\r\n",
		"delete":                      id + "X-\x7fReceipt: r\r\nContent-Length: 4\r\n",
		"byte above 0x7f":             id + "X-Re\xe7u: r\r\nContent-Length: 4\r\n",
		"separator":                   id + "X-Receipt(1): r\r\nContent-Length: 4\r\n",
		"empty":                       id + ": r\r\nContent-Length: 4\r\n",
		"no colon":                    id + "X-Receipt\r\nContent-Length: 4\r\n",
	} {
		t.Run(name, func(t *testing.T) { checkMalformed(t, "HTTP/1.1 200 OK\r\n"+fields+"\r\n"+body) })
	}
}

// Guards against an interim response, a response to another request or a trailer with a
// field name that is no token. What follows it may be anything, also a response.
func TestMalformedFieldNamesAroundTheResponseAreRejected(t *testing.T) {
	const due = "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 4\r\n\r\nbody"
	for name, response := range map[string]string{
		"interim":            "HTTP/1.1 103 Early Hints\r\nLink : a\r\n\r\n" + due,
		"interim, line feed": "HTTP/1.1 103 Early Hints\r\n\nLink: a\r\n\r\n" + due,
		"other request":      "HTTP/1.1 200 OK\r\nId: 6\r\nX Receipt: r\r\nContent-Length: 4\r\n\r\nlate" + due,
		"trailer":            "HTTP/1.1 200 OK\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Sum: 1\r\n\r\n",
		"trailer, line feed": "HTTP/1.1 200 OK\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\nX-Sum: 1\r\n\r\n",
		"trailer, fold":      "HTTP/1.1 200 OK\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Sum: 1\r\n 2\r\n\r\n",
		"skipped trailer":    "HTTP/1.1 200 OK\r\nId: 6\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nlate\r\n0\r\nX Sum: 1\r\n\r\n" + due,
	} {
		t.Run(name, func(t *testing.T) { checkMalformed(t, response) })
	}
}

// Guards against the rejection or the change of responses that are unusual and proper.
func TestProperResponsesAreUnchanged(t *testing.T) {
	const length, id = "Content-Length: 4\r\n", "Id: 7\r\n"
	for name, c := range map[string]struct {
		response string
		status   int
		field    string // one that the response has
		value    string
		length   int64
		closes   bool // the server closes the connection after the response
		reused   bool
	}{
		"token characters":  {"HTTP/1.1 200 OK\r\n" + id + "!#$%&'*+-.^_`|~09azAZ: v\r\n" + length + "\r\nbody", 200, "!#$%&'*+-.^_`|~09azaz", "v", 4, false, true},
		"lower case":        {"HTTP/1.1 200 OK\r\nid: 7\r\ncontent-length: 4\r\n\r\nbody", 200, "Id", "7", 4, false, true},
		"above 0x7f":        {"HTTP/1.1 200 OK\r\n" + id + "X-A: \xe7\xff\x80\r\n" + length + "\r\nbody", 200, "X-A", "\xe7\xff\x80", 4, false, true},
		"tab in value":      {"HTTP/1.1 200 OK\r\n" + id + "X-A:\t a\tb \t\r\n" + length + "\r\nbody", 200, "X-A", "a\tb", 4, false, true},
		"empty value":       {"HTTP/1.1 200 OK\r\n" + id + "X-A:\r\n" + length + "\r\nbody", 200, "X-A", "", 4, false, true},
		"no blank":          {"HTTP/1.1 200 OK\r\nId:7\r\nX-A:a:b\r\n" + length + "\r\nbody", 200, "X-A", "a:b", 4, false, true},
		"pragma":            {"HTTP/1.1 200 OK\r\n" + id + "Pragma: no-cache\r\n" + length + "\r\nbody", 200, "Cache-Control", "", 4, false, true},
		"empty reason":      {"HTTP/1.1 200 \r\n" + id + length + "\r\nbody", 200, "Id", "7", 4, false, true},
		"no reason":         {"HTTP/1.1 200\r\n" + id + length + "\r\nbody", 200, "Id", "7", 4, false, true},
		"odd reason":        {"HTTP/1.1 200 \tTr\xe8s bien: \"a\"  b\r\n" + id + length + "\r\nbody", 200, "Id", "7", 4, false, true},
		"first status":      {"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n" + id + length + "\r\nbody", 200, "Link", "", 4, false, true},
		"last status":       {"HTTP/1.1 599 X\r\n" + id + length + "\r\nbody", 599, "Id", "7", 4, false, true},
		"same length twice": {"HTTP/1.1 200 OK\r\n" + id + length + length + "\r\nbody", 200, "Id", "7", 4, false, true},
		"close":             {"HTTP/1.1 200 OK\r\n" + id + length + "Connection: X-A, Close\r\nX-A: hop\r\n\r\nbody", 200, "X-A", "", 4, false, false},
		"chunks":            {"HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: Chunked\r\n\r\n3;a=b\r\nbod\r\n001\r\ny\r\n0\r\n\r\n", 200, "Id", "7", Chunked, false, true},
		"trailer": {"HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n4\r\nbody\r\n0\r\nX-Sum: 1\r\nX-More: \xe7\r\n\r\n",
			200, "X-Sum", "", Chunked, false, true},
		"end of connection":           {"HTTP/1.1 200 OK\r\n" + id + "\r\nbody", 200, "Id", "7", Chunked, true, false},
		"HTTP/1.0":                    {"HTTP/1.0 200 OK\r\n" + id + length + "\r\nbody", 200, "Id", "7", 4, false, false},
		"HTTP/1.0, kept":              {"HTTP/1.0 200 OK\r\n" + id + length + "Connection: keep-alive\r\n\r\nbody", 200, "Id", "7", 4, false, true},
		"HTTP/1.0, end of connection": {"HTTP/1.0 200 OK\r\n" + id + "\r\nbody", 200, "Id", "7", Chunked, true, false},
		"later minor version":         {"HTTP/1.2 200 OK\r\n" + id + length + "\r\nbody", 200, "Id", "7", 4, false, true},
		"large head":                  {"HTTP/1.1 200 OK\r\n" + id + "X-A: " + strings.Repeat("a", 100<<10) + "\r\n" + length + "\r\nbody", 200, "X-A", strings.Repeat("a", 100<<10), 4, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server := rawServer(t, c.response, c.closes)
			p := newPool(server.Address())
			for range 2 {
				resp, body, err := exchangeOnce(t, p)
				is.NoErr(err)
				is.Equal(resp.Status, c.status)
				is.Equal(strings.Join(resp.Header[c.field], ","), c.value)
				is.Equal(resp.Length, c.length)
				is.Equal(body, "body")
			}
			is.Equal(server.Connections.Load() == 1, c.reused)
		})
	}
}

// Guards against control bytes in field values (RFC 9110, section 5.5), which the next reader
// may take for the end of a line or of the value.
func TestControlBytesInValuesAreRejected(t *testing.T) {
	for name, value := range map[string]string{
		"null": "a\x00b", "carriage return": "a\rb", "carriage return at the end": "a\r", "carriage return at the start": "\ra",
		"escape": "a\x1bb", "vertical tab": "a\vb", "delete": "a\x7f",
	} {
		t.Run(name, func(t *testing.T) {
			checkMalformed(t, "HTTP/1.1 200 OK\r\nId: 7\r\nX-A: "+value+"\r\nContent-Length: 4\r\n\r\nbody")
		})
	}
}

// Guards against a status line that is none (RFC 9112, section 4) or whose status is none
// (RFC 9110, section 15). A status below 200 counts as that of an interim response, so
// what follows the head, also its body, would be read as the response.
func TestMalformedStatusLinesAreRejected(t *testing.T) {
	const fields, body = "Id: 7\r\nContent-Length: 4\r\n", "body"
	for name, line := range map[string]string{
		"000":                    "HTTP/1.1 000 OK\r\n",
		"000, no reason":         "HTTP/1.1 000\r\n",
		"001":                    "HTTP/1.1 001 OK\r\n",
		"099":                    "HTTP/1.1 099 OK\r\n",
		"600":                    "HTTP/1.1 600 OK\r\n",
		"999":                    "HTTP/1.1 999 OK\r\n",
		"sign":                   "HTTP/1.1 +20 OK\r\n",
		"negative zero":          "HTTP/1.1 -00 OK\r\n",
		"two digits":             "HTTP/1.1 20 OK\r\n",
		"four digits":            "HTTP/1.1 2000 OK\r\n",
		"letter":                 "HTTP/1.1 2O0 OK\r\n",
		"empty":                  "HTTP/1.1  OK\r\n",
		"reason follows at once": "HTTP/1.1 200OK\r\n",
		"two blanks":             "HTTP/1.1  200 OK\r\n",
		"tab":                    "HTTP/1.1\t200 OK\r\n",
		"blank first":            " HTTP/1.1 200 OK\r\n",
		"empty line first":       "\r\nHTTP/1.1 200 OK\r\n",
		"second digit":           "HTTP/1.10 200 OK\r\n",
		"HTTP/0.9":               "HTTP/0.9 200 OK\r\n",
		"HTTP/2.0":               "HTTP/2.0 200 OK\r\n",
		"lower case":             "http/1.1 200 OK\r\n",
		"other protocol":         "ICY 200 OK\r\n",
		"null in reason":         "HTTP/1.1 200 O\x00K\r\n",
		"return in reason":       "HTTP/1.1 200 O\rK\r\n",
		"line feed ends it":      "HTTP/1.1 200 OK\n",
	} {
		t.Run(name, func(t *testing.T) { checkMalformed(t, line+fields+"\r\n"+body) })
	}
}

// Guards against a response with status 000 that counts as an interim one: its body is taken
// for the response, or the request waits for another one.
func TestStatus000IsNotInterim(t *testing.T) {
	for name, response := range map[string]string{
		"its body is a response": "HTTP/1.1 000 X\r\nId: 7\r\n\r\n" + responseText("7", "body"),
		"without a body":         "HTTP/1.1 000 X\r\nId: 7\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) { checkMalformed(t, response) })
	}
}

// Guards against a response whose end is stated in two ways, or in one that its version does
// not have (RFC 9112, sections 6.1 to 6.3): the next reader may find another end.
func TestContradictoryFramingIsRejected(t *testing.T) {
	const chunks = "\r\n4\r\nbody\r\n0\r\n\r\n"
	for name, response := range map[string]string{
		"length and coding":   "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n" + chunks,
		"coding and length":   "HTTP/1.1 200 OK\r\nId: 7\r\nTransfer-Encoding: chunked\r\nContent-Length: 14\r\n" + chunks,
		"coding in HTTP/1.0":  "HTTP/1.0 200 OK\r\nId: 7\r\nTransfer-Encoding: chunked\r\n" + chunks,
		"two codings":         "HTTP/1.1 200 OK\r\nId: 7\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" + chunks,
		"list of codings":     "HTTP/1.1 200 OK\r\nId: 7\r\nTransfer-Encoding: gzip, chunked\r\n" + chunks,
		"other coding":        "HTTP/1.1 200 OK\r\nId: 7\r\nTransfer-Encoding: identity\r\n" + chunks,
		"two lengths":         "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody",
		"list of lengths":     "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 4, 5\r\n\r\nbody",
		"length with a sign":  "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: +4\r\n\r\nbody",
		"empty length":        "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length:\r\n\r\nbody",
		"length beyond range": "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 9223372036854775808\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) { checkMalformed(t, response) })
	}
}

// Guards against malformed responses that an operator does not learn of: each one must be
// reported once, wherever it is malformed, and one that breaks off must not be.
func TestMalformedResponsesAreReported(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"
	for name, c := range map[string]struct {
		response string
		reports  int64
	}{
		"field name":               {"HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n", 1},
		"status":                   {"HTTP/1.1 000 OK\r\n\r\n", 1},
		"second status line":       {"HTTP/1.1 200 OKHTTP/1.1 200 OK\r\n\r\n", 1},
		"length":                   {"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", 1},
		"chunk size":               {chunked + "x\r\n", 1},
		"end of a chunk":           {chunked + "4\r\nbodymore\r\n", 1},
		"trailer":                  {chunked + "0\r\nX Sum: 1\r\n\r\n", 1},
		"proper":                   {chunked + "0\r\n\r\n", 0},
		"breaks off in the head":   {"HTTP/1.1 200 OK\r\nX Odd", 0},
		"breaks off in a chunk":    {chunked + "4\r\nbo", 0},
		"breaks off in a trailer":  {chunked + "0\r\nX Sum", 0},
		"breaks off in the length": {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo", 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPool(rawServer(t, c.response, true).Address())
			var reports atomic.Int64
			p.OnMalformed = func(err error) {
				is.True(errors.Is(err, ErrMalformedResponse))
				reports.Add(1)
			}
			resp, err := p.Do(t.Context(), newRequest("7"))
			if err == nil {
				_, err = io.ReadAll(resp)
				_, again := resp.Read(make([]byte, 1))
				is.True(err == nil || again != nil)
				resp.Close()
			}
			is.Equal(err == nil, name == "proper")
			is.Equal(reports.Load(), c.reports)
		})
	}
}

// Guards against a trailer without end, and one of a single endless line, that occupies a
// request until its deadline.
func TestEndlessTrailerFails(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
	for _, more := range []string{"A: b\r\n", "a"} {
		is := is.New(t)
		_, _, err := exchangeOnce(t, newPool(endlessServer(t, head, strings.Repeat(more, 1<<10), 0)))
		is.True(errors.Is(err, errTooLarge))
	}
}
