package agent

import (
	"context"
	"time"

	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/recovery"
	"github.com/lentilflow/lentilflow/pkg/sleep"
	"github.com/lentilflow/lentilflow/pkg/upstream"
)

const (
	// fleetWait bounds the wait of a node that starts for its first view of the
	// fleet, before it asks other nodes what they hold; fleetPollInterval is the time
	// between two checks.
	fleetWait         = 2 * time.Second
	fleetPollInterval = 20 * time.Millisecond
)

// reportReceiver passes reports of the upstream on to the gateway. It acknowledges a
// departure once the store or another node holds it.
type reportReceiver struct{ a *Agent }

// Report implements ReportReceiver.
func (r reportReceiver) Report(report upstream.Report) (upstream.Verdict, error) {
	v := r.a.local.Report(report)
	if !report.Draining {
		return v, nil
	}
	return v, r.a.departureSaver.Save(upstream.Departure{ID: report.ID, Start: report.Start})
}

// Leave implements ReportReceiver.
func (r reportReceiver) Leave(id string, start upstream.Start) (upstream.Verdict, error) {
	v, d := r.a.local.Leave(id, start)
	return v, r.a.departureSaver.Save(d)
}

// onDeparture hands on a departure that the upstream has stated in a response.
func (a *Agent) onDeparture(d upstream.Departure) {
	a.guard.Go("save stated departure", func() { _ = a.departureSaver.Save(d) }) // an error is logged there
}

// recoverRecords gets back what earlier processes of this node have acknowledged.
func (a *Agent) recoverRecords(ctx context.Context) error {
	if a.firstStart() {
		a.local.SetVersionsKnown(false)
		a.local.RecoverDepartures(nil, true)
	} else {
		a.guard.Go("await versions", func() { a.awaitVersions(ctx) })
		r := &recovery.Recoverer{
			Node: a.self.Node, Held: a.heldDepartures, Store: a.recoveryStore, AskOthers: a.askOthers, HasHealthPath: a.local.HasHealthPath,
			Apply: a.local.RecoverDepartures, OnStoreRead: a.departureSaver.RecordStored, Guard: a.guard, Log: a.log,
		}
		r.Run(ctx)
		a.guard.Go("await store", func() { r.AwaitStore(ctx) })
	}
	a.gossip.SetSettled()
	for !a.firstStart() && a.settledNodes.Load() == 0 && !a.crashesRead.Load() && ctx.Err() == nil {
		a.recoverCrashes(ctx)
		sleep.For(ctx, crashWriteRetry)
	}
	<-ctx.Done()
	return nil
}

// askOthers implements recovery.Recoverer.AskOthers. Every settled node has all records
// of crashes; without one they are read from the store.
func (a *Agent) askOthers(ctx context.Context) (answers recovery.Answers, ok bool) {
	for end := time.Now().Add(fleetWait); !a.fleetView.Loaded(); {
		if ctx.Err() != nil || time.Now().After(end) {
			return recovery.Answers{}, false
		}
		sleep.For(ctx, fleetPollInterval)
	}
	answers = a.gossip.Recover(ctx)
	a.versionsAsked.Store(true)
	if answers.Settled > 0 {
		a.setVersionsKnown()
	}
	if a.settledNodes.Add(int64(answers.Settled)) == 0 {
		a.recoverCrashes(ctx)
	}
	return answers, true
}

// versionsWait bounds the wait of a node that starts until it knows which software version
// of its service is in use, from its first configuration on: no other node may know it.
const versionsWait = 2 * time.Second

// awaitVersions waits until this node can know which version is in use. Orders come with the
// configuration. On a VM that is new, another node has to say which version is in use
// without an order; elsewhere the upstream was in use before.
func (a *Agent) awaitVersions(ctx context.Context) {
	var end time.Time
	for ctx.Err() == nil {
		inForce := a.configHolder.Current() != nil
		if inForce && end.IsZero() {
			end = time.Now().Add(versionsWait)
		}
		newVM := a.newVM.Load()
		if inForce && (newVM != nil && !*newVM || a.versionsAsked.Load() || time.Now().After(end)) {
			a.setVersionsKnown()
			return
		}
		sleep.For(ctx, fleetPollInterval)
	}
}

func (a *Agent) setVersionsKnown() {
	a.versionsKnownOne.Do(func() {
		newVM := a.newVM.Load()
		a.local.SetVersionsKnown(newVM != nil && *newVM)
	})
}

// noteRegistration records whether the first fleet that this process knows has the row of
// this node.
func (a *Agent) noteRegistration(f *fleet.Snapshot) {
	_, registered := f.Registered(a.self.Node)
	a.newVM.CompareAndSwap(nil, new(!registered))
}
