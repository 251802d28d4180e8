package gossip

import (
	"context"
	"errors"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/fleet"
)

// idleProbePeriod is the time between two checks for nodes to probe while there
// are none. A node that becomes unavailable ends the wait at once, so the value
// does not delay its first probe.
const idleProbePeriod = time.Minute

// Probe sends digests to the nodes that the view lists as unavailable, until ctx
// ends, to detect when they are available again. Otherwise calls would have to
// try them and lose time. It returns nil.
func (n *Node) Probe(ctx context.Context) error {
	for {
		due, next := n.View.Probes(time.Now())
		for _, m := range due {
			n.Guard.Go("probe node", func() { n.syncWith(ctx, m) })
		}
		if next <= 0 {
			next = idleProbePeriod
		}
		t := time.NewTimer(next)
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-t.C:
		case <-n.View.NewlyUnavailable():
			t.Stop()
		}
	}
}

// handleSendError handles the error of a message to a node. Only a connection
// attempt that timed out marks the node as unreachable: the host of a busy or
// starting node responds to the attempt.
func (n *Node) handleSendError(m fleet.Member, err error) {
	var op *net.OpError
	if !errors.As(err, &op) || op.Op != "dial" || !op.Timeout() {
		n.Log.Debug("message to a node failed", zap.String("to", string(m.Node)), zap.Error(err))
		return
	}
	if n.View.SetUnreachable(m.Node, time.Now()) {
		n.Log.Warn("node is unreachable", zap.String("other", string(m.Node)), zap.Error(err))
	}
}
