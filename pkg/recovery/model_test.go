package recovery

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/upstream"
)

// The model has a few VMs with an upstream and a node process each, and a store. Time
// is virtual. Upstreams leave and are replaced, reports arrive late, processes are
// killed and started again, and the store is away for some time. The trackers, savers
// and recoverers are those of the product; messages arrive after modelLatency.
const (
	modelVMs      = 12
	modelZones    = 4
	modelLatency  = 10 * time.Millisecond
	modelStep     = 500 * time.Millisecond
	keepers       = 3                // of a departure, beside its own node
	maxKeepers    = 8                // that are asked to hold a departure if others do not respond
	recoverFrom   = 5                // that a process which starts asks
	maxKilled     = 4                // processes that end together, unless all do
	modelSteps    = 120              // of the disturbed part of a history
	modelReports  = time.Second      // between two reports of a boot
	modelServesOn = 14 * time.Second // of a boot after its departure
	modelRestart  = 500 * time.Millisecond
	// modelSettle is the time after which every upstream must be in use again.
	modelSettle = 3 * upstream.MaxReportDelay
	// modelClockStep is how far a clock is set back, in milliseconds.
	modelClockStep = 25_000
)

var errAway = errors.New("away")

const usedAfterDeparture = "a boot is used after its departure was acknowledged"

// world is one history of the model.
type world struct {
	mu   sync.Mutex // held by every goroutine of the model while it does not wait
	rand *rand.Rand
	// falseHealth makes the health checks of leaving boots succeed. Then only what
	// others hold can prevent their use, so at most two processes end together.
	falseHealth bool
	variant     modelVariant
	vms         []*modelVM
	store       map[model.NodeID][]upstream.Departure
	away        bool
	boots       int64
	fault       string
	lastKill    time.Time
}

// modelVariant is a deliberate fault of the product.
type modelVariant struct{ unsaved, trusting bool }

type modelBoot struct {
	upstream.Departure
	sequence  uint64
	leaving   bool
	announces bool // reports that it is draining; otherwise it only leaves
	acked     bool
	endsAt    time.Time
}

type modelVM struct {
	w       *world
	id      model.NodeID
	boot    *modelBoot // that listens at the address; nil if there is none
	process *modelProcess
	late    bool // its reports are late
	starts  time.Time
}

type modelProcess struct {
	vm        *modelVM
	tracker   upstream.Tracker
	held      *Departures
	saver     *Saver
	settled   bool
	started   time.Time
	recovered bool
	alive     bool
	end       context.CancelFunc
}

// oneIn returns true once in n calls on average.
func (w *world) oneIn(n int) bool { return w.rand.IntN(n) == 0 }

func (w *world) startBoot(vm *modelVM) {
	w.boots++
	b := &modelBoot{Departure: upstream.Departure{ID: fmt.Sprint("boot", w.boots), Start: upstream.StartedAt(time.Now().UnixMilli())}}
	if w.oneIn(4) {
		b.ID = "boot-" + string(vm.id)
	}
	vm.boot = b
}

// others returns the other VMs in the order in which vm asks them: two of its zone,
// then the first of each other zone, and so on.
func (vm *modelVM) others() (all []*modelVM) {
	zones := make([][]*modelVM, modelZones)
	own := 0
	for i, o := range vm.w.vms {
		if o == vm {
			own = i % modelZones
		} else {
			zones[i%modelZones] = append(zones[i%modelZones], o)
		}
	}
	for len(all) < modelVMs-1 {
		for i := range modelZones {
			zone := &zones[(own+i)%modelZones]
			take := 1
			if i == 0 {
				take = 2
			}
			take = min(take, len(*zone))
			all, *zone = append(all, (*zone)[:take]...), (*zone)[take:]
		}
	}
	return all
}

// SaveDeparture implements Store.
func (p *modelProcess) SaveDeparture(_ context.Context, d Departure, _ []upstream.Departure) error {
	time.Sleep(modelLatency)
	p.vm.w.mu.Lock()
	defer p.vm.w.mu.Unlock()
	if !p.alive || p.vm.w.away || p.vm.w.variant.unsaved {
		return errAway
	}
	p.vm.w.store[d.Node] = append(p.vm.w.store[d.Node], d.Departure)
	return nil
}

// Departures implements Store.
func (p *modelProcess) Departures(_ context.Context, id model.NodeID) ([]upstream.Departure, error) {
	time.Sleep(modelLatency)
	p.vm.w.mu.Lock()
	defer p.vm.w.mu.Unlock()
	if !p.alive || p.vm.w.away {
		return nil, errAway
	}
	return slices.Clone(p.vm.w.store[id]), nil
}

func (p *modelProcess) replicate(_ context.Context, d Departure, confirmed func()) {
	holds := func(o *modelVM) bool {
		time.Sleep(modelLatency)
		p.vm.w.mu.Lock()
		defer p.vm.w.mu.Unlock()
		to := o.process
		if to == nil || !to.alive || !p.alive {
			return false
		}
		if !p.vm.w.variant.unsaved {
			to.held.Add([]Departure{d}, time.Now())
		}
		return true
	}
	left := keepers
	for _, o := range p.vm.others()[:maxKeepers] {
		if left > 0 && holds(o) {
			left--
			confirmed()
		}
	}
}

