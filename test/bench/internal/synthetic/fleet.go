package synthetic

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lentilflow/lentilflow/pkg/delta"
	"github.com/lentilflow/lentilflow/pkg/distribution/wire"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/test/bench/internal/mesh"
)

// Zones are those of the target: 2 regions, 7 availability zones.
func Zones() []model.Location {
	var out []model.Location
	for i := range 7 {
		out = append(out, model.Location{
			Region:           model.Region([]string{"east", "west"}[i%2]),
			AvailabilityZone: model.AvailabilityZone(fmt.Sprintf("zone-%d", i)),
		})
	}
	return out
}

const (
	beatInterval  = 2 * time.Second
	renewInterval = 3 * time.Second
	syncInterval  = 10 * time.Second
	// older makes the synthetic nodes older than the measured one, so that it
	// is a leaf by position and watches nobody.
	older = 10 * time.Minute
)

// Fleet is the synthetic fleet. All its nodes share one listener.
type Fleet struct {
	rules  int
	server *http.Server
	addr   string

	mu      sync.Mutex
	entries []model.Entry
	info    model.VersionInfo
	text    []byte
	streams map[chan wire.Frame]struct{}
}

// NewFleet returns a running fleet with n entries and a rules file.
func NewFleet(n, rules int) (*Fleet, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &Fleet{rules: rules, addr: l.Addr().String(), streams: make(map[chan wire.Frame]struct{})}
	started := uint64(time.Now().Add(-older).UnixMilli())
	for i := range n {
		z := Zones()[i%7]
		f.entries = append(f.entries, model.Entry{
			Node: model.NodeID(fmt.Sprintf("%s-%04d", z.AvailabilityZone, i)), Generation: started + uint64(i), Sequence: 1,
			Service: mesh.Service(i), Location: z, Address: f.addr, CallAddress: f.addr, AdminAddress: f.addr,
			RegionAddresses: map[model.Region]string{"east": f.addr, "west": f.addr}, Slots: 15, Publisher: i == 0,
		})
	}
	f.setVersion(1)
	mux := http.NewServeMux()
	mux.HandleFunc(wire.Stream.Path(), f.stream)
	mux.HandleFunc(wire.Version.Path(), func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc(wire.Join.Path(), f.join)
	mux.HandleFunc(wire.Beat.Path(), f.beat)
	mux.HandleFunc(wire.Sync.Path(), f.sync)
	mux.HandleFunc(wire.Entries.Path(), func(w http.ResponseWriter, _ *http.Request) { answer(w, wire.EntriesAnswer{}) })
	f.server = &http.Server{Handler: mux}
	go func() { _ = f.server.Serve(l) }()
	return f, nil
}

// Close stops the fleet.
func (f *Fleet) Close() { _ = f.server.Close() }

// Address returns the listener of the fleet, to be used as a seed.
func (f *Fleet) Address() string { return f.addr }

func (f *Fleet) setVersion(number int) {
	f.text = mesh.Rules(f.rules, number-1)
	f.info = model.VersionInfo{
		Number: model.Version(number), Digest: delta.Digest(f.text), ETag: "0123456789abcdef", AcceptedAt: time.Now(),
		Publisher: f.entries[0].Node, Generation: 1,
	}
}

// Edit sends the next version, with one changed rule, down the streams.
func (f *Fleet) Edit() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	before, text := f.info, f.text
	f.setVersion(int(before.Number) + 1)
	d, err := delta.Encode(text, f.text)
	if err != nil {
		return err
	}
	f.send(wire.Frame{Version: &wire.VersionFrame{Info: f.info, From: before.Number, FromDigest: before.Digest, Delta: d}})
	return nil
}

// Restart sends the three roster changes of a planned restart of some node.
func (f *Fleet) Restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := &f.entries[1+rand.IntN(len(f.entries)-1)]
	for _, s := range []model.EntryState{model.Draining, model.Gone} {
		e.State = s
		e.Sequence++
		f.send(wire.Frame{Entries: []model.Entry{*e}})
	}
	e.State, e.Sequence, e.Generation = model.Ready, 1, uint64(time.Now().UnixMilli())
	f.send(wire.Frame{Entries: []model.Entry{*e}})
}

// Lose sends n nodes as suspect and then as gone, as when their availability
// zone fails.
func (f *Fleet) Lose(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range []model.EntryState{model.Suspect, model.Gone} {
		var lost []model.Entry
		for i := len(f.entries) - n; i < len(f.entries); i++ {
			f.entries[i].State = s
			lost = append(lost, f.entries[i])
		}
		f.send(wire.Frame{Entries: lost})
	}
}

// send queues a frame for every stream. The caller holds the lock. A stream
// that is full loses frames, which the byte counts would show.
func (f *Fleet) send(frame wire.Frame) {
	for s := range f.streams {
		select {
		case s <- frame:
		default:
		}
	}
}

func (f *Fleet) stream(w http.ResponseWriter, r *http.Request) {
	frames := make(chan wire.Frame, 256)
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
		var line []byte
		select {
		case <-r.Context().Done():
			return
		case frame := <-frames:
			line, err = wire.EncodeFrame(frame)
		case <-tick.C:
			line, err = wire.EncodeFrame(f.beatFrame())
		}
		if err == nil {
			_, err = w.Write(line)
		}
		if err == nil {
			err = control.Flush()
		}
	}
}

func (f *Fleet) beatFrame() wire.Frame {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now().UnixMilli()
	return wire.Frame{Beat: &wire.BeatFrame{Sequence: uint64(now), Version: f.info.Number, AsOf: now}}
}

func (f *Fleet) join(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	answer(w, wire.JoinAnswer{Node: f.entries[0].Node, Entries: f.entries, Version: f.info.Number})
}

// beat grants every lease and claims an equal roster.
func (f *Fleet) beat(w http.ResponseWriter, r *http.Request) {
	var in wire.BeatRequest
	if json.NewDecoder(r.Body).Decode(&in) == nil {
		answer(w, wire.BeatAnswer{Lease: in.Lease, Version: in.Version, Digest: in.Digest})
	}
}

func (f *Fleet) sync(w http.ResponseWriter, r *http.Request) {
	var in wire.SyncRequest
	if json.NewDecoder(r.Body).Decode(&in) == nil {
		answer(w, wire.SyncAnswer{Digest: in.Digest, Version: in.Version})
	}
}

func answer(w http.ResponseWriter, body any) {
	data, compressed, err := wire.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header()["Date"] = nil
	if compressed {
		w.Header().Set("Content-Encoding", wire.Encoding)
	}
	_, _ = w.Write(data)
}
