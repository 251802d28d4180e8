package distribution

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lentilflow/lentilflow/pkg/delta"
	"github.com/lentilflow/lentilflow/pkg/membership"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/platform"
)

// quick are periods for tests; their ratios are those of production.
var quick = Timing{
	Beat: 100 * time.Millisecond, Stale: 400 * time.Millisecond, Renew: 150 * time.Millisecond,
	Sync: 300 * time.Millisecond, Watch: 50 * time.Millisecond, Store: 200 * time.Millisecond,
	Request: 500 * time.Millisecond, Return: 200 * time.Millisecond, ReturnRoot: 100 * time.Millisecond,
}

// rulesText returns a rules file that differs from others by a few lines.
func rulesText(n int) []byte {
	var b strings.Builder
	b.WriteString("service acompanha slots=15 connections=130   # Ana Prado: salon platform\n")
	for i := range 60 {
		fmt.Fprintf(&b, "rule rule-%d path=/status/%d service=acompanha rank=0 deadline=%dms idempotent=yes   # Marina Costa: check %d\n",
			i, i, 400+n*(i%60/59), i)
	}
	return []byte(b.String())
}

func version(n int) model.VersionedText {
	text := rulesText(n)
	return model.VersionedText{Text: text, Info: model.VersionInfo{
		Number: model.Version(n), Digest: delta.Digest(text), ETag: fmt.Sprint(n), AcceptedAt: time.Now(),
	}}
}

// store is a platform stand-in with an outage switch.
type store struct {
	platform.Table
	platform.Objects
	mu   sync.Mutex
	down bool
	head model.VersionedText
	rows map[string]platform.Row
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// table and objects separate the two interfaces, which share method names.
type (
	table   struct{ *store }
	objects struct{ *store }
)

func (t table) Get(_ context.Context, key string) (platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return platform.Row{}, platform.ErrUnavailable
	}
	if key == headRow && t.head.Info.Number > 0 {
		value, err := json.Marshal(t.head.Info)
		return platform.Row{Key: key, Revision: 1, Value: value}, err
	}
	if row, ok := t.rows[key]; ok {
		return row, nil
	}
	return platform.Row{}, platform.ErrNotFound
}

func (t table) Scan(context.Context, string, string, int) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []platform.Row
	for _, row := range t.rows {
		out = append(out, row)
	}
	return out, nil
}

func (t table) Commit(_ context.Context, tx platform.Transaction) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return nil, platform.ErrUnavailable
	}
	if t.rows[tx.Checks[0].Key].Revision != tx.Checks[0].Revision {
		return nil, platform.ErrConflict
	}
	row := platform.Row{Key: tx.Puts[0].Key, Revision: tx.Checks[0].Revision + 1, Value: tx.Puts[0].Value}
	t.rows[row.Key] = row
	return []platform.Row{row}, nil
}

func (o objects) Get(_ context.Context, key string) (platform.Object, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return platform.Object{}, platform.ErrUnavailable
	}
	if key != versionObject+o.head.Info.Digest {
		return platform.Object{}, platform.ErrNotFound
	}
	return platform.Object{Key: key, Body: o.head.Text}, nil
}

// link is the transport of one node; it can be cut off from addresses and cut
// streams after some bytes.
type link struct {
	base    http.RoundTripper
	blocked atomic.Pointer[func(host string) bool]
	cut     atomic.Int64 // bytes of each stream before it breaks, 0 for no limit
}

func (l *link) RoundTrip(req *http.Request) (*http.Response, error) {
	if f := l.blocked.Load(); f != nil && (*f)(req.URL.Host) {
		return nil, &net.OpError{Op: "dial", Err: io.ErrClosedPipe}
	}
	resp, err := l.base.RoundTrip(req)
	if err == nil && strings.HasSuffix(req.URL.Path, "/stream") {
		resp.Body = &linkBody{ReadCloser: resp.Body, link: l, host: req.URL.Host}
	}
	return resp, err
}

type linkBody struct {
	io.ReadCloser
	link *link
	host string
	read int64
}