// handOver sends all departures to the holders once they are recovered.
func (p *modelProcess) handOver() {
	p.vm.w.mu.Lock()
	all := p.held.Held(p.vm.id, time.Now())
	p.vm.w.mu.Unlock()
	time.Sleep(modelLatency)
	p.vm.w.mu.Lock()
	defer p.vm.w.mu.Unlock()
	for _, o := range p.vm.others()[:keepers] {
		if to := o.process; to != nil && to.alive && p.alive {
			to.held.Add(all, time.Now())
			to.held.RecordComplete(p.vm.id)
		}
	}
}

func (p *modelProcess) askOthers(context.Context) (a Answers, ok bool) {
	time.Sleep(modelLatency)
	p.vm.w.mu.Lock()
	defer p.vm.w.mu.Unlock()
	a.Others, a.Holders = modelVMs-1, keepers
	for i, o := range p.vm.others()[:recoverFrom] {
		if from := o.process; from != nil && from.alive && p.alive {
			p.held.Add(from.held.All(time.Now()), time.Now())
			if from.settled {
				p.held.RecordComplete(o.id)
				a.Settled++
			}
			if i < keepers && from.held.CompleteFor(p.vm.id, time.Now()) {
				a.CompleteHolders++
			}
		}
	}
	return a, true
}

func (w *world) startProcess(vm *modelVM, first bool) {
	ctx, end := context.WithCancel(context.Background())
	began := time.Now()
	if first {
		began = time.Time{}
	}
	p := &modelProcess{vm: vm, held: NewDepartures(began), started: time.Now(), alive: true, end: end}
	p.tracker.VerifyFirstBoot = true
	p.saver = &Saver{Node: vm.id, Held: p.held, Store: p, Replicate: p.replicate, Log: zap.NewNop()}
	vm.process = p
	if first || w.variant.trusting {
		p.settled, p.recovered = true, true
		p.tracker.TrustReports()
		return
	}
	r := Recoverer{
		Node: vm.id, Held: p.held, Store: p, AskOthers: p.askOthers, HasHealthPath: func() bool { return true }, OnStoreRead: p.saver.RecordStored, Log: zap.NewNop(),
		Apply: func(departures []upstream.Departure, complete bool) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if complete {
				p.tracker.TrustReports()
			}
			p.tracker.Recover(departures)
			p.recovered = true
		},
	}
	go func() {
		r.Run(ctx)
		w.mu.Lock()
		p.settled = true
		w.mu.Unlock()
		p.handOver()
		r.AwaitStore(ctx)
	}()
}

// health returns the boot that a health check finds, if the process may make one.
func (p *modelProcess) health() (id string, ok bool) {
	b := p.vm.boot
	if b == nil || !p.recovered && time.Since(p.started) < time.Second || b.leaving && !p.vm.w.falseHealth {
		return "", false
	}
	return b.ID, true
}

// receive processes a report, and a departure if it says that the boot leaves.
func (p *modelProcess) receive(r upstream.Report, b *modelBoot) {
	r.ReceivedAt = time.Now()
	switch v := p.tracker.Report(r); v {
	case upstream.Unverified, upstream.Disputed:
		departures := p.tracker.Departures()
		id, ok := p.health()
		time.AfterFunc(modelLatency, func() {
			p.vm.w.mu.Lock()
			defer p.vm.w.mu.Unlock()
			if ok && id == r.ID {
				p.tracker.Verify(r.ID, r.Start, departures)
			}
		})
	}
	if r.Draining {
		p.acknowledge(b, b.Departure)
	}
}

// acknowledge hands on a departure; its acknowledgement must arrive within a second.
func (p *modelProcess) acknowledge(b *modelBoot, d upstream.Departure) {
	go func() {
		begun := time.Now()
		err := p.saver.Save(d)
		p.vm.w.mu.Lock()
		defer p.vm.w.mu.Unlock()
		b.acked = b.acked || err == nil && p.alive && time.Since(begun) < time.Second
	}()
}

// sendReport sends the next report of a boot, which arrives after a delay.
func (w *world) sendReport(vm *modelVM) {
	b := vm.boot
	b.sequence++
	r := upstream.Report{ID: b.ID, Start: b.Start, Sequence: b.sequence, Slots: 1, Draining: b.leaving}
	delay := modelLatency
	if vm.late && !b.leaving {
		delay = time.Second + time.Duration(w.rand.Int64N(int64(upstream.MaxReportDelay-time.Second)))
	}
	time.AfterFunc(delay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if p := vm.process; p != nil && p.alive {
			p.receive(r, b)
		}
	})
}

func (w *world) leave(vm *modelVM) {
	b := vm.boot
	if b == nil || b.leaving {
		return
	}
	b.leaving, b.announces = true, w.oneIn(2)
	b.endsAt = time.Now().Add(modelServesOn)
	if !b.announces {
		w.sendLeave(vm)
	}
}

