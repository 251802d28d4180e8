package main

import (
	"cmp"
	"context"
	"flag"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

// Delays between the resends of a forwarder that retries without a limit.
const (
	firstPause = 20 * time.Millisecond
	longPause  = 200 * time.Millisecond
)

// queueLength is that of a node with 12 slots (pkg/admission).
const queueLength = 2*slots + 8

// forwarder is what a node would be without ranks: it sends each call to a
// random member, whose forwarder passes it to the upstream either at once or
// first come first served.
type forwarder struct {
	peers    []string
	upstream string
	slots    chan struct{} // blocked senders wait in order; nil admits all
	queue    chan struct{} // holds one token for each call, running or waiting
	retry    bool          // until the deadline
	client   *http.Client
}

// forward is the main function of a forwarder process.
func forward(args []string) error {
	set := flag.NewFlagSet("forward", flag.ContinueOnError)
	calls := set.String("calls", "", "listener for callers")
	peer := set.String("peer", "", "listener for other forwarders")
	peers := set.String("peers", "", "peer listeners of all forwarders")
	upstream := set.String("upstream", "", "address of the upstream")
	fifo := set.Int("fifo", 0, "calls that run at a time, 0 admits all")
	retry := set.Bool("retry", false, "retry until the deadline")
	if err := set.Parse(args); err != nil {
		return err
	}
	f := &forwarder{peers: strings.Split(*peers, ","), upstream: *upstream, retry: *retry, client: newClient()}
	if *fifo > 0 {
		f.slots, f.queue = make(chan struct{}, *fifo), make(chan struct{}, *fifo+queueLength)
	}
	var g errgroup.Group
	g.Go(func() error { return http.ListenAndServe(*calls, http.HandlerFunc(f.serveCall)) })
	g.Go(func() error { return http.ListenAndServe(*peer, http.HandlerFunc(f.servePeer)) })
	return g.Wait()
}

func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, _ := strconv.Atoi(cmp.Or(r.Header.Get(deadlineHeader), "2000"))
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

func (f *forwarder) serveCall(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := withDeadline(r)
	defer cancel()
	for pause := firstPause; ; pause = min(2*pause, longPause) {
		resp, err := f.pass(ctx, r, f.peers[rand.IntN(len(f.peers))])
		failed := err != nil || resp.StatusCode != http.StatusOK
		if failed && f.retry && ctx.Err() == nil {
			drop(resp)
			time.Sleep(rand.N(pause))
			continue
		}
		answer(w, resp, err)
		return
	}
}

func (f *forwarder) servePeer(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := withDeadline(r)
	defer cancel()
	if f.slots != nil {
		select {
		case f.queue <- struct{}{}:
			defer func() { <-f.queue }()
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		select {
		case f.slots <- struct{}{}:
			defer func() { <-f.slots }()
		case <-ctx.Done():
			w.WriteHeader(http.StatusGatewayTimeout)
			return
		}
	}
	resp, err := f.pass(ctx, r, f.upstream)
	answer(w, resp, err)
}

func (f *forwarder) pass(ctx context.Context, r *http.Request, address string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.URL.RequestURI(), nil)
	if err != nil {
		return nil, err
	}
	req.Header = r.Header.Clone()
	return f.client.Do(req)
}

func drop(resp *http.Response) {
	if resp != nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

func answer(w http.ResponseWriter, resp *http.Response, err error) {
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	w.WriteHeader(resp.StatusCode)
	drop(resp)
}

// baseline is a running set of forwarders beside the upstreams of a cluster.
type baseline struct {
	calls     []string // base URLs
	processes []*process
}

// start starts a forwarder beside every upstream.
func (b *baseline) start(c *cluster, flags ...string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	peers := make([]string, members)
	for i := range peers {
		peers[i] = freeAddress()
	}
	for i, m := range c.members {
		calls := freeAddress()
		args := []string{"forward", "-calls", calls, "-peer", peers[i], "-peers", strings.Join(peers, ","), "-upstream", m.upstream}
		p, err := spawn(self, append(args, flags...)...)
		if err != nil {
			return err
		}
		b.processes = append(b.processes, p)
		b.calls = append(b.calls, "http://"+calls)
	}
	for _, url := range b.calls {
		if err := awaitAnswer(url + "/near"); err != nil {
			return err
		}
	}
	return nil
}

func (b *baseline) stop() {
	for _, p := range b.processes {
		p.kill()
	}
}
