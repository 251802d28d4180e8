package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/h1"
	"github.com/lentilflow/lentilflow/pkg/model"
)

const (
	// maxIdleConns limits the idle connections to one address. It covers the
	// attempts in flight to one upstream.
	maxIdleConns = 32
	// peerIdleTimeout closes idle connections to remote nodes long before the
	// remote nodes do (peerServerIdleTimeout).
	peerIdleTimeout       = 20 * time.Second
	peerServerIdleTimeout = time.Minute
	// peerDialShare limits a new connection to a remote node to a share of the
	// remaining time, so that the call can still go to another node. For the
	// shortest calls, which have 200 ms, the limit is 80 ms. A connection takes
	// 24 ms between regions, and up to 350 ms more on a link of 7 Mbit/s that
	// carries a configuration. unresponsiveShare of minPeerDial, 45 ms, must be
	// longer than those 24 ms, or nodes of other regions would count as
	// unresponsive.
	peerDialShare = 0.4
	minPeerDial   = 60 * time.Millisecond
	maxPeerDial   = 500 * time.Millisecond
	// unresponsiveShare is the share of the limit of a new connection after
	// which a node that has not accepted it counts as unresponsive, even if the
	// caller disconnects before the limit.
	unresponsiveShare = 0.75
	// peerProbeInterval and peerUserTimeout detect connections to nodes that
	// are gone, as described at h1.Liveness.
	peerProbeInterval = time.Second
	peerUserTimeout   = 1500 * time.Millisecond
	// remoteResponseGrace is how long past the deadline the node waits for the
	// local node of the upstream, which knows whether the request has run. A
	// round trip between regions takes 24 ms.
	remoteResponseGrace = responseGrace + 60*time.Millisecond
)

// Remote runs attempts on remote nodes. Its methods are safe for concurrent
// use.
type Remote struct {
	Names  HeaderNames
	Config *config.Holder

	// Self is the name of this node.
	Self model.NodeID

	attemptCount   atomic.Uint64
	mu             sync.Mutex
	activeAttempts map[string]string // address of the remote node by attempt ID, "" for this node
	pools          map[string]*h1.Pool
	liveness       h1.Liveness
	statements     remoteStatements
}

// NewRemote returns a Remote without connections. self is the name of this
// node.
func NewRemote(self model.NodeID, names HeaderNames, c *config.Holder) *Remote {
	return &Remote{
		Self: self, Names: names, Config: c, activeAttempts: make(map[string]string), pools: make(map[string]*h1.Pool),
		liveness: h1.Liveness{DialTimeout: maxPeerDial, ProbeInterval: peerProbeInterval, UserTimeout: peerUserTimeout},
	}
}

// CloseUnusedPools closes the idle connections to every address for which used
// returns false, and removes what is known of the upstream there. used must not
// call methods of the Remote, whose mutex is held.
func (r *Remote) CloseUnusedPools(used func(address string) bool) {
	r.statements.retain(used)
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, p := range r.pools {
		if !used(address) {
			p.Close()
			delete(r.pools, address)
		}
	}
}

func (r *Remote) pool(address string) *h1.Pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.pools[address]
	if !ok {
		p = &h1.Pool{Address: address, IdleTimeout: peerIdleTimeout, MaxIdleConns: maxIdleConns, Dial: r.liveness.Dialer()}
		r.pools[address] = p
	}
	return p
}

// beginAttempt registers a new attempt and returns its ID. end must be called
// once its response has begun.
func (r *Remote) beginAttempt(address string) (attemptID string, end func()) {
	attemptID = string(r.Self) + "/" + strconv.FormatUint(r.attemptCount.Add(1), 10)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeAttempts[attemptID] = address
	return attemptID, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.activeAttempts, attemptID)
	}
}

// attemptSender returns the node that has begun an attempt.
func attemptSender(attemptID string) model.NodeID {
	node, _, _ := strings.Cut(attemptID, "/")
	return model.NodeID(node)
}

