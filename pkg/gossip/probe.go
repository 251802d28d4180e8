package gossip

import (
	"context"
	"errors"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/fleet"
)

// idleProbes is the pause between two looks at the nodes in doubt while there
// are none.
const idleProbePeriod = time.Minute

// Probe asks the nodes in doubt whether they are back, until ctx ends. Calls
// need not find that out, at the price of their time.
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

// unanswered notes that a node did not take a message. Only a connection that
// nothing answered shows that it cannot be reached; a node that is busy, or
// that starts, answers.
func (n *Node) handleSendError(m fleet.Member, err error) {
	var op *net.OpError
	if !errors.As(err, &op) || op.Op != "dial" || !op.Timeout() {
		n.Log.Debug("node did not answer a message", zap.String("to", string(m.Node)), zap.Error(err))
		return
	}
	if n.View.SetUnreachable(m.Node, time.Now()) {
		n.Log.Warn("node is unreachable", zap.String("other", string(m.Node)), zap.Error(err))
	}
}