func (b *linkBody) Read(p []byte) (int, error) {
	if cut := b.link.cut.Load(); cut > 0 {
		if b.read >= cut {
			return 0, io.ErrUnexpectedEOF
		}
		p = p[:min(int64(len(p)), cut-b.read)]
	}
	n, err := b.ReadCloser.Read(p)
	if f := b.link.blocked.Load(); f != nil && (*f)(b.host) {
		return 0, io.ErrUnexpectedEOF
	}
	b.read += int64(n)
	return n, err
}

// meshNode is one relay behind a real listener.
type meshNode struct {
	*Relay
	roster    *membership.Roster
	holder    *Holder
	link      *link
	server    *http.Server
	stop      context.CancelFunc
	done      chan struct{}
	publisher atomic.Bool
	callers   []model.NodeID
}

type mesh struct {
	t     testing.TB
	store *store
	nodes []*meshNode
}

func newMesh(t testing.TB) *mesh {
	m := &mesh{t: t, store: &store{rows: make(map[string]platform.Row)}}
	t.Cleanup(func() {
		for _, n := range m.nodes {
			n.kill()
		}
	})
	return m
}

// add starts a node in a zone; the region is the first letter of the zone.
func (m *mesh) add(id, zone string) *meshNode {
	m.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		m.t.Fatal(err)
	}
	n := &meshNode{holder: NewHolder(), link: &link{base: newTransport(time.Second)}, done: make(chan struct{})}
	n.roster = membership.NewRoster(model.Entry{
		Node: model.NodeID(id), Generation: uint64(time.Now().UnixMilli()), Service: "acompanha", Slots: 12,
		Location: model.Location{Region: model.Region(zone[:1]), AvailabilityZone: model.AvailabilityZone(zone)},
		Address:  l.Addr().String(),
	})
	var seeds []string
	if len(m.nodes) > 0 {
		seeds = []string{m.nodes[0].self.Address}
	}
	n.Relay = NewRelay(Config{
		Roster: n.roster, Holder: n.holder, Table: table{m.store}, Objects: objects{m.store}, Seeds: seeds,
		Transport: n.link, IsPublisher: n.publisher.Load, Timing: quick,
		RecentCallers: func() []model.NodeID { return n.callers },
	})
	mux := http.NewServeMux()
	n.Register(mux)
	n.server = &http.Server{Handler: mux}
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() { _ = n.server.Serve(l) }()
	go func() {
		defer close(n.done)
		_ = n.Run(ctx)
	}()
	m.nodes = append(m.nodes, n)
	return n
}

// kill ends a node without an announcement.
func (n *meshNode) kill() {
	n.stop()
	_ = n.server.Close()
	<-n.done
}

// accept makes v the head and applies it at the publisher.
func (m *mesh) accept(publisher *meshNode, v model.VersionedText) {
	m.t.Helper()
	m.store.mu.Lock()
	m.store.head = v
	m.store.mu.Unlock()
	if err := publisher.holder.Apply(v); err != nil {
		m.t.Fatal(err)
	}
	publisher.Publish()
}

// eventually waits for a condition and returns how long it took.
func (m *mesh) eventually(limit time.Duration, what string, ok func() bool) time.Duration {
	m.t.Helper()
	began := time.Now()
	for !ok() {
		if time.Since(began) > limit {
			for _, n := range m.nodes {
				s := n.State()
				m.t.Logf("%s gen %d v%d age %.1f parent %q children %d roster %v lease %v start %q", s.Node, s.Generation, s.Info.Number, s.AgeSeconds, s.Parent, len(s.Children), s.Roster, s.MayServe, s.Starting)
			}
			m.t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(2 * time.Millisecond)
	}
	return time.Since(began)
}

func (m *mesh) all(nodes []*meshNode, ok func(*meshNode) bool) func() bool {
	return func() bool {
		for _, n := range nodes {
			if !ok(n) {
				return false
			}
		}
		return true
	}
}

func atVersion(v model.Version) func(*meshNode) bool {
	return func(n *meshNode) bool { return n.held().Number == v }
}

func knows(count int) func(*meshNode) bool {
	return func(n *meshNode) bool { return len(n.roster.View().All()) == count }
}
