package synthetic

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/lentilflow/lentilflow/pkg/distribution/wire"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// Children opens n streams to the node at address, renews their leases and
// compares rosters as real children do, until ctx ends.
func (f *Fleet) Children(ctx context.Context, address string, n int) *sync.WaitGroup {
	var all sync.WaitGroup
	for i := range n {
		f.mu.Lock()
		e := f.entries[len(f.entries)-1-7*i] // of one zone
		f.mu.Unlock()
		c := &child{entry: e, base: "http://" + address, client: &http.Client{Transport: &http.Transport{}}}
		all.Go(func() { c.follow(ctx) })
		all.Go(func() { c.renew(ctx) })
	}
	return &all
}

type child struct {
	entry  model.Entry
	base   string
	client *http.Client
}

func (c *child) follow(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		url := fmt.Sprintf("%s%s?node=%s&generation=%d&have=0", c.base, wire.Stream.Path(), c.entry.Node, c.entry.Generation)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return
		}
		if resp, err := c.client.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		pause(ctx, 100*time.Millisecond)
	}
}

func (c *child) renew(ctx context.Context) {
	for round := 1; pause(ctx, renewInterval); round++ {
		var out wire.BeatAnswer
		in := wire.BeatRequest{Node: c.entry.Node, Generation: c.entry.Generation, Lease: 9000}
		if c.post(ctx, wire.Beat, in, &out) != nil {
			continue
		}
		if round%int(syncInterval/renewInterval) == 0 {
			_ = c.post(ctx, wire.Sync, wire.SyncRequest{Node: c.entry.Node, Digest: out.Digest, Version: out.Version}, &wire.SyncAnswer{})
		}
	}
}

func (c *child) post(ctx context.Context, k wire.Kind, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+k.Path(), bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(out)
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
