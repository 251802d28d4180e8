//go:build review2

package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

// termCase restarts a node as planned, while the backend beside it leaves as planned: the
// node gets SIGTERM for its restart, and SIGTERM again after its backend has terminated.
func termCase(rec *record, trouble bool) error {
	w, err := newWorld(rec, "catalog", "ordering", "catalog", "ordering")
	if err != nil {
		return err
	}
	defer w.close()
	w.configure(
		path{"browse", "/browse/", "safe", "1500ms", "500ms", 0, "catalog", 2},
		path{"order", "/order/", "unsafe", "2000ms", "800ms", 1, "ordering", 2},
	)
	const work = 700 * time.Millisecond
	if err := w.start(work, nil, func(n *node) bool {
		return send(n, http.MethodPost, host, "/order/first", "x", 2*time.Second, rec).status == 200 &&
			send(n, http.MethodGet, host, "/browse/first", "", 2*time.Second, rec).status == 200
	}); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // calm for longer than stable-window
	n := w.nodes[0]
	leaving := w.backends[n]
	acked := leaving.drain()

	var all sync.WaitGroup
	var mu sync.Mutex
	var results []*result
	stop := make(chan struct{})
	all.Go(func() { // clients on the machine of the node
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			method, where := http.MethodPost, "/order/a"
			if i%2 == 1 {
				method, where = http.MethodGet, "/browse/a"
			}
			all.Go(func() {
				r := send(n, method, host, where, "", 2*time.Second, rec)
				mu.Lock()
				defer mu.Unlock()
				results = append(results, r)
			})
		}
	})
	time.Sleep(time.Second)
	n.signal(syscall.SIGTERM) // the node is restarted on its own
	time.Sleep(time.Until(acked.Add(2200 * time.Millisecond)))
	rec.say("backend %s leaves, response %d", leaving.id, leaving.leave())
	leaving.stop() // drain is over
	time.Sleep(100 * time.Millisecond)
	if trouble {
		n.signal(syscall.SIGTERM) // a node receives SIGTERM after its backend has terminated
	}
	close(stop)
	all.Wait()
	n.endsWithin(7 * time.Second)
	lost, orders := 0, 0
	for _, r := range results {
		ran, ok := w.ledger.find(r.id)
		if r.status == 0 && r.connected && ok && ran.boot != leaving.id && r.took < 1900*time.Millisecond {
			lost++
			if r.method == http.MethodPost {
				orders++
			}
			rec.say("LOST: passed on to a backend, connection ended without an answer: %s", r)
		}
	}
	rec.say("%d requests, %d passed on to another machine's backend and cut without an answer, %d of them not idempotent", len(results), lost, orders)
	if lost > 0 {
		return errBroken
	}
	return nil
}
