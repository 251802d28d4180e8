package gossip

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/jsonlist"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/recovery"
	"github.com/lentilflow/lentilflow/pkg/rollout"
	"github.com/lentilflow/lentilflow/pkg/sleep"
)

const (
	// pathDepartures is the path of messages with departures that the receiving node
	// is to hold, and pathRecover that of requests for what a node holds.
	pathDepartures = "/v1/departures"
	pathRecover    = "/v1/recover"
	// pathHoldings is the path of messages with all departures of a node's upstream.
	pathHoldings = "/v1/holdings"
	// handOverPeriod is the time between two checks whether the holders have changed.
	handOverPeriod = time.Second
	// keepersPerDeparture is the number of nodes that hold a departure beside its own
	// node. If one does not respond, the next one is asked, up to maxKeepers.
	keepersPerDeparture = 3
	maxKeepers          = 8
	// recoverFrom is the number of nodes that a node which starts asks. They include
	// the nodes that hold its departures, unless several of these have ended.
	recoverFrom = 5
	// zoneKeepers is the number of keepers in the zone of a node, if other zones have
	// nodes too. A zone may lose power as a whole.
	zoneKeepers = 2
)

// recoverRequest asks a node for what it holds.
type recoverRequest struct {
	Node model.NodeID `json:"node"` // that asks
}

// recoverResponse is what a node holds.
type recoverResponse struct {
	// Settled says that the node has itself recovered what other nodes hold, or has
	// run for so long that nothing earlier matters.
	Settled bool `json:"settled,omitempty"`
	// Complete says that no departure is missing that was sent to the node by the one
	// that asks.
	Complete   bool                 `json:"complete,omitempty"`
	Departures []recovery.Departure `json:"departures,omitempty"`
	// Crashes are the records of requests that have crashed upstreams, also of those
	// that are not refused yet.
	Crashes []CrashRecord `json:"crash_records,omitempty"`
	// Rollouts and States are those of an Update.
	Rollouts []rollout.State `json:"rollout_states,omitempty"`
	States   []State         `json:"states,omitempty"`
}

// holdings are all departures of the upstream of a node that has recovered them.
type holdings struct {
	Node       model.NodeID         `json:"node"`
	Departures []recovery.Departure `json:"departures,omitempty"`
}

func checkDeparture(d *recovery.Departure) error { return d.Check() }

// keepers returns the nodes that hold departures of this node, in the order in which
// they are asked: two of its zone, the first node of each other zone beginning with
// those of its region, and then the further ones in the same way.
func (n *Node) keepers() []fleet.Member {
	own, remote := n.zonePeers(), n.remoteZones()
	var near, far []model.AvailabilityZone
	for _, zone := range slices.Sorted(maps.Keys(remote)) {
		if remote[zone][0].Location.Region == n.Self.Location.Region {
			near = append(near, zone)
		} else {
			far = append(far, zone)
		}
	}
	var all []fleet.Member
	for round := 0; len(all) < maxKeepers; round++ {
		before := len(all)
		all = append(all, own[min(round*zoneKeepers, len(own)):min((round+1)*zoneKeepers, len(own))]...)
		for _, zone := range slices.Concat(near, far) {
			if members := remote[zone]; round < len(members) {
				all = append(all, members[round])
			}
		}
		if len(all) == before {
			break
		}
	}
	return all[:min(len(all), maxKeepers)]
}

// Replicate sends a departure to keepersPerDeparture other nodes and calls confirmed
// for each that holds it, possibly concurrently. It returns when these sends have ended.
func (n *Node) Replicate(ctx context.Context, d recovery.Departure, confirmed func()) {
	all := n.keepers()
	var next atomic.Int64
	forEach(holders(all), func(fleet.Member) {
		for {
			i := int(next.Add(1)) - 1
			if i >= len(all) {
				return
			}
			err := n.post(ctx, all[i], pathDepartures, []recovery.Departure{d}, nil)
			if err == nil {
				confirmed()
				return
			}
			n.handleSendError(all[i], err)
			n.Log.Warn("departure was not delivered", zap.String("to", string(all[i].Node)), zap.String("boot", d.ID), zap.Error(err))
		}
	})
}