// Run sends an attempt to the node at an address, as host:port. The request is
// sent at most once. Either the response or the refusal is nil.
func (r *Remote) Run(ctx context.Context, address string, att *Attempt) (*Response, *Refusal) {
	ctx, cancel := context.WithDeadline(ctx, att.Deadline.Add(remoteResponseGrace))
	f := callFields{
		service: att.Service, route: att.Route, rank: att.Rank, weight: att.Weight, remaining: time.Until(att.Deadline),
		maxWait: att.MaxWait, idempotent: att.Idempotent, version: r.Config.Version(), download: att.Download, latencyTarget: att.LatencyTarget,
		team: att.Team,
	}
	if !att.Due.IsZero() {
		f.dueIn = time.Until(att.Due)
	}
	attemptID, end := r.beginAttempt(address)
	defer end()
	o := att.outgoing(func(status int, h http.Header, _ bool) bool {
		return h.Get(headerAttempt) == attemptID || att.Team != "" && r.lacksTeams(status, h)
	},
		h1.Field{Name: headerCall, Value: f.String()}, h1.Field{Name: headerAttempt, Value: attemptID})
	o.DialTimeout = dialTimeout(f.remaining)
	if att.Inner {
		o.Fields = append(o.Fields, h1.Field{Name: headerInner, Value: flag(true)})
	}
	if att.Rollout != "" {
		o.Fields = append(o.Fields, h1.Field{Name: headerRollout, Value: att.Rollout})
	}
	if s, ok := r.statements.get(address); ok {
		o.Fields = append(o.Fields, h1.Field{Name: headerUpstream, Value: s.String()})
	}
	began := time.Now()
	a, err := r.pool(address).Do(ctx, o)
	if err != nil {
		unresponsive := time.Since(began) >= time.Duration(unresponsiveShare*float64(o.DialTimeout))
		refusal := remoteRefusal(ctx, err, unresponsive)
		cancel()
		return nil, refusal
	}
	if att.Team != "" && r.lacksTeams(a.Status, a.Header) {
		discard(a)
		cancel()
		return nil, &Refusal{Reason: model.UpstreamUnreachable, RunState: model.NotRun, Unreached: true, Cause: errEarlierRelease}
	}
	if text := a.Header.Get(headerRefusal); text != "" {
		discard(a)
		cancel()
		if refusal, ok := parseRefusal(text); ok {
			if refusal.versions = a.Header.Get(headerRollout); refusal.versions != "" {
				refusal.Reason = model.VersionNotAllowed
			}
			return nil, refusal
		}
		return nil, &Refusal{Reason: model.UpstreamLost, RunState: model.RunUnknown, Cause: errNotFromNode}
	}
	times, ok := strings.CutPrefix(a.Header.Get(headerAnswer), "upstream ")
	if !ok {
		a.Close()
		cancel()
		return nil, &Refusal{Reason: model.UpstreamLost, RunState: model.RunUnknown, Cause: errNotFromNode}
	}
	r.statements.observe(address, a.Header.Get(headerUpstream), began)
	stripInternalFields(a.Header)
	res := &Response{Response: a, finish: func(bool) { cancel() }}
	if s, ok := r.statements.get(address); ok {
		res.statement = s.bootStatement
	}
	if waited, ran, ok := strings.Cut(times, " "); ok {
		res.QueueTime, _ = parseMillis(waited)
		res.ServiceTime, _ = parseMillis(ran)
	}
	return res, nil
}

// errEarlierRelease means that a node does not understand attempts with a team.
var errEarlierRelease = errors.New("node of an earlier release does not accept calls with a team")

// lacksTeams reports whether a response to an attempt with a team is that of a node
// of an earlier release, which refuses the 12th word of Lentilflow-Call with status
// 400 before it runs anything, and does not state the attempt. An upstream that
// responds at the address of a former node signs its responses.
func (r *Remote) lacksTeams(status int, h http.Header) bool {
	return status == http.StatusBadRequest && h.Get(headerAttempt) == "" && h.Get(r.Names.Signature) == "" && h.Get(r.Names.RequestID) == ""
}

// errNotFromNode means that a response was not sent by a node.
var errNotFromNode = errors.New("response lacks a valid Lentilflow-Answer or Lentilflow-Refusal field")

// formatTimes returns the content of Lentilflow-Answer.
func formatTimes(r *Response) string {
	return "upstream " + millis(r.QueueTime) + " " + millis(r.ServiceTime)
}

// dialTimeout returns the time limit of a new connection for a call with the
// given remaining time.
func dialTimeout(remaining time.Duration) time.Duration {
	return min(max(time.Duration(peerDialShare*float64(remaining)), minPeerDial), maxPeerDial)
}

// remoteRefusal returns the refusal for an exchange that failed with err.
// unresponsive says that the exchange took at least unresponsiveShare of the
// limit of a new connection.
func remoteRefusal(ctx context.Context, err error, unresponsive bool) *Refusal {
	var f *h1.ExchangeError
	r := &Refusal{Reason: model.UpstreamLost, RunState: model.RunUnknown, Cause: err}
	if errors.As(err, &f) && !f.Sent {
		r.Reason, r.RunState, r.Unreached = model.UpstreamUnreachable, model.NotRun, true
		// This holds also if the caller disconnected first: otherwise calls
		// with less time than the limit of a new connection would never reveal
		// that a node is gone.
		r.NodeUnresponsive = unresponsive && !errors.Is(err, syscall.ECONNREFUSED)
	}
	if ctx.Err() != nil {
		r.Reason = endedReason(ctx)
	}
	return r
}

