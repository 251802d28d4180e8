package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// clientsLeave: many users come at once, and some of them leave before their time limit.
// Their orders have long bodies. Rule GONE: after a client has closed its connection, no
// more than a few requests reach a backend over half a second later.
func clientsLeave(d *deployment, trouble bool) (verdict, error) {
	const (
		deadline  = 2 * time.Second
		work      = 600 * time.Millisecond
		leaveIn   = 400 * time.Millisecond // half the objective
		leaving   = 0.3                    // share of the clients
		afterGone = 500 * time.Millisecond
		few       = 20
		length    = 30 * time.Second
		perSecond = 100
		bodySize  = 300_000
	)
	places := []place{{"seoul-a", "seoul"}, {"busan-a", "busan"}, {"daejeon-a", "daejeon"}}
	for i := range 2 {
		for _, p := range places {
			if err := d.addMachine([]string{"ordering", "catalog"}[i], p, i+1, work); err != nil {
				return verdict{}, err
			}
		}
	}
	d.putConfiguration(1, []string{"catalog", "ordering"}, []route{
		{Name: "orders", Prefix: "/orders/", Kind: "unsafe", Timeout: "2000ms", Target: "800ms", Priority: 1, MaxAttempts: 2, Service: "ordering"},
	})
	if err := d.startAll(); err != nil {
		return verdict{}, err
	}
	body := bytes.Repeat([]byte("x"), bodySize)
	var wait sync.WaitGroup
	var mu sync.Mutex
	left := make(map[string]time.Time)
	gone, answered := 0, 0
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		m := d.machines[rand.IntN(len(d.machines))]
		wait.Go(func() {
			ctx, cancel := context.WithCancel(d.ctx)
			defer cancel()
			if trouble && rand.Float64() < leaving {
				time.AfterFunc(leaveIn, cancel)
			}
			c := newClient(m)
			a := c.sendBody(ctx, http.MethodPost, "/orders/1", deadline, body)
			c.http.CloseIdleConnections()
			mu.Lock()
			defer mu.Unlock()
			switch {
			case ctx.Err() != nil:
				left[a.ID] = a.At
				gone++
			case a.Status == http.StatusOK:
				answered++
			}
		})
		time.Sleep(time.Second / perSecond)
	}
	wait.Wait()
	late := 0
	for _, r := range d.ledger.all() {
		at, ok := left[r.ID]
		if !ok || r.At.Sub(at) <= afterGone {
			continue
		}
		late++
		d.record.lineAt(r.At, "run      %s on %s began %.2f s after its client had closed the connection", r.ID, r.Backend, r.At.Sub(at).Seconds())
	}
	if answered == 0 {
		return verdict{}, fmt.Errorf("no order was answered")
	}
	return verdict{broken: late > few, summary: fmt.Sprintf(
		"%d clients left; %d of their orders reached a backend later than %s after that (%d orders of others were answered)",
		gone, late, afterGone, answered)}, nil
}