func (n *Node) handleDepartures(c echo.Context) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxStatesBytes))
	if err != nil {
		return err
	}
	departures, err := jsonlist.Decode(body, checkDeparture, n.logIgnored(""))
	if err != nil || len(departures) == 0 {
		n.Log.Warn("departures from another node are invalid", zap.String("remote", c.RealIP()), zap.Error(err))
		return c.NoContent(http.StatusBadRequest)
	}
	n.Departures.Add(departures, time.Now())
	for _, d := range departures {
		n.Log.Info("departure of an upstream is held for another node", zap.String("other", string(d.Node)), zap.String("boot", d.ID), zap.Int64("born_ms", d.Start.UnixMilli()))
	}
	return c.NoContent(http.StatusNoContent)
}

// holders returns the keepers to which departures are sent first.
func holders(keepers []fleet.Member) []fleet.Member {
	return keepers[:min(len(keepers), keepersPerDeparture)]
}

// pendingHolders returns the holders to which the departures were not handed over.
func (n *Node) pendingHolders() []fleet.Member {
	return slices.DeleteFunc(holders(n.keepers()), func(m fleet.Member) bool {
		_, done := n.handedOver.Load(m)
		return done
	})
}

// RunHandOver sends all departures of this node's upstream to its holders, once this node
// has recovered them, and to each node that becomes a holder later. These may have lost
// what they held, and can answer for it again. It returns nil when ctx ends.
func (n *Node) RunHandOver(ctx context.Context) error {
	for ctx.Err() == nil {
		if n.Settled() {
			n.handOver(ctx)
		}
		sleep.For(ctx, handOverPeriod)
	}
	return nil
}

// handOver sends the departures to the holders that do not have them yet. A failed send
// is repeated handOverPeriod later, unless another node is the holder by then.
func (n *Node) handOver(ctx context.Context) {
	pending := n.pendingHolders()
	if len(pending) == 0 {
		return
	}
	h := holdings{Node: n.Self.Node, Departures: n.Departures.Held(n.Self.Node, time.Now())}
	forEach(pending, func(m fleet.Member) {
		if err := n.post(ctx, m, pathHoldings, h, nil); err != nil {
			n.handleSendError(m, err)
			n.Log.Warn("departures were not handed over", zap.String("to", string(m.Node)), zap.Error(err))
			return
		}
		n.handedOver.Store(m, nil)
	})
}

// Recovered reports whether this node has recovered what other nodes hold, and whether
// its holders can answer for it.
func (n *Node) Recovered() bool { return n.Settled() && len(n.pendingHolders()) == 0 }

func (n *Node) handleHoldings(c echo.Context) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxStatesBytes))
	if err != nil {
		return err
	}
	var h holdings
	rest, departures, err := takeList(body, "departures", checkDeparture, n.logIgnored(""))
	if err == nil {
		err = json.Unmarshal(rest, &h)
	}
	if err != nil || h.Node == "" || len(h.Node) > fleet.MaxNameBytes {
		n.Log.Warn("departures that are handed over are invalid", zap.String("remote", c.RealIP()), zap.Error(err))
		return c.NoContent(http.StatusBadRequest)
	}
	n.Departures.Add(departures, time.Now())
	n.Departures.RecordComplete(h.Node)
	n.Log.Info("departures of an upstream are held again for another node", zap.String("other", string(h.Node)), zap.Int("departures", len(departures)))
	return c.NoContent(http.StatusNoContent)
}

// Settled reports whether this node has recovered what other nodes hold.
func (n *Node) Settled() bool { return n.settled.Load() }

// SetSettled records that this node has recovered what other nodes hold, or that
// nothing earlier can matter any more.
func (n *Node) SetSettled() { n.settled.Store(true) }

