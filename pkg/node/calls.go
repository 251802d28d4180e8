package node

import (
	"time"

	"github.com/lentilflow/lentilflow/pkg/claim"
	"github.com/lentilflow/lentilflow/pkg/crashguard"
	"github.com/lentilflow/lentilflow/pkg/distribution"
	"github.com/lentilflow/lentilflow/pkg/membership"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/proxy"
	"github.com/lentilflow/lentilflow/pkg/routing"
)

// snapshots gives the call path the routing snapshot in force. A node whose
// start-up read is not over has none.
type snapshots struct{ holder *distribution.Holder }

// Snapshot returns nil before the first version.
func (s snapshots) Snapshot() *routing.Snapshot {
	if a := s.holder.Active(); a != nil {
		return a.Snapshot
	}
	return nil
}

// endpoints gives the call path the roster.
type endpoints struct{ roster *membership.Roster }

// Service returns the usable entries of a service.
func (e endpoints) Service(name string) []model.Entry { return e.roster.View().Service(name) }

// Members returns every entry of a service that is not gone.
func (e endpoints) Members(service string) []model.Entry {
	var out []model.Entry
	for _, entry := range e.roster.View().All() {
		if entry.Service == service {
			out = append(out, entry)
		}
	}
	return out
}

// MayServePeers reports whether the own lease is held.
func (e endpoints) MayServePeers() bool { return e.roster.MayServe() }

func (n *Node) buildCalls() {
	n.claims = claim.NewClaims(claim.Config{
		Table:      n.table(),
		Node:       n.id(),
		Generation: n.roster.Self().Generation,
		Alive:      n.alive,
		Sweep:      n.publisher.Leading,
		Log:        n.log.Named("claim"),
	})
	n.notices = crashguard.NewTable(n.table(), time.Now)
	s := n.settings
	n.proxy = proxy.New(proxy.Config{
		Self:     n.id(),
		Location: s.Location(),
		Service:  s.Upstream.Service,
		Upstream: string(s.Upstream.Address),
		Limits: proxy.Limits{
			Body:        int64(s.Limits.Body),
			HeaderBytes: int(s.Limits.Headers),
			HeaderTime:  time.Duration(s.Limits.HeaderTime),
			BodyTime:    time.Duration(s.Limits.BodyTime),
			Connections: s.Limits.Connections,
			DrainGrace:  time.Duration(s.Drain.Announce),
		},
		Snapshots:     snapshots{n.holder},
		Roster:        endpoints{n.roster},
		Membership:    endpoints{n.roster},
		Claims:        claims{n.claims},
		Hints:         n.relay,
		ConfigAge:     n.relay.AsOfAge,
		UpstreamState: n.upstream.seenByCalls,
		Notices:       n.notices,
		Logger:        n.log,
		Registerer:    n.registry,
	})
}
