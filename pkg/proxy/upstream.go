package proxy

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/lentilflow/lentilflow/pkg/admission"
	"github.com/lentilflow/lentilflow/pkg/crashguard"
	"github.com/lentilflow/lentilflow/pkg/model"
)

const (
	// probeTimeout bounds the look whether a lost upstream still accepts
	// connections.
	probeTimeout = 200 * time.Millisecond
	// probePeriod is how often an unreachable upstream is looked at.
	probePeriod = 500 * time.Millisecond
	// noticeTime bounds the sharing of a crash notice.
	noticeTime = 10 * time.Second
)

// job is one attempt as the node beside the upstream sees it.
type job struct {
	in       *http.Request
	header   http.Header // without hop-by-hop and Lentilflow- fields
	body     *body
	rule     string
	rank     model.Rank
	worth    int
	target   time.Duration
	deadline time.Time
	depth    int
}

func (j *job) fingerprint() crashguard.Fingerprint {
	return crashguard.Of(crashguard.Request{
		Method: j.in.Method, Rule: j.rule, Target: j.in.URL.RequestURI(), Body: j.body.start(),
	})
}

// answer is the head of an upstream's answer, with its body still to be read.
type answer struct {
	resp *http.Response
	busy time.Duration       // waited for a slot and for the upstream
	end  func(complete bool) // must be called once the body was read or given up
}

// runUpstream admits a job and runs it at the local upstream.
func (p *Proxy) runUpstream(ctx context.Context, j *job) (*answer, *refusal) {
	if r := p.refuseCrasher(j); r != nil {
		return nil, r
	}
	arrived := time.Now()
	slot, refused := p.gate.Acquire(ctx, admission.Call{
		Rank: j.rank, Rule: j.rule, Worth: j.worth, Target: j.target,
	}, j.deadline)
	if refused != nil {
		r := refuse(refused.Reason, model.NotRun, "")
		r.retryAfter = refused.RetryAfter
		return nil, r
	}
	if r := p.refuseCrasher(j); r != nil { // another upstream fell while this call waited
		slot.Release(admission.Other)
		return nil, r
	}
	admitted := time.Now()
	observe(p.metrics.queued[j.rank], admitted.Sub(arrived))
	token := p.chains.open(link{rank: j.rank, deadline: j.deadline, depth: j.depth})
	resp, began, err := exchange(ctx, outgoing{
		transport: p.toUp, address: p.cfg.Upstream, in: j.in, header: j.upstreamHeader(token, admitted), body: j.body,
	})
	head := time.Now()
	if err != nil {
		p.chains.close(token)
		r := p.upstreamFailure(ctx, j, began, err, head.Sub(admitted))
		slot.Release(endOf(r))
		return nil, r
	}
	observe(p.metrics.upstream[j.rank], head.Sub(admitted))
	p.reached()
	a := &answer{resp: resp, busy: head.Sub(arrived)}
	if r := notAnswered(resp); r != nil {
		discard(resp)
		p.chains.close(token)
		slot.Release(endOf(r))
		return nil, r
	}
	a.end = func(complete bool) {
		_ = resp.Body.Close()
		p.chains.close(token)
		end := admission.Other
		if complete {
			end = admission.Answered
			p.exonerate(j)
		}
		slot.Release(end)
	}
	cleanAnswer(resp.Header)
	return a, nil
}

// upstreamHeader returns the fields that the upstream receives.
func (j *job) upstreamHeader(token string, now time.Time) http.Header {
	s := newSetter(maps.Clone(j.header), 3)
	s.set(HeaderDeadline, millis(j.deadline.Sub(now)))
	s.set(HeaderRank, strconv.Itoa(int(j.rank)))
	s.set(HeaderCall, token)
	return s.h
}

// millis formats a remaining time, rounded down and never negative.
func millis(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 0), 10)
}

// notAnswered returns the refusal for an answer that is none.
func notAnswered(resp *http.Response) *refusal {
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotRun) == "true":
		return refuse(model.UpstreamShed, model.NotRun, "")
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return refuse(model.UpstreamLost, model.Unknown, "the upstream switched protocols unasked")
	}
	return nil
}

// cleanAnswer removes the fields that an upstream may not set.
func cleanAnswer(h http.Header) {
	stripHop(h)
	stripOwn(h)
	delete(h, HeaderNotRun)
}

