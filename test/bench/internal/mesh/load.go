package mesh

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// connections is the number of callers of one node under load.
const connections = 16

// Load sends calls that a rule matches to a node at a rate until stop is
// closed. It returns how many were answered 200 and how many were not.
func (n *Node) Load(rule int, rate float64, stop <-chan struct{}) (done, failed int64) {
	transport := &http.Transport{MaxIdleConnsPerHost: connections}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 5 * time.Second}
	var good, bad atomic.Int64
	var all sync.WaitGroup
	interval := time.Duration(float64(time.Second) * connections / rate)
	for i := range connections {
		all.Go(func() {
			next := time.Now().Add(interval * time.Duration(i) / connections)
			for ; ; next = next.Add(interval) {
				select {
				case <-stop:
					return
				case <-time.After(time.Until(next)):
				}
				if n.call(client, rule) {
					good.Add(1)
				} else {
					bad.Add(1)
				}
			}
		})
	}
	all.Wait()
	return good.Load(), bad.Load()
}

func (n *Node) call(client *http.Client, rule int) bool {
	req, err := http.NewRequest(http.MethodGet, "http://"+n.Calls+path(rule), nil)
	if err != nil {
		return false
	}
	req.Host = host
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}
