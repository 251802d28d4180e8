package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/crashguard"
	"github.com/lentilflow/lentilflow/pkg/gossip"
)

const (
	// crashWriteTimeout bounds one write of a record of crashes to the store,
	// crashWriteRetry is the time between two attempts, and crashWriteAttempts their
	// number. They cover an outage of the store of some minutes.
	crashWriteTimeout  = time.Second
	crashWriteRetry    = 2 * time.Second
	crashWriteAttempts = 100
)

// onCrash records a crash of the upstream for a request that was running, and
// reports it to all other nodes.
func (a *Agent) onCrash(f crashguard.Fingerprint, c crashguard.Crash) {
	a.crashRecords.RecordLocal(f, a.self.Service, c)
	if r, ok := a.crashRecords.Lookup(f); ok && r.Refused(time.Now()) {
		a.guard.Go("save crash record", func() { a.saveCrashes(f, r) })
	}
	a.gossip.ReportCrash(context.Background(), gossip.CrashNotice{Fingerprint: f, Service: a.self.Service, Crash: &c})
}

// onCompleted handles the completion of a request that was suspected of having
// caused a crash: it records the completion and reports it to all other nodes.
func (a *Agent) onCompleted(f crashguard.Fingerprint) {
	if err := a.crashRecords.ReportCompleted(context.Background(), f); err != nil {
		a.log.Warn("completion of a suspected request could not be recorded", zap.Stringer("fingerprint", f), zap.Error(err))
	}
	a.guard.Go("report completion", func() {
		a.gossip.ReportCrash(context.Background(), gossip.CrashNotice{Fingerprint: f, Service: a.self.Service})
	})
}

// saveCrashes writes the record of a refused request to the store, where it is found if
// all processes end together, and removes it once it has expired. A request with one
// crash is not written: an upstream that ends takes up to as many requests with it as
// it has slots.
func (a *Agent) saveCrashes(f crashguard.Fingerprint, r crashguard.Record) {
	for attempt := range crashWriteAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), crashWriteTimeout)
		err := a.crashStore.SaveCrashes(ctx, f, r)
		cancel()
		if err == nil {
			a.log.Info("refused request is recorded in the store", zap.Stringer("fingerprint", f), zap.String("service", r.Service),
				zap.Int("crashes", len(r.Crashes)), zap.Int("attempts", attempt+1))
			time.AfterFunc(crashguard.RefusalTime, func() { a.guard.Do("remove crash records", a.removeExpiredCrashes) })
			return
		}
		if attempt == 0 {
			a.log.Warn("refused request cannot be recorded in the store yet", zap.Stringer("fingerprint", f), zap.Error(err))
		}
		time.Sleep(crashWriteRetry)
	}
}

// recoverCrashes reads the records of refused requests from the store, once.
func (a *Agent) recoverCrashes(ctx context.Context) {
	if a.crashesRead.Load() {
		return
	}
	records, ok := a.crashesInStore(ctx)
	if !ok {
		return
	}
	a.crashesRead.Store(true)
	for f, r := range records {
		if r.Check(time.Now()) == nil && a.crashRecords.Merge(f, r) {
			a.log.Info("request is refused because of crashes that the store has recorded", zap.Stringer("fingerprint", f),
				zap.String("service", r.Service), zap.Int("crashes", len(r.Crashes)))
		}
	}
}

func (a *Agent) crashesInStore(ctx context.Context) (map[crashguard.Fingerprint]crashguard.Record, bool) {
	ctx, cancel := context.WithTimeout(ctx, crashWriteTimeout)
	defer cancel()
	records, err := a.crashStore.Crashes(ctx)
	if err != nil {
		a.log.Warn("records of crashes cannot be read from the store", zap.Error(err))
	}
	return records, err == nil
}

// removeExpiredCrashes removes the records that have expired from the store, also those
// of processes that have ended.
func (a *Agent) removeExpiredCrashes() {
	records, _ := a.crashesInStore(context.Background())
	var expired []crashguard.Fingerprint
	for f, r := range records {
		if !r.Refused(time.Now()) {
			expired = append(expired, f)
		}
	}
	if len(expired) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashWriteTimeout)
	defer cancel()
	if err := a.crashStore.RemoveCrashes(ctx, expired); err != nil {
		a.log.Warn("expired records of crashes cannot be removed from the store", zap.Error(err))
	}
}
