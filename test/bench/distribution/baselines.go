package main

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/pkg/platform"
	"github.com/lentilflow/lentilflow/pkg/publisher"
	standin "github.com/lentilflow/lentilflow/pkg/standin/platform"
	"github.com/lentilflow/lentilflow/test/bench/internal/mesh"
	"github.com/lentilflow/lentilflow/test/bench/internal/report"
)

// baselineChanges is the number of changes for each baseline.
const baselineChanges = 4

// baseline is a plain way to distribute the same file over the same links to
// the same number of nodes, which run in this process.
type baseline struct {
	links   *mesh.Links
	mu      sync.Mutex
	want    []byte
	missing map[int]bool // nodes without want
	done    chan struct{}
}

func (b *bench) baselines() {
	for name, run := range map[string]func(*baseline){"baseline_poll": b.poll, "baseline_push": b.push} {
		l := &baseline{links: mesh.NewLinks()}
		run(l)
		l.links.Close()
		report.Info(b.name(name+"_between_regions"), l.links.Bytes()/baselineChanges, "B")
	}
}

// rounds publishes changed files, waits until every node has each, and prints
// the times.
func (b *bench) rounds(l *baseline, name string, publish func(text []byte)) {
	var times []float64
	for i := range baselineChanges {
		text, done := mesh.Rules(b.rules, b.edits+1+i), make(chan struct{})
		l.mu.Lock()
		l.want, l.missing, l.done = text, make(map[int]bool), done
		for node := range b.Nodes {
			l.missing[node] = true
		}
		l.mu.Unlock()
		at := time.Now()
		publish(text)
		select {
		case <-done:
			times = append(times, time.Since(at).Seconds())
		case <-time.After(limit):
			report.Must(merry.Errorf("%s: not every node has the file", name))
		}
	}
	report.Info(b.name(name+"_in_force_max"), report.Max(times), "s")
	report.Info(b.name(name+"_in_force_median"), report.Median(times), "s")
}

func (l *baseline) record(node int, text []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.missing[node] && bytes.Equal(text, l.want) {
		if delete(l.missing, node); len(l.missing) == 0 {
			close(l.done)
		}
	}
}

// poll makes every node read the whole file from the store once a second.
func (b *bench) poll(l *baseline) {
	store := report.Get(standin.NewServer("127.0.0.1:0", standin.NewService(standin.Config{})))
	defer store.Stop()
	ctx, cancel := context.WithCancel(context.Background())
	var nodes sync.WaitGroup
	defer nodes.Wait()
	defer cancel()
	for i, n := range b.Nodes {
		objects := platform.NewObjects(platform.Config{URL: "http://" + l.links.Via(n.Location.Region, "serra", store.URL()[len("http://"):])})
		nodes.Go(func() {
			defer objects.Close()
			time.Sleep(time.Duration(rand.Int64N(int64(time.Second))))
			for ctx.Err() == nil {
				if o, err := objects.Get(ctx, publisher.RulesObject); err == nil {
					l.record(i, o.Body)
				}
				time.Sleep(time.Second)
			}
		})
	}
	b.rounds(l, "baseline_poll", func(text []byte) {
		report.Get(store.Blobs.Put(ctx, publisher.RulesObject, text, ""))
	})
}

// push makes one publisher send the whole file to every node, 32 at a time.
func (b *bench) push(l *baseline) {
	addresses := make([]string, len(b.Nodes))
	for i, n := range b.Nodes {
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body) // a broken body is not equal to the file
			l.record(i, body)
		}))
		defer server.Close()
		addresses[i] = l.links.Via("serra", n.Location.Region, server.Listener.Addr().String())
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: limit}
	b.rounds(l, "baseline_push", func(text []byte) {
		report.Each(len(addresses), 32, func(i int) {
			report.Get(client.Post("http://"+addresses[i], "text/plain", bytes.NewReader(text))).Body.Close()
		})
	})
}
