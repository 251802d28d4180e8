package proxy

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/admission"
	"github.com/lentilflow/lentilflow/pkg/balance"
	"github.com/lentilflow/lentilflow/pkg/crashguard"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/retry"
	"github.com/lentilflow/lentilflow/pkg/routing"
	"github.com/lentilflow/lentilflow/pkg/rules"
)

// ErrCallsLeft means that calls were still in flight when Drain had to end.
var ErrCallsLeft = merry.Sentinel("calls were still in flight at the end of the drain")

// drainPoll is how often Drain looks for the last call to end.
const drainPoll = 5 * time.Millisecond

// Proxy runs the calls of one node. It is safe for concurrent use.
type Proxy struct {
	cfg       Config
	log       *zap.Logger
	access    *zap.Logger
	metrics   *metrics
	start     time.Time
	picker    *balance.Picker
	budget    *retry.Budget
	gate      *admission.Gate
	notices   crashguard.Notices
	chains    chains
	crashes   crashEvents
	held      memory
	toPeers   *http.Transport
	toUp      *http.Transport
	perRule   sync.Map // rule name to *atomic.Int64: calls in flight
	capacity  atomic.Pointer[routing.Snapshot]
	inFlight  atomic.Int64
	leaving   atomic.Bool // draining
	refusing  atomic.Bool // draining, and the grace time is over
	down      atomic.Bool // the upstream was unreachable at the last look
	lifetime  context.Context
	stop      context.CancelFunc
	afterward sync.WaitGroup // work that outlives a call
}

// New returns a Proxy. It does no I/O before the first call.
func New(cfg Config) *Proxy {
	cfg.Limits = cfg.Limits.withDefaults()
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	if cfg.Registerer == nil {
		cfg.Registerer = prometheus.NewRegistry()
	}
	if cfg.Notices == nil {
		cfg.Notices = crashguard.NewMemory(time.Now)
	}
	p := &Proxy{
		cfg: cfg, log: cfg.Logger.Named("proxy"), access: cfg.Logger.Named("access"),
		metrics: newMetrics(cfg.Registerer), start: time.Now(),
		picker: balance.NewPicker(), budget: retry.NewBudget(),
		gate: admission.NewGate(admission.Limits{Slots: 1}), notices: cfg.Notices,
		held:    memory{limit: cfg.Limits.HeldBodies},
		toPeers: newTransport(peerIdle), toUp: newTransport(upstreamIdle),
	}
	p.lifetime, p.stop = context.WithCancel(context.Background())
	p.gauges(cfg.Registerer)
	return p
}

// CallHandler serves callers.
func (p *Proxy) CallHandler() http.Handler { return http.HandlerFunc(p.serveCall) }

// PeerHandler serves calls that other nodes send. Requests below
// rules.ReservedPath must not reach it; see SplitPeer.
func (p *Proxy) PeerHandler() http.Handler { return http.HandlerFunc(p.servePeer) }

// SplitPeer returns the handler of the peer listener: requests below
// rules.ReservedPath go to messages, except for crash notices, which the Proxy
// takes itself; all others are calls. A http.ServeMux does
// not do for calls, because it answers paths such as "//a" with a redirect.
func (p *Proxy) SplitPeer(messages http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == noticePath:
			p.serveNotice(w, r)
		case strings.HasPrefix(r.URL.Path, rules.ReservedPath+"/"):
			messages.ServeHTTP(w, r)
		default:
			p.servePeer(w, r)
		}
	})
}

// Drain is called once the node has announced that it is leaving. Calls are
// served for the grace time of 3 s, in which HTTP/1 callers are asked to close
// their connections. Peers are then refused as "draining" and not run, and the
// caller listener is closed; calls on its open connections still go to other
// nodes. Drain returns when no call is in flight, or with ErrCallsLeft when ctx
// ends first. The Proxy takes no calls afterwards.
func (p *Proxy) Drain(ctx context.Context) error {
	defer p.stop()
	p.leaving.Store(true)
	sleep(ctx, p.cfg.Limits.DrainGrace)
	p.refusing.Store(true)
	if p.cfg.StopCallers != nil {
		p.cfg.StopCallers(ctx)
	}
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for p.inFlight.Load() > 0 {
		select {
		case <-ctx.Done():
			return merry.Wrap(ErrCallsLeft, merry.AppendMessagef("%d calls", p.inFlight.Load()))
		case <-tick.C:
		}
	}
	p.settle(ctx)
	p.toPeers.CloseIdleConnections()
	p.toUp.CloseIdleConnections()
	return nil
}

// settle waits for the work that outlives calls, such as stored answers.
func (p *Proxy) settle(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		p.afterward.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// sleep waits for d or until ctx ends, and reports whether d has passed.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// later runs f after the call has ended, for at most limit.
func (p *Proxy) later(limit time.Duration, f func(ctx context.Context)) {
	p.afterward.Add(1)
	go func() {
		defer p.afterward.Done()
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		f(ctx)
	}()
}

// snapshot returns the configuration in force and applies its capacity to the
// local upstream when it has changed.
func (p *Proxy) snapshot() *routing.Snapshot {
	s := p.cfg.Snapshots.Snapshot()
	if s != nil && p.capacity.Load() != s {
		p.capacity.Store(s)
		if l, ok := limitsOf(s, p.cfg.Service); ok {
			p.gate.SetLimits(l)
		}
	}
	return s
}

// hint passes on the version number of another node if it is higher.
func (p *Proxy) hint(s *routing.Snapshot, seen model.Version) {
	if p.cfg.Hints != nil && seen > versionOf(s) {
		p.cfg.Hints.VersionSeen(seen)
	}
}

func versionOf(s *routing.Snapshot) model.Version {
	if s == nil {
		return 0
	}
	return s.Info().Number
}

// limitsOf returns the capacity of the upstreams of a service. Each call in
// flight takes one connection.
func limitsOf(s *routing.Snapshot, service string) (admission.Limits, bool) {
	v, ok := s.Service(service)
	if !ok {
		return admission.Limits{}, false
	}
	return admission.Limits{Slots: min(v.Slots, v.Connections), Floors: v.Floors}, true
}

// ruleInFlight returns the counter of the calls in flight of one rule.
func (p *Proxy) ruleInFlight(rule string) *atomic.Int64 {
	if v, ok := p.perRule.Load(rule); ok {
		return v.(*atomic.Int64)
	}
	v, _ := p.perRule.LoadOrStore(rule, new(atomic.Int64))
	return v.(*atomic.Int64)
}
