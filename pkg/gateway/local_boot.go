package gateway

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/admission"
	"github.com/lentilflow/lentilflow/pkg/h1"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/upstream"
)

// Report applies a report of the upstream and returns what it led to. When
// Report returns, the report is in effect for all further attempts. If the
// report has to be verified first, Report asks the upstream for its boot in the
// background.
func (l *Local) Report(r upstream.Report) upstream.Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.tracker.Report(r)
	switch v {
	case upstream.Unverified, upstream.Disputed:
		l.Guard.Go("prove boot", func() { l.verifyBoot(r.ID, r.Start) })
		return v
	case upstream.Stale, upstream.Doubtful:
		return v
	}
	l.unreachable = false
	l.versions.observeWarmUp(r.WarmupRemaining)
	l.updateBoot(string(v))
	return v
}

// identifyTimeout limits the request that asks the upstream for its boot.
// Without a response the next report decides.
const identifyTimeout = 500 * time.Millisecond

// assumedSlots is the assumed number of slots of an upstream that has responded
// but has not sent a report yet. If it has fewer slots, the excess requests
// wait at the upstream itself.
const assumedSlots = 8

// maxRecoveryWait bounds the wait of the first health checks for the departures that
// earlier processes have acknowledged: a boot that leaves may still respond. A node
// without the store knows other nodes as soon as it has a configuration, and has their
// answers a round trip later.
const maxRecoveryWait = time.Second

// RecoverDepartures applies departures that earlier processes of this node have acknowledged.
// complete says that none is missing.
func (l *Local) RecoverDepartures(departures []upstream.Departure, complete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if complete {
		l.tracker.TrustReports()
	}
	if l.tracker.Recover(departures) == upstream.Changed {
		l.updateBoot("had left before the restart of the node")
	}
	l.recoveredOnce.Do(func() { close(l.recovered) })
}

// awaitRecovery waits for the first RecoverDepartures, until maxRecoveryWait after its first call.
func (l *Local) awaitRecovery() {
	l.recoveryDeadline.CompareAndSwap(nil, new(time.Now().Add(maxRecoveryWait)))
	t := time.NewTimer(time.Until(*l.recoveryDeadline.Load()))
	defer t.Stop()
	select {
	case <-l.recovered:
	case <-t.C:
	}
}

// HasHealthPath reports whether the upstream can be asked for its boot, as far as the
// configuration in force says.
func (l *Local) HasHealthPath() bool {
	path, known := l.healthPath()
	return !known || path != ""
}

// healthPath returns the path of the upstream's health check, "" if it has none. known
// is false if no configuration says so.
func (l *Local) healthPath() (path string, known bool) {
	s := l.Config.Current()
	if s == nil {
		return "", false
	}
	service, ok := s.Service(l.Service)
	if !ok {
		return "", false
	}
	return service.HealthPath, true
}

// DetectBoot asks the upstream for its boot, so that a node that restarts next
// to a running upstream does not have to wait for the next report, which may be
// 1.5 s away. The request is limited to 500 ms, after maxRecoveryWait.
func (l *Local) DetectBoot() {
	id, ok := l.queryBoot()
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tracker.Discover(id, assumedSlots) == upstream.Changed {
		l.updateBoot("found")
	}
}

// queryBoot returns the boot that responds to a health check at the upstream's
// address. ok is false if the upstream is leaving or does not respond, or if
// its health path is not known.
func (l *Local) queryBoot() (boot string, ok bool) {
	path, _ := l.healthPath()
	if path == "" {
		return "", false
	}
	l.awaitRecovery()
	ctx, cancel := context.WithTimeout(context.Background(), identifyTimeout)
	defer cancel()
	sentAt := time.Now()
	a, err := l.pool.Do(ctx, &h1.Request{Method: http.MethodGet, Target: path, Host: l.pool.Address})
	if err != nil {
		l.Log.Info("upstream did not respond to the health check for its boot; its next report decides", zap.Error(err))
		return "", false
	}
	a.Close()
	boot = a.Header.Get(l.Names.Boot)
	if a.Status != http.StatusOK || boot == "" {
		l.Log.Info("upstream is unhealthy or its response names no boot; its next report decides", zap.Int("status", a.Status), zap.String("boot", boot))
		return "", false
	}
	if l.observeHealthCheck(boot, a.Header, sentAt).Leaving {
		return "", false
	}
	return boot, true
}

