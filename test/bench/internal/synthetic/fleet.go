package synthetic

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/lentilflow/lentilflow/pkg/delta"
	"github.com/lentilflow/lentilflow/pkg/distribution/wire"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/test/bench/internal/mesh"
	"github.com/lentilflow/lentilflow/test/bench/internal/report"
)

// zones is the number of availability zones of the target, in 2 regions.
const zones = 7

// Zone returns an availability zone of the fleet.
func Zone(i int) model.Location {
	i %= zones
	return model.Location{Region: model.Region([]string{"east", "west"}[i%2]), AvailabilityZone: model.AvailabilityZone(fmt.Sprintf("zone-%d", i))}
}

const (
	beatInterval = 2 * time.Second
	// older makes the synthetic nodes older than the measured one, so that it
	// is a leaf by position and watches nobody.
	older = 10 * time.Minute
)

// Fleet is the synthetic fleet. All its nodes share one listener.
type Fleet struct {
	*httptest.Server
	Addr  string // to be used as a seed
	rules int

	mu      sync.Mutex
	entries []model.Entry
	info    model.VersionInfo
	text    []byte
	streams map[chan wire.Frame]struct{}
}

// NewFleet returns a running fleet with n entries and a file with a number of
// rules.
func NewFleet(n, rules int) *Fleet {
	f := &Fleet{rules: rules, streams: make(map[chan wire.Frame]struct{})}
	mux := http.NewServeMux()
	f.Server = httptest.NewServer(mux)
	f.Addr = f.Listener.Addr().String()
	started := uint64(time.Now().Add(-older).UnixMilli())
	for i := range n {
		z := Zone(i)
		f.entries = append(f.entries, model.Entry{
			Node: model.NodeID(fmt.Sprintf("%s-%04d", z.AvailabilityZone, i)), Generation: started + uint64(i), Sequence: 1,
			Service: mesh.Service(i), Location: z, Address: f.Addr, CallAddress: f.Addr, AdminAddress: f.Addr,
			RegionAddresses: map[model.Region]string{"east": f.Addr, "west": f.Addr}, Slots: 15, Publisher: i == 0,
		})
	}
	f.setVersion(1)
	mux.HandleFunc(wire.Stream.Path(), f.stream)
	mux.HandleFunc(wire.Version.Path(), func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	handle(mux, wire.Join, func(*wire.JoinRequest) any {
		return wire.JoinAnswer{Node: f.entries[0].Node, Entries: f.entries, Version: f.info.Number}
	})
	// Leases are granted and rosters are equal, whatever the node says.
	handle(mux, wire.Beat, func(in *wire.BeatRequest) any {
		return wire.BeatAnswer{Lease: in.Lease, Version: in.Version, Digest: in.Digest}
	})
	handle(mux, wire.Sync, func(in *wire.SyncRequest) any { return wire.SyncAnswer{Digest: in.Digest, Version: in.Version} })
	handle(mux, wire.Entries, func(*wire.EntriesRequest) any { return wire.EntriesAnswer{} })
	return f
}

func handle[T any](mux *http.ServeMux, k wire.Kind, answer func(*T) any) {
	mux.HandleFunc(k.Path(), func(w http.ResponseWriter, r *http.Request) {
		var in T
		text, err := io.ReadAll(r.Body)
		if err == nil {
			err = wire.Unmarshal(text, r.Header.Get("Content-Encoding") == wire.Encoding, &in)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		body, compressed, err := wire.Marshal(answer(&in))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header()["Date"] = nil
		if compressed {
			w.Header().Set("Content-Encoding", wire.Encoding)
		}
		_, _ = w.Write(body)
	})
}

func (f *Fleet) setVersion(number int) {
	f.text = mesh.Rules(f.rules, number-1)
	f.info = model.VersionInfo{
		Number: model.Version(number), Digest: delta.Digest(f.text), ETag: "0123456789abcdef", AcceptedAt: time.Now(),
		Publisher: f.entries[0].Node, Generation: 1,
	}
}

// Edit sends the next version, with one changed rule, down the streams.
func (f *Fleet) Edit() {
	f.mu.Lock()
	defer f.mu.Unlock()
	before, text := f.info, f.text
	f.setVersion(int(before.Number) + 1)
	f.send(wire.Frame{Version: &wire.VersionFrame{
		Info: f.info, From: before.Number, FromDigest: before.Digest, Delta: report.Get(delta.Encode(text, f.text)),
	}})
}

// Restart sends the three roster changes of a planned restart of some node.
func (f *Fleet) Restart() {
	i := 1 + rand.IntN(len(f.entries)-1)
	f.announce(i, i+1, model.Draining)
	f.announce(i, i+1, model.Gone)
	f.mu.Lock()
	f.entries[i].Generation = uint64(time.Now().UnixMilli())
	f.mu.Unlock()
	f.announce(i, i+1, model.Ready)
}

// Lose sends the last n nodes as suspect and then as gone, as when their
// availability zone fails.
func (f *Fleet) Lose(n int) {
	f.announce(len(f.entries)-n, len(f.entries), model.Suspect)
	f.announce(len(f.entries)-n, len(f.entries), model.Gone)
}

func (f *Fleet) announce(from, to int, s model.EntryState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := from; i < to; i++ {
		f.entries[i].State = s
		f.entries[i].Sequence++
	}
	f.send(wire.Frame{Entries: append([]model.Entry(nil), f.entries[from:to]...)})
}

// send queues a frame for every stream. The caller holds the lock.
func (f *Fleet) send(frame wire.Frame) {
	for s := range f.streams {
		s <- frame
	}
}

// stream serves the measured node's stream from its parent.
func (f *Fleet) stream(w http.ResponseWriter, r *http.Request) {
	frames := make(chan wire.Frame, 1024)
	f.mu.Lock()
	full, err := delta.Compress(f.text)
	frames <- wire.Frame{Version: &wire.VersionFrame{Info: f.info, Full: full}}
	f.streams[frames] = struct{}{}
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.streams, frames)
	}()
	tick := time.NewTicker(beatInterval)
	defer tick.Stop()
	control := http.NewResponseController(w)
	for err == nil {
		var frame wire.Frame
		select {
		case <-r.Context().Done():
			return
		case frame = <-frames:
		case now := <-tick.C:
			f.mu.Lock()
			frame.Beat = &wire.BeatFrame{Sequence: uint64(now.UnixMilli()), Version: f.info.Number, AsOf: now.UnixMilli()}
			f.mu.Unlock()
		}
		var line []byte
		if line, err = wire.EncodeFrame(frame); err != nil {
			return
		}
		if _, err = w.Write(line); err == nil {
			err = control.Flush()
		}
	}
}
