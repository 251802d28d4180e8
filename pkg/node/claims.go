package node

import (
	"context"
	"encoding/hex"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/pkg/claim"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/proxy"
)

// claims translates between the call path and the claim rows.
type claims struct {
	rows *claim.Claims
}

// claimStates translates the refusals of a claim. Any other refusal means that
// the key could not be reserved.
var claimStates = map[model.Reason]proxy.ClaimState{
	model.KeyReused:         proxy.ClaimReused,
	model.KeyInProgress:     proxy.ClaimInProgress,
	model.KeyOutcomeUnknown: proxy.ClaimUnknown,
}

// Begin reserves a key.
func (c claims) Begin(ctx context.Context, k proxy.ClaimKey) (proxy.ClaimOutcome, error) {
	o, err := c.rows.Begin(ctx, claim.Key{Service: k.Service, Key: k.Key, Digest: hex.EncodeToString(k.Digest[:])})
	switch {
	case err != nil:
		return proxy.ClaimOutcome{}, err
	case o.Granted:
		return proxy.ClaimOutcome{State: proxy.ClaimGranted, ID: o.ID}, nil
	case o.Replay != nil:
		a := proxy.ClaimAnswer{Status: o.Replay.Status, Header: o.Replay.Header, Body: o.Replay.Body, TooBig: o.Replay.Truncated}
		return proxy.ClaimOutcome{State: proxy.ClaimDone, Answer: &a}, nil
	}
	state, ok := claimStates[o.Refusal]
	if !ok {
		return proxy.ClaimOutcome{}, merry.Errorf("claim refused: %s", o.Refusal)
	}
	return proxy.ClaimOutcome{State: state}, nil
}

// Finish stores the answer of a claimed call.
func (c claims) Finish(ctx context.Context, id any, a proxy.ClaimAnswer) error {
	return c.rows.Finish(ctx, id.(claim.ID), claim.Answer{Status: a.Status, Header: a.Header, Body: a.Body, Truncated: a.TooBig})
}

// Release gives up the claim of a call that has definitely not run.
func (c claims) Release(ctx context.Context, id any) error {
	return c.rows.Release(ctx, id.(claim.ID))
}

// alive reports whether a process may still hold its claims.
func (n *Node) alive(id model.NodeID, generation uint64) bool {
	e, ok := n.roster.Get(id)
	return ok && e.Generation == generation && e.State != model.Gone
}
