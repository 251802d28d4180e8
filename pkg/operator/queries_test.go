package operator

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/fleet"
)

// Guards against a malformed response that is shown as the state of a node.
func TestMalformedResponseIsNoNodeState(t *testing.T) {
	for name, response := range map[string]string{
		"blank in a name":       "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 13\r\n\r\n{\"version\":7}",
		"blank behind a length": "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\n{\"version\":7}",
		"status 000":            "HTTP/1.1 000 OK\r\nContent-Length: 13\r\n\r\n{\"version\":7}",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			t.Cleanup(func() { _ = l.Close() })
			go func() {
				nc, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = nc.Close() }()
				_, _ = nc.Read(make([]byte, 4<<10))
				_, _ = io.WriteString(nc, response)
			}()
			nodes := nodeStates(t.Context(), NewNodeClient(), []fleet.Member{{Node: "n", MessageAddress: l.Addr().String()}})
			is.True(nodes[0].State == nil)
			is.True(nodes[0].Error != "")
		})
	}
}