// PeerServer returns the server for the attempts of remote nodes.
func (g *Gateway) PeerServer() *h1.Server {
	return &h1.Server{
		Handle:  g.handlePeer,
		Limits:  g.peerLimits,
		OnFault: g.onFault("peer"),
		OnPanic: g.onPanic("job"),
	}
}

func (g *Gateway) peerLimits() h1.Limits {
	l := g.callerLimits()
	l.MaxHeaderBytes += peerHeaderSpace
	l.IdleTimeout = peerServerIdleTimeout
	return l
}

// peerHeaderSpace is the space for the fields that a node adds to the head of a
// request, in bytes.
const peerHeaderSpace = 4 << 10

// handlePeer runs or withdraws an attempt of a remote node.
func (g *Gateway) handlePeer(x *h1.Exchange) {
	if attemptID := x.Request.Header.Get(headerWithdraw); attemptID != "" {
		g.Local.waiting.withdraw(attemptID)
		_ = x.Reply(&h1.Reply{Status: http.StatusNoContent})
		return
	}
	f, ok := parseCallFields(x.Request.Header.Get(headerCall))
	if !ok {
		g.callLog.Warn("request on the peer listener lacks a valid Lentilflow-Call field")
		_ = x.Reply(&h1.Reply{Status: http.StatusBadRequest})
		return
	}
	attemptID := x.Request.Header.Get(headerAttempt)
	if f.version > g.Config.Version() {
		g.OnNewerConfig(f.version, attemptSender(attemptID))
	}
	if text := x.Request.Header.Get(headerUpstream); text != "" {
		g.Local.adoptStatement(x.Request.Header.Get(g.Names.RequestID), text)
	}
	order := x.Request.Header.Get(headerRollout)
	h1.RemoveHopByHopFields(x.Request.Header)
	stripInternalFields(x.Request.Header)
	g.applyTeam(x.Request.Header, f.team)
	att := &Attempt{
		RequestID: x.Request.Header.Get(g.Names.RequestID), Method: x.Request.Method, Target: x.Request.RequestURI, Host: x.Request.Host,
		Header: x.Request.Header, Body: x.Body, Rest: x.Rest, Length: x.Length,
		Service: f.service, Route: f.route, Team: f.team, Rank: f.rank, Weight: f.weight, Idempotent: f.idempotent, MaxWait: f.maxWait,
		Deadline: x.Arrived.Add(f.remaining), Download: f.download, LatencyTarget: f.latencyTarget, ID: attemptID, Rollout: order,
	}
	if f.latencyTarget > 0 {
		att.Due = x.Arrived.Add(f.dueIn)
	}
	res, refusal := g.Local.Run(x.Context(), att)
	if refusal != nil {
		g.logRemoteAttempt(att, refusal)
		g.sendRefusal(x, refusal, attemptID)
		return
	}
	defer res.Finish(false)
	res.Header[headerAnswer] = []string{formatTimes(res)}
	res.Header[headerAttempt] = []string{attemptID}
	if res.statement.notable() {
		res.Header[headerUpstream] = []string{res.statement.String()}
	}
	reply := &h1.Reply{Status: res.Status, Header: res.Header, Rest: res, Length: res.Length}
	if res.transfer != nil && isSuccess(res.Status) {
		paceReply(x.Context(), g.Local.Link, att, res.transfer, reply)
	} else {
		g.Local.Link.RecordSent(0)
		reply.Rest = g.Local.Link.SentBody(res)
	}
	err := x.Reply(reply)
	res.Finish(err == nil)
	if err != nil {
		g.logRemoteAttempt(att, &Refusal{Reason: model.UpstreamLost, RunState: model.RunUnknown, Cause: err})
	}
}

func (g *Gateway) sendRefusal(x *h1.Exchange, r *Refusal, attemptID string) {
	header := http.Header{headerRefusal: {r.String()}, headerAttempt: {attemptID}}
	if r.Reason == model.VersionNotAllowed {
		// Nodes of earlier releases do not know the reason; they try another node after
		// this one.
		known := *r
		known.Reason = model.NoUpstream
		header[headerRefusal], header[headerRollout] = []string{known.String()}, []string{g.Local.versionHint()}
	}
	err := x.Reply(&h1.Reply{Status: http.StatusServiceUnavailable, Header: header})
	if err != nil && !h1.ClientGone(x.Context()) {
		g.callLog.Debug("refusal could not be sent to the remote node", zapError(err))
	}
}
