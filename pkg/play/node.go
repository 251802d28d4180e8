package play

import (
	"fmt"
	"slices"
	"time"

	"github.com/lentilflow/lentilflow/pkg/admission"
	"github.com/lentilflow/lentilflow/pkg/balance"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/retry"
	"github.com/lentilflow/lentilflow/pkg/shaping"
)

const (
	// downloadLinkShare is the share of the link's bandwidth that downloads use
	// (pkg/shaping).
	downloadLinkShare = 0.9
	// partBytes is how much of a download is sent between two requests to the
	// link, in bytes (pacedReadSize in pkg/gateway).
	partBytes = 8 << 10
	// rankFloor is the floor of each rank that a request kind of the service has,
	// in percent of the slots (defaultRankFloor in pkg/gateway).
	rankFloor = 10
	// rejectTime is the time after which an upstream rejects a request that it
	// sheds.
	rejectTime = time.Millisecond
)

// node is a node together with its upstream.
type node struct {
	sim         *simulation
	serial      int // among the upstreams of its service, across all zones
	upstream    model.UpstreamNode
	zone        int
	service     *Service
	drawnSpeed  float64 // 0 if speeds are assigned in turn
	admission   *admission.Core
	picker      *balance.Picker
	budgets     map[string]*retry.Budget     // by service
	callerTimes map[string]*retry.CallerTime // by request kind
	hiccup      bool                         // the upstream is slow for a moment
	queued      map[*admission.Waiter]*attempt
	limits      admission.Limits
	// startScheduled says that startQueued will run when the rate limit permits the
	// next start.
	startScheduled bool

	link          *shaping.Core // nil if it does not limit downloads
	parts         map[*shaping.Part]*transfer
	wakeScheduled bool
	transferCount uint64
	meanSize      float64 // moving average of the sizes of downloads, in bytes
}

func newNode(sim *simulation, s *Service, zone, index int) *node {
	n := &node{
		sim: sim, serial: len(sim.upstreams[s.Name]), zone: zone, service: s, picker: balance.NewPicker(),
		budgets: make(map[string]*retry.Budget), callerTimes: make(map[string]*retry.CallerTime), queued: make(map[*admission.Waiter]*attempt), parts: make(map[*shaping.Part]*transfer),
		upstream: model.UpstreamNode{Node: model.NodeID(fmt.Sprint(s.Name, "-", zone, "-", index)), Service: s.Name, Location: location(zone)},
	}
	limits := admission.Limits{Slots: s.Slots, RefuseLate: sim.policy.RefuseLate}
	for i := range sim.scenario.Kinds {
		if k := &sim.scenario.Kinds[i]; k.Service == s.Name {
			limits.Floors[k.Rank] = rankFloor
		}
	}
	n.limits = limits
	if len(s.UpstreamsByZone) > 0 {
		n.drawnSpeed = s.Speeds[sim.clock.rnd.IntN(len(s.Speeds))]
	}
	n.admission = admission.NewCore(limits)
	if s.LinkMbps > 0 {
		n.link = shaping.NewCore(s.LinkMbps * 1e6 / 8 * downloadLinkShare)
	}
	return n
}

func location(zone int) model.Location {
	return model.Location{
		Region: model.Region(fmt.Sprint("region-", zone/2)), AvailabilityZone: model.AvailabilityZone(fmt.Sprint("zone-", zone)),
	}
}

// faultEffect is the effect of the scenario's faults on one upstream.
type faultEffect struct {
	down                           bool
	shedShare, slowdown, rateLimit float64
}

// activeFaults returns the effect of the scenario's faults on the upstream at the
// current time.
func (n *node) activeFaults() faultEffect {
	e := faultEffect{slowdown: 1}
	if n.hiccup {
		e.slowdown = hiccupFactor
	}
	for i := range n.sim.scenario.Faults {
		f := &n.sim.scenario.Faults[i]
		if !f.active(n.sim.clock.now) || f.Service != "" && f.Service != n.service.Name {
			continue
		}
		e.down = e.down || f.Down
		// The upstreams of a service are numbered across all zones.
		if float64(n.serial) >= f.UpstreamShare*float64(len(n.sim.upstreams[n.service.Name])) {
			continue
		}
		e.shedShare = max(e.shedShare, f.ShedShare)
		if f.Slowdown > 0 {
			e.slowdown *= f.Slowdown
		}
		if f.RateLimit > 0 {
			e.rateLimit = f.RateLimit
		}
	}
	return e
}

// candidates returns the upstreams of a service as the node knows them. Those that have
// left count as unreachable.
func (n *node) candidates(service string) []model.UpstreamNode {
	all := n.sim.upstreams[service]
	gone := n.sim.goneShare(service)
	if gone == 0 {
		return all
	}
	known := slices.Clone(all)
	for i := range known {
		if float64(len(all)-i) <= gone*float64(len(all)) {
			known[i].State = model.Unreachable
		}
	}
	return known
}

