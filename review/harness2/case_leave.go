//go:build review2

package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

// leaveCase restarts the node beside a backend, as planned. The backend leaves before the
// node has got a status report of it, and a report that it sent before arrives late.
func leaveCase(rec *record, trouble bool) error {
	w, err := newWorld(rec, "catalog", "ordering", "catalog", "ordering")
	if err != nil {
		return err
	}
	defer w.close()
	w.configure(path{"order", "/order/", "unsafe", "2000ms", "800ms", 1, "catalog", 2})
	const work = 150 * time.Millisecond
	if err := w.start(work, nil, func(n *node) bool {
		return send(n, http.MethodPost, host, "/order/first", "x", 2*time.Second, rec).status == 200
	}); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	n := w.nodes[0]
	b := w.backends[n]
	n.signal(syscall.SIGTERM)
	n.endsWithin(7 * time.Second)
	time.Sleep(500 * time.Millisecond)
	b.quiet.Store(true) // its next reports are sent below
	if err := n.start(false); err != nil {
		return err
	}
	restarted := time.Now()
	if err := w.await(5*time.Second, "the restarted node is ready", n.isReady); err != nil {
		return err
	}
	time.Sleep(200 * time.Millisecond)
	late := b.encode("ready")
	if !trouble {
		rec.say("backend %s reports ready, response %d", b.id, post(n.control(), "/-/Instances.Heartbeat/"+b.id, late))
	}
	time.Sleep(200 * time.Millisecond)
	b.leaving.Store(true)
	rec.say("backend %s leaves, response %d", b.id, b.leave())
	acked := time.Now()
	var all sync.WaitGroup
	var mu sync.Mutex
	failed := make(map[string]*result)
	stop := make(chan struct{})
	all.Go(func() { // clients on the other machines
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			all.Go(func() {
				if r := send(w.nodes[1+i%3], http.MethodPost, host, "/order/a", "x", 2*time.Second, rec); r.status != 200 {
					mu.Lock()
					defer mu.Unlock()
					failed[r.id] = r
				}
			})
		}
	})
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		rec.say("a report that backend %s sent before it left arrives 1.7 s late, response %d", b.id, post(n.control(), "/-/Instances.Heartbeat/"+b.id, late))
	}
	time.Sleep(time.Until(acked.Add(6 * time.Second)))
	b.stop() // it has served for drain and some seconds
	ended := time.Now()
	time.Sleep(time.Second)
	close(stop)
	all.Wait()
	from := acked.Add(2 * time.Second) // drain
	if calm := restarted.Add(3500 * time.Millisecond); calm.After(from) {
		from = calm // the machine is in touch
	}
	broken, lost := 0, 0
	for _, r := range w.ledger.all() {
		if r.boot != b.id || !r.at.After(from) {
			continue
		}
		broken++
		if answer := failed[r.id]; answer != nil {
			lost++
			rec.say("an order that the left backend was running at its end: %s", answer)
		}
	}
	rec.say("backend %s ran %d requests between %.1f s after the ack of its departure and its end at %.1f s; %d of them were lost", b.id, broken, from.Sub(acked).Seconds(), ended.Sub(acked).Seconds(), lost)
	if broken > 0 {
		return errBroken
	}
	return nil
}
