package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/lentilflow/lentilflow/pkg/admission"
	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/contain"
	"github.com/lentilflow/lentilflow/pkg/crashguard"
	"github.com/lentilflow/lentilflow/pkg/h1"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/rollout"
	"github.com/lentilflow/lentilflow/pkg/shaping"
	"github.com/lentilflow/lentilflow/pkg/upstream"
)

const (
	// defaultRankFloor is the percentage of the slots reserved for the rank of
	// a route to the service, if the route sets none. It prevents the
	// starvation of any kind of call: a quarter of the mean share is the least
	// that the users accept.
	defaultRankFloor = 10
	// upstreamIdleTimeout closes idle connections to the upstream before the
	// upstream does, unless its Keep-Alive field states a shorter time. Common
	// servers keep connections open for 5 s or longer.
	upstreamIdleTimeout = 4 * time.Second
	// upstreamDialTimeout limits a new connection to the process on the same
	// VM.
	upstreamDialTimeout = 300 * time.Millisecond
	// upstreamProbeInterval and upstreamUserTimeout detect unresponsive
	// connections, as described at h1.Liveness.
	upstreamProbeInterval = time.Second
	upstreamUserTimeout   = 2 * time.Second
	// responseGrace is how long past the deadline the node waits for a
	// response. The upstream stops its work at the deadline as well, so its
	// response may arrive just after it.
	responseGrace = 40 * time.Millisecond
)

// Local runs attempts on the upstream of this VM. Its exported fields are set
// before the first use. Its methods are safe for concurrent use.
type Local struct {
	Node         model.NodeID
	Service      string
	Names        HeaderNames
	Log          *zap.Logger
	Metrics      *Metrics
	Config       *config.Holder
	CrashRecords crashguard.Registry
	Guard        *contain.Guard
	Load         LoadPolicy
	// Link paces the downloads that leave this VM and records the other
	// responses.
	Link *shaping.Link
	// OnServingChange is called when the upstream starts or stops serving, or when the
	// version of its software becomes known or changes. The mutex of Local may be held,
	// so it must not call methods of Local that lock it.
	OnServingChange func(serving bool)
	// Rollouts decides which versions of the software may run attempts; nil: all of them.
	// OnlyOrdered says that this holds before the first order too, so that this node must
	// know the version in use before its upstream is used.
	Rollouts    *rollout.Table
	OnlyOrdered bool
	// OnCrash records a crash and shares it with remote nodes. Several calls of
	// it may run at the same time.
	OnCrash func(f crashguard.Fingerprint, c crashguard.Crash)
	// OnSuspectCompleted reports to remote nodes that a request with a crash
	// record ran to its end. Several calls of it may run at the same time.
	OnSuspectCompleted func(f crashguard.Fingerprint)
	// OnDeparture is called when the upstream has stated in a response that it
	// leaves. The mutex of Local may be held.
	OnDeparture func(d upstream.Departure)

	pool     *h1.Pool
	gate     *admission.Gate
	stopping atomic.Bool
	// requestsSent counts the requests that were sent to the upstream, without
	// health checks.
	requestsSent  atomic.Int64
	stated        statedLimit
	statementLog  lineLimiter
	startTime     time.Time
	running       inFlightAttempts
	buffered      bufferedBytes
	waiting       waitingAttempts
	recovered     chan struct{} // closed by the first RecoverDepartures
	recoveredOnce sync.Once
	// recoveryDeadline is until when health checks wait for the first RecoverDepartures.
	recoveryDeadline atomic.Pointer[time.Time]
	versions         versionState

	mu          sync.Mutex
	tracker     upstream.Tracker
	unreachable bool
	boot        atomic.Pointer[upstream.Boot] // the boot that is serving; nil if there is none
}

// NewLocal initializes the unexported fields of l for the upstream at an
// address, as host:port, and returns l.
func NewLocal(l *Local, address string) *Local {
	live := h1.Liveness{DialTimeout: upstreamDialTimeout, ProbeInterval: upstreamProbeInterval, UserTimeout: upstreamUserTimeout}
	l.pool = &h1.Pool{Address: address, IdleTimeout: upstreamIdleTimeout, MaxIdleConns: maxIdleConns, Dial: live.Dialer(), OnMalformed: l.observeMalformed}
	l.gate = admission.NewGate(admission.Limits{Slots: 1})
	l.gate.Guard = l.Guard
	l.tracker.VerifyFirstBoot = true
	l.startTime = time.Now()
	l.recovered = make(chan struct{})
	l.statementLog.limiter = rate.NewLimiter(statementLinesPerSecond, statementLinesPerSecond)
	return l
}

// Serving reports whether the upstream accepts attempts now.
func (l *Local) Serving() bool {
	b := l.boot.Load()
	return b != nil && !l.stopping.Load() && l.servesVersion(b.Software)
}

// State returns the load of the upstream and its newest boot; the last result
// says whether a boot is known.
func (l *Local) State() (admission.State, upstream.Boot, bool) {
	l.mu.Lock()
	boot, known := l.tracker.Newest()
	l.mu.Unlock()
	return l.gate.State(), boot, known
}

