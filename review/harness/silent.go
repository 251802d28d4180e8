package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// silentWatch: the open connections to the store go silent for good, without a reset; new
// ones work. Later than the stable window after that, the operator writes a version that
// moves a route to another service. Rule CONFIG: no request that is sent later than
// configuration-apply after the ack is handled as only the older version allows.
func silentWatch(d *deployment, trouble bool) (verdict, error) {
	services := []string{"catalog", "ordering"}
	places := []place{{"seoul-a", "seoul"}, {"busan-a", "busan"}, {"daejeon-a", "daejeon"}}
	for i := range 2 {
		for _, p := range places {
			if err := d.addMachine(services[i], p, i+1, 20*time.Millisecond); err != nil {
				return verdict{}, err
			}
		}
	}
	routes := func(service string) []route {
		return []route{
			{Name: "browse", Prefix: "/browse/", Kind: "safe", Timeout: "1500ms", Target: "500ms", Priority: 0, MaxAttempts: 2, Service: "catalog"},
			{Name: "stock", Prefix: "/stock/", Kind: "safe", Timeout: "1500ms", Target: "500ms", Priority: 0, MaxAttempts: 2, Service: service},
		}
	}
	d.putConfiguration(1, services, routes("catalog"))
	if err := d.startAll(); err != nil {
		return verdict{}, err
	}
	var wait sync.WaitGroup
	ended := make(chan struct{})
	var mu sync.Mutex
	var answers []answer
	for _, m := range d.machines {
		wait.Go(func() {
			c := newClient(m)
			for n := 0; ; n++ {
				select {
				case <-ended:
					return
				case <-time.After(100 * time.Millisecond):
				}
				a := c.send(d.ctx, http.MethodGet, fmt.Sprintf("/stock/%d", n), 1500*time.Millisecond)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		})
	}
	time.Sleep(3 * time.Second)
	silenced := time.Now()
	if trouble {
		n := d.store.silenceOpenConnections()
		d.record.line("store    the %d open connections go silent; new ones work", n)
	}
	time.Sleep(stableWindow + 2*time.Second) // all machines are in touch again
	ack := d.putConfiguration(2, services, routes("ordering"))
	time.Sleep(40 * time.Second)
	close(ended)
	wait.Wait()
	judged, old := 0, 0
	var last time.Time
	machines := make(map[string]int)
	for i := range answers {
		a := &answers[i]
		if a.Status != http.StatusOK {
			continue
		}
		if a.RanBy == "catalog" && a.Sent.After(last) {
			last = a.Sent
		}
		if a.Sent.Sub(ack) <= configApply || a.Sent.Sub(silenced) < stableWindow {
			continue
		}
		judged++
		if a.RanBy == "catalog" {
			old++
			machines[a.Machine.name]++
			d.record.lineAt(a.Sent, "sent     %s %s to %s, answered %s: %.1f s after the ack", a.ID, a.Path, a.Machine.name, a.text(), a.Sent.Sub(ack).Seconds())
		}
	}
	if judged == 0 {
		return verdict{}, fmt.Errorf("no request was answered")
	}
	return verdict{broken: old > 0, summary: fmt.Sprintf(
		"%d of %d requests sent later than %s after the ack were run by the service of the older version, at %d of %d machines; the last was sent %.1f s after the ack",
		old, judged, configApply, len(machines), len(d.machines), last.Sub(ack).Seconds())}, nil
}
