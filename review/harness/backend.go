package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a request that a backend began to run.
type arrival struct {
	At      time.Time
	Backend string // machine
	Service string
	Boot    string
	ID      string
	Path    string
	Caller  string
}

// ledger records what backends ran.
type ledger struct {
	mu       sync.Mutex
	runs     []arrival
	statuses map[string]int // of the answers of the backends, by request
}

func (l *ledger) answered(id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.statuses == nil {
		l.statuses = make(map[string]int)
	}
	l.statuses[id] = status
}

// status returns the status with which a backend answered a request that it ran, 0 if none
// has run it.
func (l *ledger) status(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.statuses[id]
}

func (l *ledger) add(a arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, a)
}

func (l *ledger) all() []arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]arrival(nil), l.runs...)
}

const (
	slots         = 12
	queueLength   = 48
	beatInterval  = 870 * time.Millisecond
	idleClose     = 10 * time.Second
	backInService = 3 * time.Second // a crashed backend is back after some seconds
)

// backend is the application server of one machine. It may be started again after a
// crash, as a new boot with a new id.
type backend struct {
	machine, service, zone, addr, control string
	work                                  time.Duration
	ledger                                *ledger
	record                                *record

	mu       sync.Mutex
	id       string
	boots    int
	born     int64
	seq      uint64
	server   *http.Server
	slots    chan struct{}
	queued   int
	draining bool
	left     bool // it has announced its leave; it serves on and sends no further reports
	stopped  bool
	// delay is how long the reports that are sent now take to arrive.
	delay time.Duration
	// shedShare of the requests are rejected without being run, and failShare of those
	// that run fail with the backend's own 500.
	shedShare, failShare float64
	// After secondShare of the answers a second copy of the answer follows, where the
	// next answer on the connection is expected, and breaks off within its head.
	secondShare float64
}

func (b *backend) start() error {
	l, err := net.Listen("tcp", b.addr)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return l.Close()
	}
	b.boots++
	b.id = fmt.Sprintf("i-%s-%d", b.machine, b.boots)
	b.born, b.seq, b.queued = time.Now().UnixMilli(), 0, 0
	b.slots = make(chan struct{}, slots)
	boot := b.id
	b.server = &http.Server{
		Handler: http.HandlerFunc(b.serve), IdleTimeout: idleClose,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, extraKey{}, c) },
	}
	l = extraListener{l}
	server := b.server
	go func() { _ = server.Serve(l) }()
	go b.beat(boot)
	return nil
}

// end closes the listener and all connections at once, as the end of a process does.
func (b *backend) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.id = ""
	if b.server != nil {
		_ = b.server.Close()
	}
}

func (b *backend) stop() {
	b.mu.Lock()
	b.stopped = true
	b.mu.Unlock()
	b.end()
}

// crash ends the backend and starts it again after backInService.
func (b *backend) crash() {
	b.end()
	time.AfterFunc(backInService, func() {
		if err := b.start(); err != nil {
			b.record.line("backend %s could not start again: %v", b.machine, err)
		}
	})
}

func (b *backend) beat(boot string) {
	client := &http.Client{Timeout: time.Second}
	for {
		b.mu.Lock()
		if b.id != boot || b.stopped || b.left {
			b.mu.Unlock()
			return
		}
		b.seq++
		state := "ready"
		if b.draining {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{
			"address": b.addr, "born": b.born,
			"instance-info": map[string]any{"service": b.service, "version": "v1", "zone": b.zone, "slots": slots},
			"status":        map[string]any{"state": state, "seq": b.seq, "cold-remaining": "0ms"},
		})
		seq, delay := b.seq, b.delay
		b.mu.Unlock()
		send := func() {
			if resp, err := client.Post("http://"+b.control+"/-/Instances.Heartbeat/"+boot, "application/json", bytes.NewReader(body)); err == nil {
				_ = resp.Body.Close()
				if delay > 0 {
					b.record.line("report   %d of %s (%s) arrives %s late, answered %d", seq, boot, state, delay, resp.StatusCode)
				}
			}
		}
		if delay > 0 {
			time.AfterFunc(delay, send)
		} else {
			send()
		}
		time.Sleep(beatInterval)
	}
}

// delayReports makes the reports from now on arrive late.
func (b *backend) delayReports(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.delay = d
}

