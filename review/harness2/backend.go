//go:build review2

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const beatInterval = 1500 * time.Millisecond

// run is one request that a backend has begun to run.
type run struct {
	id, path, service, boot string
	at                      time.Time
}

// ledger holds the runs of all backends.
type ledger struct {
	mu   sync.Mutex
	runs []run
	rec  *record
}

func (l *ledger) add(r run) {
	l.mu.Lock()
	l.runs = append(l.runs, r)
	l.mu.Unlock()
	l.rec.add("backend %s (%s) runs %s %s", r.boot, r.service, r.id, r.path)
}

func (l *ledger) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs...)
}

// find returns the run of a request, and whether there is one.
func (l *ledger) find(id string) (run, bool) {
	for _, r := range l.all() {
		if r.id == id {
			return r, true
		}
	}
	return run{}, false
}

// backend is one boot of an application backend.
type backend struct {
	id       string
	node     *node
	slots    int
	work     time.Duration
	ledger   *ledger
	rec      *record
	born     int64
	seq      atomic.Uint64
	leaving  atomic.Bool
	quiet    atomic.Bool // the case sends the reports itself
	stopped  chan struct{}
	once     sync.Once
	server   *http.Server
	slotsUse chan struct{}
	early    bool // runs begin before the body has been read
	// serve, if set, responds to a run in place of the usual response.
	serve func(b *backend, w http.ResponseWriter, r *http.Request) bool
}

var bootNumber atomic.Int64

func startBackend(n *node, work time.Duration, l *ledger, rec *record, serve func(*backend, http.ResponseWriter, *http.Request) bool) (*backend, error) {
	listener, err := net.Listen("tcp", n.app())
	if err != nil {
		return nil, err
	}
	b := &backend{
		id: fmt.Sprintf("i-%08x", 0x5a000000+bootNumber.Add(1)), node: n, slots: 12, work: work, ledger: l, rec: rec, born: time.Now().UnixMilli(),
		stopped: make(chan struct{}), slotsUse: make(chan struct{}, 12), serve: serve,
	}
	b.server = &http.Server{Handler: http.HandlerFunc(b.handle), IdleTimeout: 10 * time.Second}
	go func() { _ = b.server.Serve(listener) }()
	go b.beat()
	rec.add("backend %s of %s starts beside %s", b.id, n.service, n.name)
	return b, nil
}

func (b *backend) beat() {
	for {
		if !b.leaving.Load() && !b.quiet.Load() {
			b.report("ready")
		}
		select {
		case <-b.stopped:
			return
		case <-time.After(beatInterval):
		}
	}
}

// encode returns the next status report.
func (b *backend) encode(state string) []byte {
	body, _ := json.Marshal(map[string]any{
		"born": b.born, "address": b.node.app(),
		"instance-info": map[string]any{"service": b.node.service, "version": "v1", "zone": b.node.zone, "slots": b.slots},
		"status":        map[string]any{"state": state, "seq": b.seq.Add(1), "cold-remaining": "0ms"},
	})
	return body
}

// report sends a status report and returns the status of the response, 0 without one.
func (b *backend) report(state string) int {
	return post(b.node.control(), "/-/Instances.Heartbeat/"+b.id, b.encode(state))
}

// leave sends the departure, which has no body.
func (b *backend) leave() int {
	return post(b.node.control(), "/-/Instances.Leave/"+b.id, nil)
}

// reset resets a connection.
func reset(nc net.Conn) {
	if t, ok := nc.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = nc.Close()
}

func post(address, path string, body []byte) int {
	resp, err := probe.Post("http://"+address+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// drain reports draining until that is acknowledged, and returns the time of the ack.
func (b *backend) drain() time.Time {
	b.leaving.Store(true)
	for range 5 {
		status := b.report("draining")
		b.rec.say("backend %s reports draining, response %d", b.id, status)
		if status == http.StatusOK {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	return time.Now()
}

// stop ends the process of the backend: listener and connections are closed.
func (b *backend) stop() {
	b.once.Do(func() {
		close(b.stopped)
		_ = b.server.Close()
		b.rec.add("backend %s ends", b.id)
	})
}

func (b *backend) handle(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Instance-Id", b.id)
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		h.Set("X-Request-Id", id)
	}
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		if b.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	var body []byte
	var err error
	if !b.early {
		body, err = io.ReadAll(r.Body)
	}
	if err != nil || id == "" {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case b.slotsUse <- struct{}{}:
		defer func() { <-b.slotsUse }()
	default:
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.ledger.add(run{id: id, path: r.URL.Path, service: b.node.service, boot: b.id, at: time.Now()})
	h.Set("X-Server-Signature", b.id+"."+id)
	if b.serve != nil && b.serve(b, w, r) {
		return
	}
	limit := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Remaining")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	t := time.NewTimer(min(b.work, limit))
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
		return
	}
	if b.work > limit {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	fmt.Fprintf(w, "%s ran %s with %d bytes\n", b.node.service, id, len(body))
}