// sendLeave sends the departure of a boot, without its start as the platform does.
func (w *world) sendLeave(vm *modelVM) {
	b, p := vm.boot, vm.process
	if p == nil || !p.alive {
		return
	}
	_, d := p.tracker.Leave(b.ID, upstream.Start{}, time.Now())
	p.acknowledge(b, d)
}

func (w *world) kill(vms ...*modelVM) {
	w.lastKill = time.Now()
	for _, vm := range vms {
		if vm.process != nil {
			vm.process.alive = false
			vm.process.end()
		}
		vm.process, vm.starts = nil, time.Now().Add(modelRestart)
	}
}

// check records a fault if a process uses a boot that is still there after its
// departure was acknowledged. A request for another boot than the one at the address
// is not run, so only the id counts.
func (w *world) check() {
	for _, vm := range w.vms {
		if p := vm.process; p != nil && vm.boot != nil && vm.boot.acked {
			if current, ok := p.tracker.Current(); ok && current.ID == vm.boot.ID {
				w.fault = usedAfterDeparture
			}
		}
	}
}

// advance lets modelStep pass.
func (w *world) advance(disturbed bool) {
	w.act(disturbed)
	for range 5 {
		time.Sleep(modelStep / 5)
		synctest.Wait()
		w.mu.Lock()
		w.check()
		w.mu.Unlock()
	}
}

// act starts and ends boots and processes that are due, and sends reports.
func (w *world) act(disturbed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if disturbed && w.oneIn(3) {
		w.disturb()
	}
	for _, vm := range w.vms {
		if b := vm.boot; b != nil && time.Now().UnixMilli()%modelReports.Milliseconds() < modelStep.Milliseconds() && (!b.leaving || b.announces) {
			w.sendReport(vm)
		}
		if b := vm.boot; b != nil && b.leaving && time.Now().After(b.endsAt) {
			w.sendLeave(vm) // once more, before it ends
			w.startBoot(vm)
			if w.oneIn(5) {
				vm.boot.Start = upstream.StartedAt(vm.boot.Start.UnixMilli() - modelClockStep - w.boots) // two boots have different starts
			}
		}
		if vm.process == nil && time.Now().After(vm.starts) {
			w.startProcess(vm, false)
		}
		p := vm.process
		if id, ok := p.healthIfNew(); ok {
			p.tracker.Discover(id, 1)
		}
	}
}

// healthIfNew makes the health check of a process that has just started.
func (p *modelProcess) healthIfNew() (string, bool) {
	if p == nil || time.Since(p.started) > 2*time.Second {
		return "", false
	}
	return p.health()
}

// disturb makes one random disturbance.
func (w *world) disturb() {
	random := func() *modelVM {
		if w.oneIn(2) {
			return w.vms[0] // so that several disturbances of one VM overlap
		}
		return w.vms[w.rand.IntN(modelVMs)]
	}
	switch w.rand.IntN(7) {
	case 0, 1:
		w.leave(random())
	case 2:
		vm := random()
		vm.late = !vm.late
	case 3, 4:
		if time.Since(w.lastKill) > 2*time.Second {
			vm, n := random(), 1
			if !w.falseHealth {
				n = w.rand.IntN(maxKilled)
			}
			w.kill(append(vm.others()[:n], vm)...)
		}
	case 5:
		w.away = !w.away
	case 6:
		if !w.falseHealth {
			w.kill(w.vms...)
		}
	}
}

// checkHistory plays the random history of a seed and returns the first fault, "" if
// there is none.
func checkHistory(seed uint64, variant modelVariant) string {
	w := &world{rand: rand.New(rand.NewPCG(seed, 0)), variant: variant, store: make(map[model.NodeID][]upstream.Departure)}
	w.falseHealth = w.oneIn(2)
	for i := range modelVMs {
		w.vms = append(w.vms, &modelVM{w: w, id: model.NodeID(fmt.Sprint("n", i))})
	}
	for _, vm := range w.vms {
		w.startBoot(vm)
		w.startProcess(vm, true)
	}
	for range modelSteps {
		w.advance(true)
	}
	w.mu.Lock()
	w.away = false
	for _, vm := range w.vms {
		vm.late = false
	}
	w.mu.Unlock()
	for end := time.Now().Add(modelSettle + modelServesOn); time.Now().Before(end); {
		w.advance(false)
	}
	w.mu.Lock()
	if w.fault == "" {
		w.fault = w.unused()
	}
	w.kill(w.vms...)
	w.mu.Unlock()
	time.Sleep(maxStoreAttempts * (storeRetryDelay + saveTimeout)) // the writes of processes that have ended
	return w.fault
}

// unused returns a fault if a boot that has not left is not in use.
func (w *world) unused() string {
	for _, vm := range w.vms {
		if current, ok := vm.process.tracker.Current(); vm.boot != nil && !vm.boot.leaving && (!ok || current.ID != vm.boot.ID) {
			return "a boot that has not left is not used"
		}
	}
	return ""
}
