//go:build review2

package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// crashCase sends a request again and again that crashes each backend that runs it. The
// backend has begun its answer when it crashes.
func crashCase(rec *record, trouble bool) error {
	w, err := newWorld(rec, "catalog", "ordering", "catalog", "ordering", "catalog")
	if err != nil {
		return err
	}
	defer w.close()
	w.configure(
		path{"browse", "/browse/", "safe", "1500ms", "500ms", 0, "catalog", 2},
		path{"order", "/order/", "unsafe", "2000ms", "800ms", 1, "catalog", 2},
	)
	const work = 100 * time.Millisecond
	var mu sync.Mutex
	var crashes []time.Time
	var serve func(b *backend, w http.ResponseWriter, r *http.Request) bool
	serve = func(b *backend, rw http.ResponseWriter, r *http.Request) bool {
		if !strings.HasSuffix(r.URL.Path, "/poison") || !trouble {
			return false
		}
		rw.Header().Set("Content-Length", "20000")
		_, _ = rw.Write(make([]byte, 8000))
		_ = http.NewResponseController(rw).Flush()
		time.Sleep(30 * time.Millisecond)
		mu.Lock()
		crashes = append(crashes, time.Now())
		rec.say("backend %s crashes while it runs %s (crash %d)", b.id, r.Header.Get("X-Request-Id"), len(crashes))
		mu.Unlock()
		go func() {
			b.stop()
			time.Sleep(2500 * time.Millisecond) // it is back after some seconds
			mu.Lock()
			defer mu.Unlock()
			_ = w.startBackend(b.node, work, serve)
		}()
		time.Sleep(100 * time.Millisecond)
		panic(http.ErrAbortHandler)
	}
	if err := w.start(work, serve, func(n *node) bool {
		return send(n, http.MethodPost, host, "/order/first", "x", 2*time.Second, rec).status == 200 &&
			send(n, http.MethodGet, host, "/browse/first", "", 2*time.Second, rec).status == 200
	}); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	var others sync.WaitGroup
	var orders []*result
	stop := make(chan struct{})
	others.Go(func() { // another client sends orders to the same service
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			others.Go(func() {
				r := send(w.nodes[3], http.MethodPost, host, "/order/a", "x", 2*time.Second, rec)
				mu.Lock()
				defer mu.Unlock()
				orders = append(orders, r)
			})
		}
	})
	caller := w.nodes[1]
	refused := 0
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(1500 * time.Millisecond) {
		if r := send(caller, http.MethodGet, host, "/browse/poison", "", 1500*time.Millisecond, rec); r.status == 503 {
			refused++
		}
	}
	close(stop)
	others.Wait()
	mu.Lock()
	defer mu.Unlock()
	lost := 0
	for _, r := range orders {
		if _, ran := w.ledger.find(r.id); ran && r.status != 200 {
			lost++
		}
	}
	rec.say("%d orders of another client, %d of them have run and got no success", len(orders), lost)
	rec.say("%d crashes, %d of the client's attempts refused", len(crashes), refused)
	if len(crashes) < 3 {
		return nil
	}
	late := 0
	for _, at := range crashes[3:] {
		if at.Sub(crashes[2]) > 3*time.Second {
			late++
		}
	}
	rec.say("%d retries reached a backend later than 3 s after the third crash; three are allowed", late)
	if late > 3 {
		return errBroken
	}
	return nil
}