// Busy reports whether attempts are waiting or running.
func (l *Local) Busy() bool {
	s := l.gate.State()
	return s.Running+s.Waiting > 0
}

// Stop refuses all further attempts, and those that wait for a slot once they
// get one. Attempts that run are not affected.
func (l *Local) Stop() {
	if l.stopping.Swap(true) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gate.EndRateLimit() // the calls that wait for it are refused at once
	if l.boot.Load() != nil {
		l.OnServingChange(false)
	}
}

// Run waits for a slot and runs an attempt. The request is sent at most once.
// Either the response or the refusal is nil.
func (l *Local) Run(ctx context.Context, att *Attempt) (*Response, *Refusal) {
	if _, r := l.bootFor(att); r != nil {
		return nil, r
	}
	if l.crashSuspected(att) {
		return nil, newRefusal(model.CrashSuspected)
	}
	if r := l.linkRefusal(att); r != nil {
		return nil, r
	}
	transfer := l.reserveLink(att)
	returned := false
	defer func() { // also after a panic
		if !returned {
			transfer.end(false)
		}
	}()
	res, r := l.admitAndRun(ctx, att)
	if r != nil {
		return nil, r
	}
	returned = true
	if att.Download {
		res.transfer = transfer.Transfer
		done := res.finish
		res.finish = func(complete bool) {
			defer transfer.end(complete)
			done(complete)
		}
	}
	return res, nil
}

// linkReservation is the capacity of the link reserved for a download. For
// other attempts it is empty.
type linkReservation struct{ *shaping.Transfer }

func (l *Local) reserveLink(att *Attempt) linkReservation {
	if !att.Download {
		return linkReservation{}
	}
	return linkReservation{l.Link.Begin(att.Route, att.Due)}
}

func (r linkReservation) end(complete bool) {
	if r.Transfer != nil {
		r.Done(complete)
	}
}

// acquireSlot waits for a slot of the upstream.
func (l *Local) acquireSlot(ctx context.Context, att *Attempt) (admission.Slot, *Refusal) {
	ctx, done := l.waiting.add(ctx, att.ID)
	defer done()
	team, weight := l.teamOf(att)
	slot, refused := l.gate.Acquire(ctx, admission.Call{
		Rank: att.Rank, Rule: att.Route, Weight: att.Weight, Team: team, TeamWeight: weight, Inner: att.Inner, MaxQueueTime: att.MaxWait,
	}, att.Deadline, att.Due)
	if refused == nil {
		if slot.Overtook() {
			l.Metrics.countLoadDecision(decisionTeamShare)
		}
		if slot.Reserved() {
			l.Metrics.countLoadDecision(decisionReserved)
		}
		return slot, nil
	}
	r := newRefusal(refused.Reason)
	r.RetryAfter, r.ExpectedWait = refused.RetryAfter, refused.QueueTime
	if refused.Late {
		r.Decision = decisionLate
		l.Metrics.countLoadDecision(decisionLate)
	}
	if r.Reason == model.CallerGone {
		r.Reason = endedReason(ctx)
	}
	return slot, r
}

// admitAndRun runs an attempt once the upstream has a slot for it.
func (l *Local) admitAndRun(ctx context.Context, att *Attempt) (*Response, *Refusal) {
	arrived := time.Now()
	slot, r := l.acquireSlot(ctx, att)
	if r != nil {
		return nil, r
	}
	outcome, returned := admission.Other, false
	defer func() { // also after a panic
		if !returned {
			slot.Release(outcome)
		}
	}()
	admitted := time.Now()
	l.Metrics.observeQueueTime(att.Rank, admitted.Sub(arrived))
	boot, r := l.bootFor(att) // it may have left while the attempt waited
	if r == nil && l.crashSuspected(att) {
		r = newRefusal(model.CrashSuspected)
	}
	if r != nil {
		return nil, r
	}
	res, r := l.exchange(ctx, att, boot)
	l.countForRollout(att, boot, res, r, time.Since(admitted))
	if r != nil {
		outcome = slotOutcome(r)
		return nil, r
	}
	returned = true
	l.Metrics.observeServiceTime(att.Rank, time.Since(admitted))
	res.QueueTime, res.ServiceTime = admitted.Sub(arrived), time.Since(admitted)
	done := res.finish
	res.finish = func(complete bool) {
		if complete {
			outcome = admission.Completed
		}
		defer slot.Release(outcome)
		done(complete)
	}
	if !att.Download || !isSuccess(res.Status) {
		return res, nil
	}
	buffered := false
	defer func() {
		if !buffered {
			res.Finish(false)
		}
	}()
	if r := l.bufferResponse(ctx, res); r != nil {
		return nil, r
	}
	buffered = true
	return res, nil
}

func slotOutcome(r *Refusal) admission.Outcome {
	switch r.Reason {
	case model.UpstreamShed, model.UpstreamLost, model.UpstreamUnreachable:
		return admission.Shed
	case model.DeadlineExceeded:
		return admission.TimedOut
	}
	return admission.Other
}

