package gossip

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/fleet"
)

// Guards the choice of the node that reads for its availability zone: one of
// those that can be reached, and none of another zone.
func TestFirstReachableNodeReads(t *testing.T) {
	is := is.New(t)
	far := newPeer(t, "a")
	far.Self.Location.AvailabilityZone = "other"
	b, c, d := newPeer(t, "b"), newPeer(t, "c"), newPeer(t, "d")
	all := []fleet.Member{far.Self, b.Self, c.Self, d.Self}
	for _, p := range []*peer{far, b, c, d} {
		p.View.Replace(all, 1)
	}
	is.True(far.Reads())
	is.True(b.Reads())
	is.True(!c.Reads())
	is.True(!d.Reads())
	c.View.SetUnreachable("b", time.Now())
	is.True(c.Reads())
	is.True(!d.Reads()) // it still reaches b
}

// Guards the way of a version to the neighbours: those of the zone get it,
// older ones change nothing, and what cannot be read is refused.
func TestSpread(t *testing.T) {
	is := is.New(t)
	far := newPeer(t, "a")
	far.Self.Location.AvailabilityZone = "other"
	b, c := newPeer(t, "b"), newPeer(t, "c")
	for _, p := range []*peer{far, b, c} {
		p.View.Replace([]fleet.Member{far.Self, b.Self, c.Self}, 1)
	}
	b.Spread() // has none yet
	b.offer(t, 7)
	b.Spread()
	is.Equal(c.Config.Version(), config.Version(7))
	is.Equal(c.taken.Load(), int64(7))
	is.Equal(far.Config.Version(), config.Version(0))
	c.offer(t, 8)
	b.Spread()
	is.Equal(c.Config.Version(), config.Version(8))
	for _, body := range []string{"", "{}", "\x28\xb5\x2f\xfd"} {
		resp, err := http.Post("http://"+c.Self.MessageAddress+pathConfiguration, "application/octet-stream", strings.NewReader(body))
		is.NoErr(err)
		_ = resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusBadRequest)
	}
}

// Guards against whole configurations that cross regions as plain JSON: with
// 1,400 routes and 30 nodes without the store they were most of the bytes
// between regions.
func TestLargeAnswersAreCompressed(t *testing.T) {
	is := is.New(t)
	a, b := newPeer(t, "a"), newPeer(t, "b")
	c := configuration(7)
	for i := range 500 {
		r := c.Routes[0]
		r.Name, r.Prefix = fmt.Sprint("r", i), fmt.Sprintf("/p%d/", i)
		c.Routes = append(c.Routes, r)
	}
	plain, err := json.Marshal(c)
	is.NoErr(err)
	_, err = a.Config.Offer(c)
	is.NoErr(err)
	b.ask(t.Context(), a.Self)
	is.Equal(b.Config.Version(), config.Version(7))
	is.Equal(len(b.Config.Current().Routes), len(c.Routes))
	is.True(a.sent.Load() < int64(len(plain)/5))
}
