package gateway

import (
	"encoding/base64"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/rollout"
	"github.com/lentilflow/lentilflow/pkg/upstream"
)

// versionState is what Local knows about versions of the software beside the Table.
type versionState struct {
	// known says that this node has learnt what other nodes and the store know of
	// rollouts, and newVM that it runs for the first time on its VM.
	known, newVM atomic.Bool
	// coldUntil is until when the upstream is slow after its start, in Unix nanoseconds.
	coldUntil atomic.Int64
	// recorder counts the requests while a rollout is running; nil if there is none.
	recorder atomic.Pointer[rollout.Recorder]
	// serving and software are what OnServingChange was last called for. They are
	// protected by Local.mu.
	serving  bool
	software string
}

func (v *versionState) observeWarmUp(remaining time.Duration) {
	v.coldUntil.Store(time.Now().Add(remaining).UnixNano())
}

// SetVersionsKnown records that this node has learnt what other nodes and the store know
// of rollouts. newVM says that it runs for the first time on its VM.
func (l *Local) SetVersionsKnown(newVM bool) {
	l.versions.newVM.Store(newVM)
	l.versions.known.Store(true)
	l.RefreshVersion()
}

// RefreshVersion announces whether the upstream serves, if what is known of rollouts has
// changed that.
func (l *Local) RefreshVersion() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateServing()
}

// updateServing calls OnServingChange if the upstream starts or stops serving, or if the
// version of its software has changed and a rollout may depend on it. The caller must
// hold l.mu.
func (l *Local) updateServing() {
	if l.stopping.Load() {
		return
	}
	b, v := l.boot.Load(), &l.versions
	serving, software := b != nil && l.servesVersion(b.Software), ""
	if b != nil {
		software = b.Software
	}
	matters := l.OnlyOrdered || l.Rollouts != nil && l.Rollouts.Current().Of(l.Service) != nil
	changed := serving != v.serving || matters && serving && software != v.software
	if !changed {
		return
	}
	v.serving, v.software = serving, software
	if b != nil && !serving && !l.awaitsVersions() {
		l.Log.Warn("software version of the upstream is not in use, and no order allows it now; it gets no requests",
			zap.String("boot", b.ID), zap.String("software", software))
	}
	l.OnServingChange(serving)
}

// Software returns the version of the software of the upstream, "" if it is not known.
func (l *Local) Software() string {
	if b := l.boot.Load(); b != nil {
		return b.Software
	}
	return ""
}

// Available reports whether the upstream would serve if its version may.
func (l *Local) Available() bool { return l.boot.Load() != nil && !l.stopping.Load() }

// servesVersion reports whether upstreams of a version run any attempts.
func (l *Local) servesVersion(software string) bool {
	if l.Rollouts == nil {
		return true
	}
	if l.awaitsVersions() {
		return false
	}
	v := l.Rollouts.Current().Of(l.Service)
	switch {
	case v == nil:
		return true
	case l.isUnknownOnNewVM(v, software):
		return false
	}
	return v.Serves(software)
}

// awaitsVersions reports whether this node does not know yet which version is in use.
func (l *Local) awaitsVersions() bool { return l.OnlyOrdered && !l.versions.known.Load() }

// isUnknownOnNewVM reports whether the upstream was found on a new VM and has not reported
// its version yet. It may be of another version than the one in use, which it need not be
// after a restart of a node.
func (l *Local) isUnknownOnNewVM(v *rollout.View, software string) bool {
	return software == "" && v.Phase == rollout.NoOrder && l.versions.newVM.Load()
}

// bootFor returns the boot that may run an attempt, or a refusal.
func (l *Local) bootFor(att *Attempt) (*upstream.Boot, *Refusal) {
	b, r := l.availableBoot(att.Service)
	if r != nil || l.Rollouts == nil {
		return b, r
	}
	v := l.Rollouts.Current().Of(l.Service)
	if v == nil && !l.awaitsVersions() {
		return b, nil
	}
	if v == nil || l.awaitsVersions() || l.isUnknownOnNewVM(v, b.Software) || !v.Admit(b.Software, att.Rollout, time.Now()) {
		return nil, newRefusal(model.VersionNotAllowed)
	}
	return b, nil
}

// SetRecorder sets what counts the requests from now on; nil ends the counting.
func (l *Local) SetRecorder(r *rollout.Recorder) { l.versions.recorder.Store(r) }

// countForRollout counts a request that was sent to the upstream, if a rollout of its
// service is running.
func (l *Local) countForRollout(att *Attempt, b *upstream.Boot, res *Response, r *Refusal, ran time.Duration) {
	rec := l.versions.recorder.Load()
	if rec == nil || b.Software == "" {
		return
	}
	outcome, counts := l.rolloutOutcome(res, r)
	if !counts {
		return
	}
	if now := time.Now(); now.UnixNano() < l.versions.coldUntil.Load() && now.Before(rec.ColdUntil) {
		outcome = rollout.Cold
	}
	rec.Record(b.Software, att.Route, outcome, ran)
}