// exchange sends an attempt to the upstream. It returns the response, or a
// refusal if the request was not run or has no response.
func (l *Local) exchange(ctx context.Context, att *Attempt, boot *upstream.Boot) (*Response, *Refusal) {
	remaining := time.Until(att.Deadline)
	if remaining < time.Millisecond {
		return nil, newRefusal(model.DeadlineExceeded)
	}
	ctx, cancel := context.WithDeadline(ctx, att.Deadline.Add(responseGrace))
	entry := l.running.add(att, boot)
	end := func() {
		l.running.remove(entry)
		cancel()
	}
	returned := false
	defer func() { // also after a panic
		if !returned {
			end()
		}
	}()
	l.requestsSent.Add(1)
	l.Metrics.countRequestSent()
	o := att.outgoing(l.matchesRequest(att.RequestID),
		h1.Field{Name: l.Names.Deadline, Value: millis(remaining)},
		h1.Field{Name: l.Names.ExpectedBoot, Value: boot.ID},
	)
	o.ID = att.RequestID
	a, err := l.pool.Do(ctx, o)
	if err != nil {
		return nil, l.refusalFor(ctx, entry, err)
	}
	var statement bootStatement
	if a.Status != http.StatusMisdirectedRequest { // which is the response of another boot
		statement = l.observeResponse(att.RequestID, boot, a.Header, entry.started)
	}
	if r := l.notRunRefusal(a, boot); r != nil {
		if a.Header.Get(l.Names.RequestID) != "" {
			a.AvoidFor(att.RequestID)
			discard(a)
		}
		a.Close() // closes the connection if the body was not read
		return nil, r
	}
	stripInternalFields(a.Header)
	returned = true
	return &Response{Response: a, statement: statement, finish: func(complete bool) {
		defer end()
		switch {
		case complete && a.EndsWithConnection:
			l.examine(entry, attemptEnd{sent: true, endsWithConnection: true})
		case complete:
			l.reportCompleted(att)
		}
	}, onReadError: func(err error) {
		l.examine(entry, attemptEnd{sent: true, gaveUp: ctx.Err() != nil, err: err})
	}}, nil
}

// matchesRequest returns a function that reports whether a response belongs to
// the request with an ID. A response without a request ID is accepted only if
// it is of a kind that an upstream sends before it runs a request, and the first
// one of its connection. Such a response on a reused connection may be a late copy.
// exchange does not use the connection of such a response again.
func (l *Local) matchesRequest(id string) func(int, http.Header, bool) bool {
	return func(status int, h http.Header, reused bool) bool {
		got := h.Get(l.Names.RequestID)
		return got == id || got == "" && !reused && (h.Get(l.Names.NotRun) != "" || status == http.StatusMisdirectedRequest)
	}
}

// notRunRefusal returns the refusal for a response that states that the request
// was not run, or nil for other responses.
func (l *Local) notRunRefusal(a *h1.Response, boot *upstream.Boot) *Refusal {
	if a.Status == http.StatusMisdirectedRequest {
		l.markUnreachable(boot, "another boot answers at its address")
		r := newRefusal(model.NoUpstream)
		r.Unreached = false
		return r
	}
	if a.Header.Get(l.Names.NotRun) == "" {
		return nil
	}
	r := &Refusal{Reason: model.UpstreamShed, RunState: model.NotRun}
	if after, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64); err == nil && after > 0 {
		r.RetryAfter = time.Duration(min(after, maxRetryAfter.Seconds()) * float64(time.Second))
	}
	return r
}

// maxRetryAfter limits the Retry-After of an upstream's refusal that is passed on.
// Callers wait for a part of their time at most, so a longer time is of no use.
const maxRetryAfter = 10 * time.Second

// refusalFor returns the refusal for an exchange that failed with err.
func (l *Local) refusalFor(ctx context.Context, e *runningAttempt, err error) *Refusal {
	var f *h1.ExchangeError
	run := model.RunUnknown
	if errors.As(err, &f) && !f.Sent {
		run = model.NotRun
	}
	switch {
	case ctx.Err() != nil:
		return &Refusal{Reason: endedReason(ctx), RunState: run, Unreached: run == model.NotRun, Cause: err}
	case run == model.NotRun:
		if errors.Is(err, syscall.ECONNREFUSED) {
			l.markUnreachable(e.boot, "refuses connections")
		}
		return &Refusal{Reason: model.UpstreamUnreachable, RunState: run, Unreached: true, Cause: err}
	}
	l.examine(e, attemptEnd{sent: true, err: err})
	return &Refusal{Reason: model.UpstreamLost, RunState: run, Cause: err}
}

// discard reads up to maxDiscard bytes of the rest of a response that is not
// passed on, so that its connection can be used again.
func discard(a *h1.Response) {
	var buf [maxDiscard]byte
	for left := maxDiscard; left > 0; {
		n, err := a.Read(buf[:left])
		left -= n
		if err != nil {
			break
		}
	}
	a.Close()
}

// maxDiscard limits what is read of a response that is not passed on, in bytes.
// Such responses are refusals. One with a longer body costs its connection, which
// is closed unless the body was read to its end.
const maxDiscard = 2 << 10