// verifyBoot asks the upstream whether it is the boot of a report. The report may be a
// late one of an earlier process, or of one that has already announced that it leaves.
func (l *Local) verifyBoot(id string, start upstream.Start) {
	l.mu.Lock()
	departures := l.tracker.Departures()
	l.mu.Unlock()
	actualID, ok := l.queryBoot()
	if !ok {
		return
	}
	if actualID != id {
		l.Log.Info("upstream did not confirm a report; the next one decides", zap.String("boot", id), zap.String("answered", actualID))
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tracker.Verify(id, start, departures) == upstream.Changed {
		l.unreachable = false
		l.updateBoot("proven")
	}
}

// Leave records that a boot of the upstream is leaving. When Leave returns, that boot
// gets no further attempts. It also returns the departure that must be known before it is
// acknowledged.
func (l *Local) Leave(id string, start upstream.Start) (upstream.Verdict, upstream.Departure) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v, d := l.tracker.Leave(id, start, time.Now())
	if v == upstream.Changed {
		l.updateBoot("left")
	}
	return v, d
}

// updateBoot replaces the serving boot by the current one of the tracker. The
// caller must hold l.mu.
func (l *Local) updateBoot(reason string) {
	old := l.boot.Load()
	b, ok := l.tracker.Current()
	ok = ok && !l.unreachable
	if ok {
		l.applyLimits(&b) // before the first call of the boot
		l.boot.Store(&b)
	} else {
		l.boot.Store(nil)
		l.gate.EndRateLimit() // the calls that wait for it are refused at once
	}
	if old != nil && (!ok || old.ID != b.ID || old.Start != b.Start) {
		l.pool.Close()
	}
	if (old != nil) == ok && (old == nil || old.ID == b.ID && old.Start == b.Start) {
		l.updateServing()
		return
	}
	newest, known := l.tracker.Newest()
	l.Log.Info("upstream changed", zap.String("why", reason), zap.Bool("serving", ok), zap.Bool("known", known),
		zap.String("boot", newest.ID), zap.Int64("born_ms", newest.Start.UnixMilli()), zap.Int("slots", newest.Slots),
		zap.Bool("draining", newest.Draining), zap.Bool("unreachable", l.unreachable), zap.String("software", newest.Software))
	l.updateServing()
}

// limits returns the slots and the rate limit of a boot, and the floors of the
// ranks that have a route to its service, or that teams give to its calls.
func (l *Local) limits(b *upstream.Boot) admission.Limits {
	limits := admission.Limits{Slots: b.Slots, RefuseLate: l.Load.RefuseLate, ReserveForInner: l.Load.ReserveForInner}
	if !l.stopping.Load() {
		limits.RateLimit, limits.RateLimited = l.stated.of(b)
	}
	s := l.Config.Current()
	if s == nil {
		return limits
	}
	for i := range s.Routes {
		r := &s.Routes[i]
		for _, share := range r.Split {
			if share.Service != l.Service {
				continue
			}
			floor := defaultRankFloor
			if r.Floor > 0 {
				floor = r.Floor
			}
			limits.Floors[r.Rank] = max(limits.Floors[r.Rank], floor)
		}
	}
	if limits.Floors == [admission.Ranks]int{} {
		return limits // without a route, no team calls the service
	}
	for i := range s.Teams {
		if r := s.Teams[i].Rank; r != nil {
			limits.Floors[*r] = max(limits.Floors[*r], defaultRankFloor)
		}
	}
	return limits
}

// Reconfigure applies the configuration in force: it updates the floors, and
// verifies reports that arrived before the health path was known.
func (l *Local) Reconfigure() {
	l.mu.Lock()
	unverified := l.tracker.Unverified()
	l.mu.Unlock()
	for _, r := range unverified { // the health path was not known when they arrived
		l.Guard.Go("prove boot", func() { l.verifyBoot(r.ID, r.Start) })
	}
	l.updateLimits()
}

// markUnreachable marks a boot as unreachable because it does not accept
// connections or because another boot responds at its address. The next report
// of the upstream ends that.
func (l *Local) markUnreachable(boot *upstream.Boot, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.boot.Load()
	if current == nil || !current.Same(boot) {
		return
	}
	l.unreachable = true
	l.updateBoot(reason)
}

// availableBoot returns the boot that may run an attempt for a service, or a
// refusal.
func (l *Local) availableBoot(service string) (*upstream.Boot, *Refusal) {
	if l.stopping.Load() {
		return nil, newRefusal(model.NodeDraining)
	}
	b := l.boot.Load()
	if b == nil || service != l.Service {
		return nil, newRefusal(model.NoUpstream)
	}
	return b, nil
}
