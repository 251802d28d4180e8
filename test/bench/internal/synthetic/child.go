package synthetic

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/lentilflow/lentilflow/pkg/distribution/wire"
	"github.com/lentilflow/lentilflow/pkg/model"
)

const (
	renewInterval = 3 * time.Second
	syncEvery     = 3 // renewals
)

// Children opens n streams to the node at address, renews their leases and
// compares rosters as real children do, until ctx ends.
func (f *Fleet) Children(ctx context.Context, address string, n int) {
	for i := range n {
		e := f.entries[len(f.entries)-1-zones*i] // of one zone
		base := "http://" + address
		go follow(ctx, fmt.Sprintf("%s%s?node=%s&generation=%d&have=0", base, wire.Stream.Path(), e.Node, e.Generation))
		go renew(ctx, base, e)
	}
}

func follow(ctx context.Context, url string) {
	for ctx.Err() == nil {
		if req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil); err == nil {
			if resp, err := http.DefaultTransport.RoundTrip(req); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body) // until the stream ends
				resp.Body.Close()
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func renew(ctx context.Context, base string, e model.Entry) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: renewInterval}
	defer client.CloseIdleConnections()
	for round := 1; ctx.Err() == nil; round++ {
		var out wire.BeatAnswer
		post(client, base, wire.Beat, wire.BeatRequest{Node: e.Node, Generation: e.Generation, Lease: 9000}, &out)
		if round%syncEvery == 0 {
			post(client, base, wire.Sync, wire.SyncRequest{Node: e.Node, Digest: out.Digest, Version: out.Version}, &wire.SyncAnswer{})
		}
		time.Sleep(renewInterval)
	}
}

// post leaves out on a failure as it was; the next renewal tries again.
func post(client *http.Client, base string, k wire.Kind, in, out any) {
	body, err := json.Marshal(in)
	if err != nil {
		return
	}
	resp, err := client.Post(base+k.Path(), "application/json", bytes.NewReader(body))
	if err != nil {
		return
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(out)
}