// leave announces that the backend leaves, and returns the time of the ack. The backend
// serves on.
func (b *backend) leave() (time.Time, bool) {
	b.mu.Lock()
	b.left = true
	boot := b.id
	body, _ := json.Marshal(map[string]any{"born": b.born})
	b.mu.Unlock()
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+b.control+"/-/Instances.Leave/"+boot, "application/json", bytes.NewReader(body))
	if err != nil {
		return time.Time{}, false
	}
	_ = resp.Body.Close()
	return time.Now(), resp.StatusCode/100 == 2
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	boot, sem := b.id, b.slots
	b.mu.Unlock()
	if boot == "" {
		panic(http.ErrAbortHandler)
	}
	h, id := w.Header(), r.Header.Get("X-Request-Id")
	h.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	h.Set("X-Powered-By", "restock/4.2.1 (2026-11-28)")
	h.Set("X-Instance-Id", boot)
	h.Set("Keep-Alive", "timeout="+strconv.Itoa(int(idleClose.Seconds())))
	if id != "" {
		h.Set("X-Request-Id", id)
	}
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != boot {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		b.mu.Lock()
		leaving := b.draining || b.left
		b.mu.Unlock()
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if id == "" {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	limit := time.Minute
	if ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Remaining"), 64); err == nil {
		limit = time.Duration(ms * float64(time.Millisecond))
	}
	expired := time.NewTimer(limit)
	defer expired.Stop()
	if rand.Float64() < b.shedShare || !b.enqueue() {
		h.Set("X-Not-Executed", "1")
		b.maybeRepeat(r, http.StatusServiceUnavailable, h)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case sem <- struct{}{}:
		b.dequeue()
	case <-expired.C:
		b.dequeue()
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		b.dequeue()
		panic(http.ErrAbortHandler)
	}
	defer func() { <-sem }()
	b.ledger.add(arrival{time.Now(), b.machine, b.service, boot, id, r.URL.Path, r.Header.Get("X-Caller-Service")})
	if strings.HasSuffix(r.URL.Path, "/crashes") {
		b.record.line("run      %s on %s (%s): the backend crashes", id, b.machine, boot)
		b.crash()
		panic(http.ErrAbortHandler)
	}
	work := time.NewTimer(b.work)
	defer work.Stop()
	select {
	case <-work.C:
	case <-expired.C:
		h.Set("X-Server-Signature", boot+"."+id)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	h.Set("X-Server-Signature", boot+"."+id)
	status, text := http.StatusOK, "ran "+id
	if rand.Float64() < b.failShare {
		status, text = http.StatusInternalServerError, "failed "+id
	}
	b.ledger.answered(id, status)
	h.Set("X-Ran-By", b.service)
	b.maybeRepeat(r, status, h)
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}

// maybeRepeat sends the start of a second copy of an answer after some answers. The copy
// breaks off at a random place in its head.
func (b *backend) maybeRepeat(r *http.Request, status int, h http.Header) {
	if rand.Float64() >= b.secondShare {
		return
	}
	var head strings.Builder
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = h.Write(&head) // in the order in which the server writes the fields
	r.Context().Value(extraKey{}).(*extraConn).sendExtra(head.String()[:1+rand.IntN(head.Len())])
}

func (b *backend) enqueue() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.queued >= queueLength {
		return false
	}
	b.queued++
	return true
}

func (b *backend) dequeue() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queued--
}

type extraKey struct{}

// extraListener wraps each connection in an extraConn.
type extraListener struct{ net.Listener }

func (l extraListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &extraConn{Conn: c}, nil
}

// extraConn sends additional bytes after a complete answer: late, where the answer to the
// next request is expected.
type extraConn struct {
	net.Conn
	mu            sync.Mutex
	queued, ready string
}

// sendExtra queues bytes that follow the answer which is being written.
func (c *extraConn) sendExtra(bytes string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queued = bytes
}

func (c *extraConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 { // the next request
		c.mu.Lock()
		if c.queued != "" {
			c.ready, c.queued = c.queued, ""
		}
		c.mu.Unlock()
	}
	return n, err
}

func (c *extraConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	extra := c.ready
	c.ready = ""
	c.mu.Unlock()
	if extra != "" {
		if _, err := c.Conn.Write([]byte(extra)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}