func (n *Node) handleRecover(c echo.Context) error {
	var r recoverRequest
	if err := readMessage(c, &r); err != nil || r.Node == "" || len(r.Node) > fleet.MaxNameBytes {
		n.Log.Warn("request to recover is invalid", zap.String("remote", c.RealIP()), zap.Error(err))
		return c.NoContent(http.StatusBadRequest)
	}
	now := time.Now()
	return c.JSON(http.StatusOK, recoverResponse{
		Settled: n.Settled(), Complete: n.Departures.CompleteFor(r.Node, now), Departures: n.Departures.All(now), Crashes: n.crashRecords(false),
		Rollouts: n.rolloutStates(), States: n.exceptionalStates(),
	})
}

// Recover asks a few other nodes for what they hold and adds it to what this node
// holds.
func (n *Node) Recover(ctx context.Context) recovery.Answers {
	all := n.keepers()
	first := holders(all)
	answers := recovery.Answers{Others: max(len(n.View.Current().Members)-1, 0), Holders: len(first)}
	var mu sync.Mutex
	forEach(all[:min(len(all), recoverFrom)], func(m fleet.Member) {
		var text []byte
		if err := n.post(ctx, m, pathRecover, recoverRequest{Node: n.Self.Node}, &text); err != nil {
			n.handleSendError(m, err)
			return
		}
		r, err := n.decodeRecoverResponse(text, m.Node)
		if err != nil {
			n.Log.Warn("what another node holds cannot be decoded", zap.String("from", string(m.Node)), zap.Error(err))
			return
		}
		n.Departures.Add(r.Departures, time.Now())
		n.mergeCrashes(r.Crashes, m.Node)
		n.applyStates(r.States)
		n.mergeRollouts(r.Rollouts, m.Node)
		mu.Lock()
		defer mu.Unlock()
		if r.Settled {
			n.Departures.RecordComplete(m.Node)
			answers.Settled++
		}
		if r.Complete && slices.Contains(first, m) {
			answers.CompleteHolders++
		}
	})
	return answers
}

// decodeRecoverResponse decodes a recoverResponse. Entries that cannot be used are
// left out.
func (n *Node) decodeRecoverResponse(text []byte, from model.NodeID) (r recoverResponse, err error) {
	rest, departures, err := takeList(text, "departures", checkDeparture, n.logIgnored(from))
	var crashes []CrashRecord
	if err == nil {
		rest, crashes, err = takeList(rest, "crash_records", checkCrashRecord, n.logIgnored(from))
	}
	var rollouts []rollout.State
	if err == nil {
		rest, rollouts, err = takeList(rest, "rollout_states", checkRollout, n.logIgnored(from))
	}
	var states []State
	if err == nil {
		rest, states, err = takeList(rest, "states", checkState, n.logIgnored(from))
	}
	if err == nil {
		err = json.Unmarshal(rest, &r)
	}
	r.Departures, r.Crashes, r.Rollouts, r.States = departures, crashes, rollouts, states
	return r, err
}

// maxSharedRecords bounds the records of crashes in one message. One has about 300
// bytes. Those with the most crashes are sent first.
const maxSharedRecords = 512

// crashRecords returns the records of requests that have crashed upstreams, or only of
// those that are refused.
func (n *Node) crashRecords(refusedOnly bool) []CrashRecord {
	if n.Notices.Empty() {
		return nil
	}
	now := time.Now()
	var all []CrashRecord
	for f, r := range n.Notices.Records() {
		if !refusedOnly || r.Refused(now) {
			all = append(all, CrashRecord{f, r.WithAges(now)})
		}
	}
	slices.SortFunc(all, func(a, b CrashRecord) int {
		return cmp.Or(len(b.Crashes)-len(a.Crashes), bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return all[:min(len(all), maxSharedRecords)]
}

// mergeCrashes adds what another node knows of crashes.
func (n *Node) mergeCrashes(records []CrashRecord, from model.NodeID) {
	now := time.Now()
	for _, r := range records {
		if n.Notices.Merge(r.Fingerprint, r.Record.ReceivedAt(now)) {
			n.Log.Info("request is refused because of crashes that another node knows of", zap.Stringer("fingerprint", r.Fingerprint),
				zap.String("service", r.Service), zap.Int("crashes", len(r.Crashes)), zap.String("from", string(from)))
		}
	}
}