func endOf(r *refusal) admission.End {
	switch r.reason {
	case model.UpstreamShed, model.UpstreamLost, model.UpstreamUnreachable:
		return admission.Shed
	case model.DeadlineExceeded:
		return admission.TimedOut
	}
	return admission.Other
}

// upstreamFailure translates a failed exchange with the local upstream, which
// took the stated time.
func (p *Proxy) upstreamFailure(ctx context.Context, j *job, began bool, err error, took time.Duration) *refusal {
	run := runState(began)
	if r := bodyFailure(j.body, run); r != nil {
		return r
	}
	if r := ended(ctx, run); r != nil {
		return r
	}
	if !began {
		p.unreached()
		return refuse(model.UpstreamUnreachable, run, "")
	}
	p.log.Warn("connection to the upstream was lost", zapRule(j.rule), zapError(err))
	r := refuse(model.UpstreamLost, run, "")
	if p.upstreamGone(ctx) {
		r.crash = p.crashed(j, took)
		p.unreached()
	}
	return r
}

// ended returns the refusal for a call whose caller left or whose time is up.
func ended(ctx context.Context, run model.RunState) *refusal {
	switch err := ctx.Err(); {
	case err == nil:
		return nil
	case errors.Is(err, context.DeadlineExceeded):
		return refuse(model.DeadlineExceeded, run, "")
	default:
		return refuse(model.CallerGone, run, "")
	}
}

// bodyFailure returns the refusal for a request body that could not be read.
func bodyFailure(b *body, run model.RunState) *refusal {
	err := b.fault()
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errBodyTooLarge):
		return refuse(model.BodyTooLarge, run, "")
	case errors.Is(err, errBodySlow):
		return refuse(model.BadRequest, run, "the request body did not arrive in time")
	}
	return refuse(model.CallerGone, run, "the request body ended early")
}

// upstreamGone reports whether the upstream process has ended after it lost a
// connection. It looks more than once, because a process that ends may close
// its connections before its listener.
func (p *Proxy) upstreamGone(ctx context.Context) bool {
	for _, wait := range [...]time.Duration{0, 5 * time.Millisecond, 45 * time.Millisecond} {
		if !sleep(ctx, wait) {
			return false
		}
		if !p.upstreamAccepts() {
			return true
		}
	}
	return false
}

// upstreamAccepts reports whether the upstream process takes connections.
func (p *Proxy) upstreamAccepts() bool {
	c, err := net.DialTimeout("tcp", p.cfg.Upstream, probeTimeout)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// reached notes that the upstream is reachable.
func (p *Proxy) reached() {
	if p.down.Load() && p.down.CompareAndSwap(true, false) && p.cfg.UpstreamState != nil {
		p.cfg.UpstreamState(true)
	}
}

// unreached notes that the upstream is not reachable and watches it until it
// is, because other nodes send no calls that would show it.
func (p *Proxy) unreached() {
	if !p.down.CompareAndSwap(false, true) {
		return
	}
	if p.cfg.UpstreamState != nil {
		p.cfg.UpstreamState(false)
	}
	go func() {
		for p.down.Load() && sleep(p.lifetime, probePeriod) {
			if p.upstreamAccepts() {
				p.reached()
			}
		}
	}()
}

// refuseCrasher refuses a request that is known to crash upstreams. Without
// any record it costs one atomic load.
func (p *Proxy) refuseCrasher(j *job) *refusal {
	if p.notices.Empty() {
		return nil
	}
	if err := j.body.hold(holdLimit); err != nil {
		return bodyFailure(j.body, model.NotRun)
	}
	if r, ok := p.notices.Lookup(j.fingerprint()); ok && r.Refused(time.Now()) {
		return refuse(model.CrashSuspected, model.NotRun, "")
	}
	return nil
}

// exonerate tells the other nodes that a suspected request ran to its end.
func (p *Proxy) exonerate(j *job) {
	if p.notices.Empty() {
		return
	}
	f := j.fingerprint()
	if _, ok := p.notices.Lookup(f); !ok {
		return
	}
	p.later(noticeTime, func(ctx context.Context) {
		if err := p.notices.Completed(ctx, f); err != nil {
			p.log.Warn("completion of a suspected request was not shared", zapFingerprint(f), zapError(err))
		}
	})
}
