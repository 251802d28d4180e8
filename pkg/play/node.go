package play

import (
	"fmt"
	"time"

	"github.com/lentilflow/lentilflow/pkg/admission"
	"github.com/lentilflow/lentilflow/pkg/balance"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/retry"
	"github.com/lentilflow/lentilflow/pkg/shaping"
)

const (
	// linkRate is the part of a link that large answers use, and partBytes what
	// is sent between two looks at it (pkg/shaping, pkg/gateway).
	linkRate  = 0.9
	partBytes = 8 << 10
	// rankFloor is the percentage of the slots that each rank keeps.
	rankFloor = 10
	// rejectTime is how long an upstream takes to reject a request.
	rejectTime = time.Millisecond
)

// node is a node with its upstream.
type node struct {
	play    *play
	index   int // among the upstreams of its service
	entry   model.UpstreamNode
	zone    int
	service *Service
	core    *admission.Core
	picker  *balance.Picker
	budgets map[string]*retry.Budget
	jobs    map[*admission.Waiter]*job

	link     *shaping.Core // nil if it does not bind
	parts    map[*shaping.Part]*transfer
	waking   bool
	order    uint64
	sizeMean float64
}

func newNode(p *play, s *Service, zone, index int) *node {
	n := &node{
		play: p, index: index, zone: zone, service: s, picker: balance.NewPicker(),
		budgets: make(map[string]*retry.Budget), jobs: make(map[*admission.Waiter]*job), parts: make(map[*shaping.Part]*transfer),
		entry: model.UpstreamNode{Node: model.NodeID(fmt.Sprint(s.Name, "-", zone, "-", index)), Service: s.Name, Location: location(zone)},
	}
	limits := admission.Limits{Slots: s.Slots}
	for i := range p.pattern.Kinds {
		if k := &p.pattern.Kinds[i]; k.Service == s.Name {
			limits.Floors[k.Rank] = rankFloor
		}
	}
	n.core = admission.NewCore(limits)
	if s.Link > 0 {
		n.link = shaping.NewCore(s.Link * 1e6 / 8 * linkRate)
	}
	return n
}

func location(zone int) model.Location {
	return model.Location{
		Region: model.Region(fmt.Sprint("region-", zone/2)), AvailabilityZone: model.AvailabilityZone(fmt.Sprint("zone-", zone)),
	}
}

// fault returns what the faults of the pattern make of the upstream now.
func (n *node) fault() (down bool, shed, slow float64) {
	slow = 1
	for i := range n.play.pattern.Faults {
		f := &n.play.pattern.Faults[i]
		if !f.active(n.play.clock.now) || f.Service != "" && f.Service != n.service.Name {
			continue
		}
		down = down || f.Down
		// The upstreams of a service are counted through all zones.
		if float64(n.zone*n.service.PerZone+n.index) >= f.Part*float64(n.play.pattern.Zones*n.service.PerZone) {
			continue
		}
		shed = max(shed, f.Shed)
		if f.Slow > 0 {
			slow *= f.Slow
		}
	}
	return down, shed, slow
}

func (n *node) speed() float64 {
	if len(n.service.Speeds) == 0 {
		return 1
	}
	return n.service.Speeds[(n.zone*n.service.PerZone+n.index)%len(n.service.Speeds)]
}

// budget returns the node's retry budget of a service.
func (n *node) budget(service string) *retry.Budget {
	b, ok := n.budgets[service]
	if !ok {
		b = retry.NewBudget(n.play.policy.BudgetShare, max(extraRetries*n.play.policy.ReserveShare/float64(len(n.play.nodes)), 1))
		n.budgets[service] = b
	}
	return b
}

// extraRetries is what all nodes may spend beside their share.
const extraRetries = 60

// transfer is a large answer on its way over the link.
type transfer struct {
	order uint64
	due   time.Duration
	left  int64
	done  func()
}

// send sends a large answer.
func (n *node) send(bytes int64, due time.Duration, done func()) {
	n.order++
	n.sizeMean += 0.1 * (float64(bytes) - n.sizeMean)
	t := &transfer{order: n.order, due: due, left: bytes, done: done}
	if !n.play.policy.ShortestFirst {
		t.due = 1 // none is in time, so the oldest goes first
	}
	n.link.AddBacklog(bytes)
	n.offer(t)
	n.pump()
}

// offer lets the next part of a transfer wait for the link.
func (n *node) offer(t *transfer) {
	part := shaping.NewPart(t.order, t.due, t.left, min(t.left, partBytes))
	n.parts[part] = t
	n.link.Enqueue(part)
}

// pump sends what the link takes.
func (n *node) pump() {
	for {
		part, wait := n.link.Next(n.play.clock.now)
		if part == nil {
			if wait > 0 && !n.waking {
				n.waking = true
				n.play.clock.after(wait, func() {
					n.waking = false
					n.pump()
				})
			}
			return
		}
		t := n.parts[part]
		delete(n.parts, part)
		sent := min(t.left, partBytes)
		t.left -= sent
		n.link.AddBacklog(-sent)
		if t.left > 0 {
			n.offer(t)
			continue
		}
		t.done()
	}
}
