package operator

import (
	"testing"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/standin/rawserver"
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
			server, err := rawserver.Start(response, true)
			is.NoErr(err)
			t.Cleanup(server.Close)
			nodes := nodeStates(t.Context(), NewNodeClient(), []fleet.Member{{Node: "n", MessageAddress: server.Address()}})
			is.True(nodes[0].State == nil)
			is.True(nodes[0].Error != "")
		})
	}
}
