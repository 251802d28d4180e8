package proxy

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/lentilflow/lentilflow/pkg/balance"
	"github.com/lentilflow/lentilflow/pkg/crashguard"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/retry"
)

// maxRefusedPause is the longest time after which a caller is asked to come
// back when every upstream refuses calls of its rank.
const maxRefusedPause = 2 * time.Second

// dispatch makes attempts until one brings an answer or no more are allowed.
func (c *call) dispatch(ctx context.Context) (*answer, *refusal) {
	rule := &c.route.Rule
	for made := 0; ; made++ {
		a, ref := c.attempt(ctx)
		if ref == nil {
			return a, nil
		}
		c.ran = c.ran || ref.run != model.NotRun
		if ref.final {
			return nil, ref
		}
		verdict, delay := retry.Decide(retry.Failure{Reason: ref.reason, Run: ref.run}, retry.Call{
			Idempotent: rule.Idempotent, Retries: rule.Retries, Made: made,
			Remaining: time.Until(c.deadline), Replayable: c.body.replayable(),
		}, c.p.budget, rand.Float64())
		c.p.metrics.verdicts[verdict].Inc()
		if verdict != retry.Retry || !sleep(ctx, delay) {
			return nil, ref
		}
		c.waited += delay
		c.p.metrics.retries.WithLabelValues(string(ref.reason)).Inc()
	}
}

// attempt chooses an upstream and runs the call there once.
func (c *call) attempt(ctx context.Context) (*answer, *refusal) {
	p := c.p
	entries := p.cfg.Roster.Service(c.route.Rule.Service)
	choice, ref := c.choose(entries)
	if ref != nil {
		return nil, ref
	}
	e := &entries[choice.Index]
	c.attempts++
	c.upstream = e.Node
	c.avoid = append(c.avoid, e.Node)
	p.metrics.distances[choice.Distance].Inc()
	begun := time.Now()
	choice.Evidence.Begin(begun.Sub(p.start))
	j := c.job()
	var a *answer
	if e.Node == p.cfg.Self && p.cfg.Upstream != "" {
		a, ref = p.runUpstream(ctx, j)
	} else {
		a, ref = c.runPeer(ctx, j, e)
	}
	took := time.Since(begun)
	if ref != nil {
		choice.Evidence.End(begun.Add(took).Sub(p.start), c.rank, ref.evidence(), took)
		return nil, ref
	}
	end := a.end
	a.end = func(complete bool) {
		end(complete)
		o := balance.Accepted
		if !complete && c.r.Context().Err() != nil {
			o = balance.Neutral
		} else if !complete {
			o = balance.Failed
		}
		choice.Evidence.End(time.Since(p.start), c.rank, o, took)
	}
	return a, nil
}

// choose picks an upstream that this call has not tried, or any if it has
// tried them all.
func (c *call) choose(entries []model.Entry) (balance.Choice, *refusal) {
	request := balance.Request{
		Entries: entries, From: c.p.cfg.Location, Prefer: c.route.Rule.Prefer, Rank: c.rank,
		Avoid: c.avoid, Now: time.Since(c.p.start), Random: rand.Uint64(),
	}
	choice, result := c.p.picker.Pick(request)
	if result == balance.NoEntry && len(c.avoid) > 0 {
		request.Avoid = nil
		choice, result = c.p.picker.Pick(request)
	}
	switch result {
	case balance.NoEntry:
		ref := refuse(model.NoUpstream, model.NotRun, "")
		ref.final = true
		return choice, ref
	case balance.Overloaded:
		ref := refuse(model.Overloaded, model.NotRun, "every upstream has refused calls of this rank")
		ref.final, ref.retryAfter = true, rand.N(maxRefusedPause)+1
		return choice, ref
	}
	return choice, nil
}

func (c *call) job() *job {
	rule := &c.route.Rule
	return &job{
		in: c.r, header: c.r.Header, body: c.body, rule: rule.Name, rank: c.rank, worth: rule.Worth,
		target: rule.Target, deadline: c.deadline, depth: c.depth,
	}
}

// runPeer sends the call to the node beside the chosen upstream.
func (c *call) runPeer(ctx context.Context, j *job, e *model.Entry) (*answer, *refusal) {
	p := c.p
	if ref := p.refuseCrasher(j); ref != nil {
		return nil, ref
	}
	sent := time.Now()
	resp, began, err := exchange(ctx, outgoing{
		transport: p.toPeers, address: e.AddressFrom(p.cfg.Location.Region), in: j.in, header: c.peerHeader(j, sent), body: j.body,
	})
	if err != nil {
		return nil, peerFailure(ctx, j, began)
	}
	if v, err := strconv.ParseUint(resp.Header.Get(HeaderVersion), 10, 64); err == nil {
		p.hint(c.snap, model.Version(v))
	}
	if ref := peerRefusal(resp.Header); ref != nil {
		discard(resp)
		if ref.crash != "" {
			p.notices.Learn(j.fingerprint(), c.route.Rule.Service, crashguard.Crash{ID: ref.crash, Upstream: e.Node, At: time.Now(), Ran: time.Since(sent)})
		}
		return nil, ref
	}
	busy, err := strconv.ParseInt(resp.Header.Get(HeaderBusy), 10, 64)
	if err != nil {
		_ = resp.Body.Close()
		return nil, refuse(model.UpstreamLost, model.Unknown, "the answer did not come from a node")
	}
	return &answer{
		resp: resp, busy: time.Duration(busy) * time.Microsecond,
		end: func(bool) { _ = resp.Body.Close() },
	}, nil
}

// peerFailure translates a failed exchange with a peer.
func peerFailure(ctx context.Context, j *job, began bool) *refusal {
	run := runState(began)
	if ref := bodyFailure(j.body, run); ref != nil {
		return ref
	}
	if ref := ended(ctx, run); ref != nil {
		return ref
	}
	if began {
		return refuse(model.UpstreamLost, run, "the connection to the node beside the upstream was lost")
	}
	return refuse(model.UpstreamUnreachable, run, "the node beside the upstream cannot be reached")
}

// peerHeader returns the fields for the hop to the node beside the upstream.
func (c *call) peerHeader(j *job, now time.Time) http.Header {
	s := newSetter(maps.Clone(j.header), 9)
	s.set(HeaderRule, j.rule)
	s.set(HeaderVersion, formatVersion(c.snap))
	s.set(HeaderRank, strconv.Itoa(int(j.rank)))
	s.set(HeaderDeadline, millis(j.deadline.Sub(now)))
	s.set(HeaderAttempt, strconv.Itoa(c.attempts))
	s.set(HeaderDepth, strconv.Itoa(j.depth))
	s.set(HeaderOrigin, string(c.p.cfg.Self))
	s.set(HeaderWorth, strconv.Itoa(max(j.worth, 1)))
	s.set(HeaderTarget, strconv.FormatInt(j.target.Microseconds(), 10))
	return s.h
}
