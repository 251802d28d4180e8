package devcluster

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/pkg/settings"
	"github.com/lentilflow/lentilflow/pkg/standin/upstream"
)

// Behaviour of the upstreams.
const (
	serviceTime     = 5 * time.Millisecond
	upstreamTimeout = 2 * time.Second // for calls in flight at the stop
)

// startUpstreams starts the stand-in of an upstream for each node.
func (c *Cluster) startUpstreams() error {
	for _, s := range c.nodes {
		if err := c.startUpstream(s); err != nil {
			return merry.Prependf(err, "upstream of node %s", s.Node)
		}
	}
	return nil
}

func (c *Cluster) startUpstream(s *settings.Settings) error {
	u := upstream.New(upstream.Config{
		Name:        s.Node,
		Slots:       s.Upstream.Slots,
		Connections: s.Upstream.Connections,
		NodeURL:     "http://" + string(s.Listeners.Calls),
		Behaviour:   upstream.Behaviour{ServiceTime: map[string]time.Duration{"/": serviceTime}},
	})
	if err := u.Start(string(s.Upstream.Address)); err != nil {
		return err
	}
	c.closers = append(c.closers, func() {
		ctx, cancel := context.WithTimeout(context.Background(), upstreamTimeout)
		defer cancel()
		if u.Stop(ctx) != nil {
			u.Close()
		}
	})
	return nil
}
