//go:build review2

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// zones are those of a small deployment: three regions with a zone each.
var zones = []string{"seoul-a", "busan-a", "daejeon-a"}

// world is a deployment: the store, a proxy in front of it, and nodes with their backends.
type world struct {
	rec      *record
	dir      string
	store    *store
	proxy    *proxy
	nodes    []*node
	ledger   *ledger
	backends map[*node]*backend
	version  int
}

var errNoPorts = errors.New("no free ports on loopback")

// newWorld starts the store, and plans a node with each service in services; nodes of one
// service are in different zones. Nothing else is started.
func newWorld(rec *record, services ...string) (*world, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, dir: dir, ledger: &ledger{rec: rec}, backends: make(map[*node]*backend)}
	ports, err := freePorts(len(services) + 1)
	if err != nil {
		return nil, err
	}
	storeAddress, proxyAddress := fmt.Sprintf("127.77.0.1:%d", ports[0]), fmt.Sprintf("127.77.0.1:%d", ports[1])
	if w.store, err = startStore(storeAddress); err != nil {
		return nil, err
	}
	if w.proxy, err = startProxy(proxyAddress, storeAddress); err != nil {
		return nil, err
	}
	counts := make(map[string]int)
	for i, service := range services {
		zone := zones[counts[service]%len(zones)]
		counts[service]++
		n := &node{
			name: fmt.Sprintf("sidecar-%s-%d", zone, i/len(zones)+1), region: zone[:len(zone)-2], zone: zone, service: service,
			ip: fmt.Sprintf("127.77.1.%d", i+1), ports: ports, dir: dir, store: proxyAddress, rec: rec,
		}
		n.name = fmt.Sprintf("sidecar-%s-%s", zone, service)
		if counts[service] > len(zones) {
			n.name += fmt.Sprint("-", counts[service])
		}
		w.nodes = append(w.nodes, n)
	}
	return w, nil
}

// freePorts finds six ports that are free on the loopback addresses of all machines.
func freePorts(machines int) (ports [6]int, err error) {
	for base := 21000; base < 30000; base += 16 {
		free := true
		for m := range machines + 1 {
			ip := fmt.Sprintf("127.77.1.%d", m)
			if m == 0 {
				ip = "127.77.0.1"
			}
			for i := range ports {
				ports[i] = base + i
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, ports[i]))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
			if !free {
				break
			}
		}
		if free {
			return ports, nil
		}
	}
	return ports, errNoPorts
}

// path is a route of the operator's configuration.
type path struct {
	Name    string `json:"name"`
	Prefix  string `json:"prefix"`
	Kind    string `json:"kind"`
	Timeout string `json:"timeout"`
	Target  string `json:"target-latency"`
	Rank    int    `json:"priority"`
	Service string `json:"service"`
	Tries   int    `json:"max-attempts"`
}

const host = "jepu9.example"

// configure writes the next version of the operator's configuration and returns the time
// of its ack.
func (w *world) configure(routes ...path) time.Time {
	w.version += 3
	var services []map[string]any
	seen := make(map[string]bool)
	for _, n := range w.nodes {
		if !seen[n.service] {
			seen[n.service] = true
			services = append(services, map[string]any{"name": n.service, "health-path": "/health", "connection-limit": 120})
		}
	}
	body, _ := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", w.version), "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout": "3000ms", "idle-timeout": "15000ms"},
		"hosts":  []map[string]any{{"host": host, "paths": routes}},
	})
	w.store.put("op", "config", body)
	acked := time.Now()
	w.rec.say("the store has acknowledged configuration %08x", w.version)
	return acked
}

// start starts the nodes and their backends, and waits until all of them serve.
func (w *world) start(work time.Duration, serve func(*backend, http_, *request) bool, check func(n *node) bool) error {
	for _, n := range w.nodes {
		if err := n.start(true); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if err := w.startBackend(n, work, serve); err != nil {
			return err
		}
	}
	return w.await(15*time.Second, "all nodes serve", func() bool {
		for _, n := range w.nodes {
			if !n.isReady() || !check(n) {
				return false
			}
		}
		return true
	})
}

func (w *world) startBackend(n *node, work time.Duration, serve func(*backend, http_, *request) bool) error {
	b, err := startBackend(n, work, w.ledger, w.rec, serve)
	if err == nil {
		w.backends[n] = b
	}
	return err
}

// await waits for a condition.
func (w *world) await(limit time.Duration, what string, condition func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if condition() {
			w.rec.say("%s", what)
			return nil
		}
	}
	return fmt.Errorf("not in time: %s", what)
}

// close ends everything that the case has started.
func (w *world) close() {
	for _, n := range w.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGKILL)
			n.endsWithin(5 * time.Second)
		}
	}
	for _, b := range w.backends {
		b.stop()
	}
	w.proxy.close()
	w.store.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs of the nodes:", w.dir)
	}
}
