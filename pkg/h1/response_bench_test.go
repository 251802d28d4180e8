package h1

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkReadHead compares the strict reader of response heads with http.ReadResponse.
func BenchmarkReadHead(b *testing.B) {
	const head = "HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 02:00:00 GMT\r\nContent-Type: application/json\r\nContent-Length: 0\r\n" +
		"X-Request-Id: 9c41d07be2a35f68\r\nX-Server-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nKeep-Alive: timeout=5\r\n\r\n"
	request := &http.Request{Method: http.MethodGet}
	for name, read := range map[string]func(*bufio.Reader) error{
		"strict": func(br *bufio.Reader) error {
			h, err := readResponseHead(br)
			if err != nil {
				return err
			}
			_, err = h.framing(http.MethodGet)
			return err
		},
		"net_http": func(br *bufio.Reader) error {
			_, err := http.ReadResponse(br, request)
			return err
		},
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			source := strings.NewReader(head)
			br := bufio.NewReaderSize(source, connBufferSize)
			for b.Loop() {
				source.Reset(head)
				br.Reset(source)
				if err := read(br); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
