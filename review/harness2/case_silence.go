//go:build review2

package main

import (
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/relay"
)

// quiet is a time without the end of a watch in which the connections go silent.
const quiet = 7500 * time.Millisecond

// silenceCase restarts the nodes in turn, as planned. Later all open connections to the
// store go silent. After stable-window the operator moves a route to another service.
func silenceCase(rec *record, trouble bool) error {
	w, err := newWorld(rec, "catalog", "ordering", "catalog", "ordering", "catalog", "ordering")
	if err != nil {
		return err
	}
	defer w.close()
	order := path{"order", "/order/", "unsafe", "2000ms", "800ms", 1, "ordering", 2}
	w.configure(order)
	var mu sync.Mutex
	ends := make(map[string]time.Time) // of the open watches, by connection
	w.store.onFeed = func(remote, wait string, open bool) {
		mu.Lock()
		defer mu.Unlock()
		delete(ends, remote)
		if open {
			ms, _ := strconv.Atoi(wait)
			ends[remote] = time.Now().Add(time.Duration(ms) * time.Millisecond)
			rec.add("store: watch of the configuration from %s for %s ms", remote, wait)
		}
	}
	nextEnd := func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		next := time.Hour
		for _, end := range ends {
			next = min(next, time.Until(end))
		}
		return next
	}
	if err := w.start(20*time.Millisecond, nil, func(n *node) bool {
		return send(n, http.MethodPost, host, "/order/first", "x", 2*time.Second, rec).status == 200
	}); err != nil {
		return err
	}
	// Restart all nodes, one each 1.6 s.
	var restarts sync.WaitGroup
	for _, n := range inReverse(w.nodes) {
		n.signal(syscall.SIGTERM)
		restarts.Go(func() {
			n.endsWithin(7 * time.Second)
			time.Sleep(500 * time.Millisecond)
			_ = n.start(false)
		})
		time.Sleep(1600 * time.Millisecond)
	}
	restarts.Wait()
	if err := w.await(15*time.Second, "all nodes serve again", func() bool {
		for _, n := range w.nodes {
			if !n.isReady() || send(n, http.MethodPost, host, "/order/again", "x", 2*time.Second, rec).status != 200 {
				return false
			}
		}
		return true
	}); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // calm for longer than stable-window
	// Wait until no watch ends for some seconds, for two periods of the watches at most.
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end) && nextEnd() < quiet; time.Sleep(20 * time.Millisecond) {
	}
	rec.say("the next of the open watches ends in %.1f s", nextEnd().Seconds())
	if trouble {
		rec.say("all %d open connections to the store go silent; new ones work", w.proxy.silence())
	}
	time.Sleep(3100 * time.Millisecond) // stable-window is 3000ms
	order.Service = "catalog"
	acked := w.configure(order)
	time.Sleep(time.Until(acked.Add(2050 * time.Millisecond))) // configuration-apply is 2000ms
	var all sync.WaitGroup
	var stale, total int
	for range 20 {
		for _, n := range w.nodes {
			all.Go(func() {
				r := send(n, http.MethodPost, host, "/order/moved", "x", 2*time.Second, rec)
				mu.Lock()
				defer mu.Unlock()
				total++
				for _, ran := range w.ledger.all() {
					if ran.id == r.id && ran.service == "ordering" {
						stale++
						rec.say("CONFIG: sent %.3f s after the ack at %s and run by the old service %s", r.sent.Sub(acked).Seconds(), r.via, ran.service)
					}
				}
			})
		}
		time.Sleep(300 * time.Millisecond)
	}
	all.Wait()
	rec.say("%d requests later than configuration-apply after the ack, %d run by the old service", total, stale)
	if stale > 0 {
		return errBroken
	}
	return nil
}

// inReverse returns the nodes in the reverse of the order in which their watches end.
func inReverse(nodes []*node) []*node {
	byName := make(map[model.NodeID]*node)
	var ids []model.NodeID
	for _, n := range nodes {
		byName[model.NodeID(n.name)] = n
		ids = append(ids, model.NodeID(n.name))
	}
	var reversed []*node
	for _, id := range relay.Order(ids) {
		reversed = append([]*node{byName[id]}, reversed...)
	}
	return reversed
}
