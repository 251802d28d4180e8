package gossip

import (
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/fleet"
)

// Guards against a malformed response that counts as the acknowledgement of a message: a
// departure would count as held by a node that may not have it.
func TestMalformedResponseIsNoAcknowledgement(t *testing.T) {
	for name, response := range map[string]string{
		"blank in a name":  "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\n{}",
		"blank, no body":   "HTTP/1.1 204 No Content\r\nDate : now\r\n\r\n",
		"line feed":        "HTTP/1.1 200 OK\r\nDate: now\nContent-Length: 2\r\n\r\n{}",
		"status 000":       "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
		"status 000 alone": "HTTP/1.1 000 OK\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			t.Cleanup(func() { _ = l.Close() })
			go func() {
				for {
					nc, err := l.Accept()
					if err != nil {
						return
					}
					_, _ = io.ReadAtLeast(nc, make([]byte, 4<<10), 1)
					_, _ = io.WriteString(nc, response)
					_ = nc.(*net.TCPConn).CloseWrite()
				}
			}()
			a := newPeer(t, "a")
			err = a.post(t.Context(), fleet.Member{Node: "b", MessageAddress: l.Addr().String()}, pathDepartures, struct{}{}, nil)
			is.True(err != nil)
			t.Log(fmt.Sprint(err))
		})
	}
}
