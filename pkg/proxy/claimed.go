package proxy

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
)

const (
	// storedBody is the largest answer body that is kept for a replay.
	storedBody = 64 << 10
	// finishTime bounds the storing of an answer. The caller does not wait.
	finishTime = 10 * time.Second
	// releaseTime is how long a caller waits for its key to be released, so
	// that it can try again at once; the release goes on afterwards.
	releaseTime = 500 * time.Millisecond
)

// runClaimed runs a non-idempotent call: its key is claimed before anything is
// dispatched, and given back after a definite not_run only.
func (c *call) runClaimed(ctx context.Context) {
	key := c.r.Header.Get(HeaderKey)
	switch {
	case key == "":
		c.refuse(refuse(model.KeyMissing, model.NotRun, ""))
		return
	case c.p.cfg.Claims == nil:
		c.refuse(refuse(model.ClaimUnavailable, model.NotRun, ""))
		return
	}
	n, err := c.holdWhole()
	defer c.p.held.give(n)
	if err != nil {
		c.refuse(err)
		return
	}
	outcome, ref := c.claim(ctx, key)
	switch {
	case ref != nil:
		c.refuse(ref)
	case outcome.State == ClaimDone:
		c.replay(outcome.Answer)
	default:
		c.runGranted(ctx, outcome.ID)
	}
}

// holdWhole reads the whole body, because its digest belongs to the claim. It
// returns the memory that was reserved.
func (c *call) holdWhole() (int64, *refusal) {
	limit := c.p.cfg.Limits.Body
	n, chunked := c.body.length()
	if chunked {
		n = limit
	}
	if c.p.held.take(n) != nil {
		return 0, refuse(model.Overloaded, model.NotRun, "too many request bodies wait for their claims")
	}
	return n, c.prepare(limit + 1)
}

// claim reserves the key. It returns a refusal unless the call may run or has
// a stored answer.
func (c *call) claim(ctx context.Context, key string) (ClaimOutcome, *refusal) {
	outcome, err := c.p.cfg.Claims.Begin(ctx, ClaimKey{Service: c.route.Rule.Service, Key: key, Digest: c.digest()})
	if err != nil {
		if ref := ended(ctx, model.NotRun); ref != nil {
			return outcome, ref
		}
		c.p.log.Warn("key could not be claimed", zapRule(c.route.Rule.Name), zapError(err))
		return outcome, refuse(model.ClaimUnavailable, model.NotRun, "")
	}
	switch outcome.State {
	case ClaimGranted:
		return outcome, nil
	case ClaimDone:
		if outcome.Answer != nil && !outcome.Answer.TooBig {
			return outcome, nil
		}
	case ClaimReused:
		return outcome, refuse(model.KeyReused, model.NotRun, "")
	case ClaimInProgress:
		return outcome, refuse(model.KeyInProgress, model.Unknown, "")
	}
	return outcome, refuse(model.KeyOutcomeUnknown, model.Unknown, "")
}

// digest identifies the request that a key belongs to.
func (c *call) digest() (d [32]byte) {
	h := sha256.New()
	for _, s := range [...]string{c.r.Method, c.r.Host, c.r.URL.RequestURI()} {
		_, _ = io.WriteString(h, s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.body.prefix)
	h.Sum(d[:0])
	return d
}

// runGranted runs the call whose key this node has claimed. The claim is left
// as it is when the call may have run without a complete answer: the key then
// never runs again.
func (c *call) runGranted(ctx context.Context, id any) {
	a, ref := c.dispatch(ctx)
	if ref != nil {
		if !c.ran && ref.run == model.NotRun {
			c.release(id)
		}
		c.refuse(ref)
		return
	}
	keep := &capture{limit: storedBody}
	status, header := a.resp.StatusCode, storedHeader(a.resp.Header)
	c.answer(a, keep)
	c.p.later(finishTime, func(ctx context.Context) {
		stored := ClaimAnswer{Status: status, Header: header, Body: keep.body, TooBig: keep.tooBig}
		if err := c.p.cfg.Claims.Finish(ctx, id, stored); err != nil {
			c.p.metrics.events[eventClaimUnstored].Inc()
			c.p.log.Warn("answer was not stored with its key", zapError(err))
		}
	})
}

// release gives the key back after a definite not_run.
func (c *call) release(id any) {
	done := make(chan struct{})
	c.p.later(finishTime, func(ctx context.Context) {
		defer close(done)
		if err := c.p.cfg.Claims.Release(ctx, id); err != nil {
			c.p.metrics.events[eventClaimHeld].Inc()
			c.p.log.Warn("key was not released", zapError(err))
		}
	})
	wait := time.NewTimer(releaseTime)
	defer wait.Stop()
	select {
	case <-done:
	case <-wait.C:
	}
}

// storedHeader copies the fields of an answer that a replay repeats.
func storedHeader(h http.Header) http.Header {
	kept := maps.Clone(h)
	stripHop(kept)
	stripOwn(kept)
	for _, name := range []string{"Content-Length", "Date", "Connection", "Set-Cookie"} {
		delete(kept, name)
	}
	return kept
}

// replay repeats a stored answer.
func (c *call) replay(a *ClaimAnswer) {
	c.p.metrics.events[eventReplayed].Inc()
	c.run, c.status, c.outcome = model.Ran, a.Status, outcomeAnswered
	h := c.w.Header()
	maps.Copy(h, a.Header)
	c.decorate(h)
	h[HeaderReplayed] = []string{"true"}
	h["Content-Length"] = []string{strconv.Itoa(len(a.Body))}
	c.w.WriteHeader(a.Status)
	if _, err := c.w.Write(a.Body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		panic(http.ErrAbortHandler)
	}
}
