package shaping

import (
	"context"
	"sync"
	"time"
)

const (
	// rateShare of the bandwidth is used for large answers. The rest keeps the
	// queue in front of the link short; packet headers alone take 4 in 100.
	rateShare = 0.9
	// bytesPerMegabit turns Mbit/s into bytes a second.
	bytesPerMegabit = 1e6 / 8
	// headBytes is what a small answer takes of the link beside its body.
	headerBytes = 400
	// sizeWeight is the weight of the newest answer in the mean size of its
	// route.
	sizeWeight = 0.1
	// maxRoutes bounds the routes whose mean size is known; routes come and go
	// with versions.
	maxRoutes = 64
)

// Link is the link of a VM. Its methods are safe for concurrent use.
type Link struct {
	mu        sync.Mutex
	core      *Core // nil if the bandwidth is not known
	start     time.Time
	nextOrder uint64
	timer     *time.Timer // set while a part waits for credit
	meanSizes map[string]float64
}

// NewLink returns a link of a bandwidth in Mbit/s. With 0 the bandwidth is not
// known, and nothing waits.
func NewLink(megabits float64) *Link {
	l := &Link{start: time.Now(), meanSizes: make(map[string]float64)}
	if megabits > 0 {
		l.core = NewCore(megabits * bytesPerMegabit * rateShare)
	}
	return l
}

// Expected returns the time until one more answer of a route would be sent.
func (l *Link) TimeToSend(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.core == nil {
		return 0
	}
	return l.core.TimeToSend(time.Since(l.start), int64(l.meanSizes[route]))
}

// Release lets everything that waits, and all that follows, be sent at once.
func (l *Link) Disable() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.core == nil {
		return
	}
	for _, p := range l.core.waiting {
		close(p.ready)
	}
	l.core = nil
}

// Sent notes an answer of n bytes that did not wait for the link, so that the
// large ones leave room for those that follow it.
func (l *Link) RecordSent(n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.core != nil {
		l.core.Consume(time.Since(l.start), n+headerBytes)
	}
}

// Transfer is one large answer on its way.
type Transfer struct {
	flow
	link  *Link
	route string
	sent  int64
}

// Begin counts an answer of a route as one that is to be sent, with the usual
// size of the route. due is when it misses its latency target, the zero time if
// it has none. Done must be called once.
func (l *Link) Begin(route string, due time.Time) *Transfer {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextOrder++
	t := &Transfer{link: l, route: route, flow: flow{order: l.nextOrder, remaining: int64(l.meanSizes[route])}}
	if !due.IsZero() {
		t.due = max(due.Sub(l.start), 1)
	}
	l.addBacklog(t.remaining)
	return t
}

// backlog changes the bytes to be sent. The mutex is held.
func (l *Link) addBacklog(n int64) {
	if l.core != nil {
		l.core.AddBacklog(n)
	}
}

// SetSize states the size of the answer, in bytes.
func (t *Transfer) SetSize(n int64) {
	l := t.link
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addBacklog(n - t.remaining)
	t.remaining = n
}

// Take waits until n bytes may be sent. It returns the error of ctx if that
// ends first.
func (t *Transfer) WaitN(ctx context.Context, n int64) error {
	l := t.link
	l.mu.Lock()
	if l.core == nil {
		t.sent += n
		l.mu.Unlock()
		return ctx.Err()
	}
	p := &part{flow: &t.flow, bytes: n, ready: make(chan struct{})}
	l.core.Enqueue(p)
	l.grant()
	l.mu.Unlock()
	select {
	case <-p.ready:
	case <-ctx.Done():
		if l.cancel(p) {
			return ctx.Err()
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t.sent += n
	taken := min(n, t.remaining)
	t.remaining -= taken
	l.addBacklog(-taken)
	return nil
}

// cancel takes a part out. It returns false if it was granted already.
func (l *Link) cancel(p *part) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core != nil && l.core.Cancel(p)
}

// grant wakes the transfers that may send. The mutex is held.
func (l *Link) grant() {
	for l.core != nil {
		p, wait := l.core.Next(time.Since(l.start))
		if p != nil {
			close(p.ready)
			continue
		}
		if wait > 0 && l.timer == nil {
			l.timer = time.AfterFunc(wait, func() {
				l.mu.Lock()
				defer l.mu.Unlock()
				l.timer = nil
				l.grant()
			})
		}
		return
	}
}

// Done ends the transfer. The size of an answer that was sent whole counts for
// the mean of its route; one that took nothing of the link does not.
func (t *Transfer) Done(complete bool) {
	l := t.link
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addBacklog(-t.remaining)
	t.remaining = 0
	if !complete || t.sent == 0 {
		return
	}
	mean, ok := l.meanSizes[t.route]
	switch {
	case ok:
		l.meanSizes[t.route] = mean + sizeWeight*(float64(t.sent)-mean)
	case len(l.meanSizes) < maxRoutes:
		l.meanSizes[t.route] = float64(t.sent)
	default:
		l.meanSizes = map[string]float64{t.route: float64(t.sent)}
	}
}
