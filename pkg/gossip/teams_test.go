package gossip

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/text"
)

func withTeams(v config.Version, teams ...string) *config.Configuration {
	c := configuration(v)
	for _, name := range teams {
		c.Teams = append(c.Teams, config.Team{Name: name, Keys: []config.KeyDigest{config.DigestOfKey("key of " + name)}})
	}
	return c
}

// startEarlierRelease starts a node of an earlier release: it leaves out the teams of
// its configuration and does not say that it does. With a base it sends a change.
func startEarlierRelease(t *testing.T, c, base *config.Configuration) fleet.Member {
	t.Helper()
	var m fleet.Member
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var d Digest
		if err := json.NewDecoder(r.Body).Decode(&d); err != nil || !d.NeedsUpdate {
			return
		}
		copied := *c
		copied.Teams = nil
		u := map[string]any{"from": m, "serving": true, "config": c.Version}
		if base != nil {
			without := *base
			without.Teams = nil
			u["configuration_change"] = config.Diff(&without, &copied)
		} else {
			plain, err := json.Marshal(copied)
			if err == nil {
				u["configuration_zstd"], err = text.Compress(plain)
			}
			if err != nil {
				t.Error(err)
			}
		}
		if err := json.NewEncoder(w).Encode(u); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(server.Close)
	m = fleet.Member{
		Node: "earlier", Service: "s", CallAddress: "127.0.0.1:1", MessageAddress: strings.TrimPrefix(server.URL, "http://"),
		Location: model.Location{Region: "r", AvailabilityZone: "z"},
	}
	return m
}

// Guards against a copy from a node of an earlier release that makes calls pass
// without a key: it does not replace a version with teams, and is itself replaced by
// a complete copy of the same version.
func TestCopyWithoutTeamsIsReplaced(t *testing.T) {
	sixth, sixthWithTeams, seventh := withTeams(6), withTeams(6, "old"), withTeams(7, "new")
	for name, c := range map[string]struct {
		inForce, base *config.Configuration
		version       config.Version // after the copy
	}{
		"no configuration":   {nil, nil, 7},
		"no teams":           {sixth, nil, 7},
		"no teams, a change": {sixth, sixth, 7},
		"teams":              {sixthWithTeams, nil, 6},
		"teams, a change":    {sixthWithTeams, sixthWithTeams, 6},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n, complete := newPeer(t, "n"), newPeer(t, "complete")
			n.SetStoreAvailable(false)
			if c.inForce != nil {
				_, err := n.Config.Offer(c.inForce)
				is.NoErr(err)
			}
			n.syncWith(t.Context(), startEarlierRelease(t, seventh, c.base))
			is.Equal(n.Config.Version(), c.version)
			is.Equal(n.Config.TeamsUnknown(), c.version == 7)
			is.Equal(n.Config.Current().HasTeams(), c.version == 6)
			// Another node that got the copy from this one does not take it for complete.
			third := newPeer(t, "third")
			third.syncWith(t.Context(), n.Self)
			is.Equal(third.Config.TeamsUnknown(), c.version == 7)

			n.SetStoreAvailable(true)
			is.Equal(n.needsUpdate(n.startTime), c.version == 7)
			_, err := complete.Config.Offer(seventh)
			is.NoErr(err)
			for _, p := range []*peer{n, third} {
				p.SetStoreAvailable(false)
				p.syncWith(t.Context(), complete.Self)
				is.Equal(p.Config.Version(), config.Version(7))
				is.True(!p.Config.TeamsUnknown())
				_, ok := p.Config.Current().TeamOfKey("key of new")
				is.True(ok)
			}
			// The complete copy is passed on as a whole, and later versions as changes.
			fourth := newPeer(t, "fourth")
			fourth.syncWith(t.Context(), n.Self)
			is.True(fourth.Config.Current().HasTeams())
			eighth := withTeams(8, "new", "newer")
			_, err = n.Config.Offer(eighth)
			is.NoErr(err)
			third.syncWith(t.Context(), n.Self)
			is.Equal(len(third.Config.Current().Teams), 2)
		})
	}
}

// Guards against a configuration with 10,000 teams, or 10,000 keys, that is too large
// for a message between nodes, also with the longest names that a rules file accepts.
func TestTenThousandTeamsFitIntoAMessage(t *testing.T) {
	const many = 10_000
	teams := func(name string) []config.Team {
		var all []config.Team
		for i := range many {
			all = append(all, config.Team{
				Name: fmt.Sprintf(name, i), Keys: []config.KeyDigest{config.DigestOfKey(fmt.Sprint("a", i))},
				Rank: new(model.Rank(1)), Rate: 567.25, Burst: 1134.5, AskedBy: "Ana Prado",
			})
		}
		return all
	}
	keys := config.Team{Name: "t"}
	for i := range many {
		keys.Keys = append(keys.Keys, config.DigestOfKey(fmt.Sprint("a", i)))
	}
	for name, list := range map[string][]config.Team{
		"short names": teams("team%05d"), "long names": teams("team%059d"), "one team": {keys},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, b := newPeer(t, "a"), newPeer(t, "b")
			c := withTeams(7)
			c.Teams = list
			_, err := a.Config.Offer(c)
			is.NoErr(err)
			b.SetStoreAvailable(false)
			// The time that a message may take is not tested here: on a busy machine with the
			// race detector the configuration is not encoded within it.
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			b.exchangeDigests(ctx, a.Self, b.digest())
			is.Equal(b.Config.Version(), config.Version(7))
			is.Equal(len(b.Config.Current().Teams), len(list))
			plain, err := json.Marshal(c)
			is.NoErr(err)
			t.Logf("%d bytes, limit %d; %d compressed", len(plain), maxMessageBytes, len(a.compressedConfig))

			changed := withTeams(8)
			changed.Teams = append([]config.Team{{Name: "another"}}, list...)
			_, err = a.Config.Offer(changed)
			is.NoErr(err)
			sent := a.bytesSent.Load()
			b.exchangeDigests(ctx, a.Self, b.digest())
			is.Equal(b.Config.Version(), config.Version(8))
			is.True(a.bytesSent.Load()-sent < minCompressedSize) // only the change
		})
	}
}