// rolloutOutcome returns how a request ended. counts is false if the upstream has not run
// it, as when it is full, or if its caller has gone.
func (l *Local) rolloutOutcome(res *Response, r *Refusal) (o rollout.Outcome, counts bool) {
	switch {
	case r != nil && (r.RunState == model.NotRun || r.Reason != model.UpstreamLost && r.Reason != model.DeadlineExceeded):
		return 0, false
	case r != nil && r.Reason == model.DeadlineExceeded, r == nil && res.Status == http.StatusGatewayTimeout:
		return rollout.TimedOut, true
	case r != nil, res.Status >= http.StatusInternalServerError, res.Status < http.StatusMultipleChoices && res.Header.Get(l.Names.Signature) == "":
		return rollout.Failed, true
	}
	return rollout.Answered, true
}

// versionHint is what a node that refuses an attempt because of the version tells the node
// of the caller.
type versionHint struct {
	Software string         `json:"software,omitempty"`
	Rollout  *rollout.State `json:"rollout,omitempty"`
}

// versionHint returns the content of Lentilflow-Rollout of a refusal.
func (l *Local) versionHint() string {
	h := versionHint{Software: l.Software()}
	if l.Rollouts != nil {
		if v := l.Rollouts.Current().Of(l.Service); v != nil {
			h.Rollout = new(v.Sent(time.Now()))
		}
	}
	text, err := json.Marshal(h)
	if err != nil {
		return "" // the field is only a hint
	}
	return base64.RawURLEncoding.EncodeToString(text)
}

// learnVersions applies what a remote node has said when it refused an attempt.
func (g *Gateway) learnVersions(from model.NodeID, text string) {
	var h versionHint
	body, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || text == "" || json.Unmarshal(body, &h) != nil || g.Rollouts == nil || len(h.Software) > fleet.MaxNameBytes {
		return
	}
	if h.Software != "" {
		g.View.SetSoftware(from, h.Software)
	}
	if h.Rollout == nil || h.Rollout.Check() != nil {
		return
	}
	if fresh := g.Rollouts.Merge([]rollout.State{*h.Rollout}, time.Now()); len(fresh) > 0 && g.OnRollouts != nil {
		g.OnRollouts(fresh, from)
	}
}

// candidateSets are the nodes of the upstreams of a service, by the calls that they get
// according to a view of its rollout.
type candidateSets struct {
	fleet    *fleet.Snapshot
	view     *rollout.View
	old, new []model.UpstreamNode
}

// candidates returns the nodes that a call may be sent to, and the rollout of its service,
// nil if there is none. With it, the first attempt of a call goes to the new version with
// the probability of its share. Further attempts stay with the old version as long as that
// gets any calls.
func (g *Gateway) candidates(c *call) ([]model.UpstreamNode, *rollout.View) {
	f := g.View.Current()
	all := f.UpstreamNodes(c.attempt.Service)
	if g.Rollouts == nil {
		return all, nil
	}
	v := g.Rollouts.Current().Of(c.attempt.Service)
	if v == nil {
		c.newVersion, c.attempt.Rollout = false, ""
		return all, nil
	}
	sets := g.setsOf(c.attempt.Service, f, v)
	share := v.ShareAt(time.Now())
	c.newVersion = len(sets.new) > 0 && (share >= 1 || len(c.triedNodes) == 0 && rand.Float64() < share)
	if c.newVersion {
		c.attempt.Rollout = v.Key()
		return sets.new, v
	}
	return g.stayWithOld(c, v), v
}

// stayWithOld returns the nodes for a call that goes to the version in use.
func (g *Gateway) stayWithOld(c *call, v *rollout.View) []model.UpstreamNode {
	c.newVersion, c.attempt.Rollout = false, ""
	f := g.View.Current()
	old := g.setsOf(c.attempt.Service, f, v).old
	if len(old) == 0 && (!v.HasOrder() || v.Phase == rollout.Completed) {
		return f.UpstreamNodes(c.attempt.Service) // their nodes know their versions
	}
	return old
}

// setsOf returns the nodes of a service by the calls that they get. It keeps the result for
// the same fleet and rollout.
func (g *Gateway) setsOf(service string, f *fleet.Snapshot, v *rollout.View) *candidateSets {
	if known, ok := g.candidateSets.Load(service); ok {
		if s := known.(*candidateSets); s.fleet == f && s.view == v {
			return s
		}
	}
	s := &candidateSets{fleet: f, view: v}
	for _, n := range f.UpstreamNodes(service) {
		switch v.SideOf(n.Node, n.Software) {
		case rollout.Old:
			s.old = append(s.old, n)
		case rollout.New:
			s.new = append(s.new, n)
		}
	}
	g.candidateSets.Store(service, s)
	return s
}
