package shaping

import (
	"context"
	"io"
	"sync"
	"time"
)

const (
	// rateShare of the bandwidth is used for large responses. The rest keeps the
	// queue in front of the link short; packet headers alone need 4% of the
	// bandwidth.
	rateShare = 0.9
	// bytesPerMegabit converts Mbit/s to bytes per second.
	bytesPerMegabit = 1e6 / 8
	// headerBytes is the number of bytes that a small response sends in addition
	// to its body. Without them, large responses would use more of the bandwidth
	// than small ones leave, and short calls would wait in front of the link.
	headerBytes = 400
	// sizeWeight is the weight of the newest response in the moving average of
	// the sizes of its route. After a change of the sizes, ten responses move the
	// average by about two thirds of the difference.
	sizeWeight = 0.1
	// maxRoutes bounds the routes whose mean size is stored. Routes come and go
	// with versions. One more route drops the mean sizes of all others.
	maxRoutes = 64
)

// Link is the network link of a VM. Its methods are safe for concurrent use.
type Link struct {
	mu        sync.Mutex
	core      *Core // nil if the bandwidth is not known or the Link is disabled
	start     time.Time
	nextOrder uint64
	timer     *time.Timer // set while a part waits for credit
	meanSizes map[string]float64
}

// NewLink returns a Link with a bandwidth in Mbit/s. 0 means that the bandwidth is
// not known; transfers then do not wait.
func NewLink(megabits float64) *Link {
	l := &Link{start: time.Now(), meanSizes: make(map[string]float64)}
	if megabits > 0 {
		l.core = NewCore(megabits * bytesPerMegabit * rateShare)
	}
	return l
}

// TimeToSend returns the time until the last byte of one more response of a route
// would be sent, by the mean size of the route. It is 0 if the bandwidth is not
// known or the Link is disabled.
func (l *Link) TimeToSend(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.core == nil {
		return 0
	}
	return l.core.TimeToSend(time.Since(l.start), int64(l.meanSizes[route]))
}

// Disable ends the shaping: waiting parts and all later ones are sent at once.
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

// RecordSent records a response that did not wait for the link, with the n bytes of
// its body that are sent at once, so that large responses leave bandwidth for further
// ones of this kind. The rest of its body is recorded by a reader of SentBody.
func (l *Link) RecordSent(n int64) { l.consume(n + headerBytes) }

func (l *Link) consume(n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.core != nil {
		l.core.Consume(time.Since(l.start), n)
	}
}

// SentBody returns a reader of body that records what is read of it as sent. The
// stated length of a body is not recorded, because a faulty upstream may state any.
func (l *Link) SentBody(body io.Reader) io.Reader { return &sentReader{body, l} }

type sentReader struct {
	body io.Reader
	link *Link
}

// Read implements io.Reader.
func (r *sentReader) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if n > 0 {
		r.link.consume(int64(n))
	}
	return n, err
}

// Transfer is the sending of one large response. Its methods are safe for
// concurrent use with those of other transfers.
type Transfer struct {
	flow
	link  *Link
	route string
	sent  int64
}

// Begin adds a response of a route to the backlog, with the mean size of the
// route. due is when the response misses its latency target, the zero time if it
// has none. Done must be called once on the Transfer.
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

// addBacklog adds n to the bytes that are to be sent. The caller holds the mutex.
func (l *Link) addBacklog(n int64) {
	if l.core != nil {
		l.core.AddBacklog(n)
	}
}

// SetSize sets the stated size of the response, in bytes. It replaces the mean size
// of the route in the backlog. deadline is when the response is cut off: it counts for
// no more than the link can send until then.
func (t *Transfer) SetSize(n int64, deadline time.Time) {
	l := t.link
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.core != nil {
		n = min(n, l.core.capacity(time.Until(deadline)))
	}
	l.addBacklog(n - t.remaining)
	t.remaining = n
}

// WaitN waits until n bytes may be sent. It returns the error of ctx if ctx ends
// first.
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

// cancel removes a waiting part. It returns false if the part was granted already.
func (l *Link) cancel(p *part) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core != nil && l.core.Cancel(p)
}

// grant wakes the transfers that may send. The caller holds the mutex.
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

// Done ends the transfer. complete says that the whole response was sent; its size
// then counts for the mean size of its route, unless it is 0.
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
