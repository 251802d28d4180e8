package gossip

import (
	"testing"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/standin/rawserver"
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
			server, err := rawserver.Start(response, true)
			is.NoErr(err)
			t.Cleanup(server.Close)
			a := newPeer(t, "a")
			err = a.post(t.Context(), fleet.Member{Node: "b", MessageAddress: server.Address()}, pathDepartures, struct{}{}, nil)
			is.True(err != nil)
		})
	}
}