// goneShare returns the share of the upstreams of a service that have left.
func (sim *simulation) goneShare(service string) float64 {
	share := 0.0
	for i := range sim.scenario.Faults {
		if f := &sim.scenario.Faults[i]; f.Service == service && f.active(sim.clock.now) {
			share = max(share, f.GoneShare)
		}
	}
	return share
}

// callerTime returns what the node has learned about the callers of a request kind.
func (n *node) callerTime(kind string) *retry.CallerTime {
	t, ok := n.callerTimes[kind]
	if !ok {
		t = &retry.CallerTime{}
		n.callerTimes[kind] = t
	}
	return t
}

// weight returns the weight of a request among those of its rank.
func (sim *simulation) weight(k *RequestKind) int {
	if k.inner() {
		return max(sim.policy.InnerWeight, 1)
	}
	return 1
}

// rank returns the rank of a request: that of its team if the team has one, otherwise
// that of its kind. Calls that upstreams make have the most urgent rank if the policy
// has a weight for them.
func (sim *simulation) rank(k *RequestKind, team int) model.Rank {
	if k.inner() && sim.policy.InnerWeight > 0 {
		return 0
	}
	if n := sim.scenario.urgentTeams; n > 0 && team > 0 && team%n == 0 {
		return 0
	}
	return k.Rank
}

// updateRateLimit applies the rate limit that the upstream states now.
func (n *node) updateRateLimit() {
	limits, now := n.limits, n.sim.clock.now
	limits.RateLimit = n.activeFaults().rateLimit
	limits.RateLimited = limits.RateLimit > 0
	if limits == n.limits {
		return
	}
	n.limits = limits
	n.admission.SetLimits(now, limits)
	for w := n.admission.RemoveExcess(now); w != nil; w = n.admission.RemoveExcess(now) {
		n.refuse(w, model.Overloaded)
	}
	n.startQueued()
}

func (n *node) speed() float64 {
	switch {
	case len(n.service.Speeds) == 0:
		return 1
	case n.drawnSpeed > 0:
		return n.drawnSpeed
	}
	return n.service.Speeds[n.serial%len(n.service.Speeds)]
}

// budget returns the node's retry budget for a service.
func (n *node) budget(service string) *retry.Budget {
	b, ok := n.budgets[service]
	if !ok {
		b = retry.NewBudget(n.sim.policy.BudgetShare, max(extraRetries*n.sim.policy.ReserveShare/float64(len(n.sim.nodes)), 1))
		n.budgets[service] = b
	}
	return b
}

// extraRetries is the number of retries that is permitted to all nodes together in
// addition to the share of their calls. It is that of the deployment haneul-hq, as
// in the test of the budgets of pkg/gateway.
const extraRetries = 60

// transfer is a download that is being sent over the link.
type transfer struct {
	order     uint64        // number of the transfer at its node, from 1
	due       time.Duration // after which it misses its latency target, in virtual time
	remaining int64         // bytes
	done      func()
}

// sendDownload starts to send a response of a number of bytes. due is when it
// misses its latency target, and done is called when all of it is sent.
func (n *node) sendDownload(bytes int64, due time.Duration, done func()) {
	n.transferCount++
	n.meanSize += 0.1 * (float64(bytes) - n.meanSize)
	t := &transfer{order: n.transferCount, due: due, remaining: bytes, done: done}
	if !n.sim.policy.ShortestFirst {
		t.due = 1 // no transfer can meet this, so the oldest goes first
	}
	n.link.AddBacklog(bytes)
	n.enqueuePart(t)
	n.sendParts()
}

// enqueuePart queues the next part of a transfer for the link.
func (n *node) enqueuePart(t *transfer) {
	part := shaping.NewPart(t.order, t.due, t.remaining, min(t.remaining, partBytes))
	n.parts[part] = t
	n.link.Enqueue(part)
}

// sendParts sends the parts that the link grants, and schedules itself for the time
// of the next grant.
func (n *node) sendParts() {
	for {
		part, wait := n.link.Next(n.sim.clock.now)
		if part == nil {
			if wait > 0 && !n.wakeScheduled {
				n.wakeScheduled = true
				n.sim.clock.after(wait, func() {
					n.wakeScheduled = false
					n.sendParts()
				})
			}
			return
		}
		t := n.parts[part]
		delete(n.parts, part)
		sent := min(t.remaining, partBytes)
		t.remaining -= sent
		n.link.AddBacklog(-sent)
		if t.remaining > 0 {
			n.enqueuePart(t)
			continue
		}
		t.done()
	}
}
