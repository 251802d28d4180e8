package proxy

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lentilflow/lentilflow/pkg/claim"
	"github.com/lentilflow/lentilflow/pkg/crashguard"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/routing"
	"github.com/lentilflow/lentilflow/pkg/rules"
	standin "github.com/lentilflow/lentilflow/pkg/standin/platform"
)

const testRules = `service agenda slots=15 connections=130 # Ana Prado
rule read method=GET,HEAD path=/ service=agenda rank=2 deadline=2s idempotent=yes retries=2 target=50ms # Ana Prado
rule put method=PUT path=/ service=agenda rank=3 deadline=2s idempotent=yes retries=2 # Ana Prado
rule short method=GET path=/short service=agenda rank=0 deadline=100ms idempotent=yes # Ana Prado
rule once method=GET path=/once service=agenda rank=4 deadline=2s idempotent=yes # Ana Prado
rule few method=GET path=/few service=agenda rank=5 deadline=2s idempotent=yes inflight=1 # Ana Prado
rule order method=POST path=/order service=agenda rank=1 deadline=2s idempotent=no retries=2 # Ana Prado
`

// mesh is several nodes in one process that share a roster.
type mesh struct {
	t       testing.TB
	snap    atomic.Pointer[routing.Snapshot]
	mu      sync.Mutex
	entries []model.Entry
	notices crashguard.Notices
}

func (m *mesh) Snapshot() *routing.Snapshot { return m.snap.Load() }

func (m *mesh) Service(name string) []model.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	if name != "agenda" {
		return nil
	}
	return m.entries
}

func (m *mesh) Members(name string) []model.Entry { return m.Service(name) }

func newMesh(t testing.TB) *mesh {
	m := &mesh{t: t, notices: crashguard.NewMemory(time.Now)}
	m.snap.Store(compile(t, 7))
	return m
}

func compile(t testing.TB, v model.Version) *routing.Snapshot {
	f, faults := rules.Parse("test", []byte(testRules))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	s, err := routing.Compile(model.VersionInfo{Number: v}, f)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// node is one Proxy with its listeners.
type node struct {
	*Proxy
	url, peer string
	registry  *prometheus.Registry
}

// add starts a node whose upstream listens at address; an empty address makes
// a node without upstream, which is in no roster.
func (m *mesh) add(id, upstream string, change ...func(*Config)) *node {
	m.t.Helper()
	n := &node{registry: prometheus.NewRegistry()}
	cfg := Config{
		Self: model.NodeID(id), Location: model.Location{Region: "serra", AvailabilityZone: "caxias"},
		Service: "agenda", Upstream: upstream, Snapshots: m, Roster: m, Notices: m.notices, Registerer: n.registry,
	}
	for _, f := range change {
		f(&cfg)
	}
	n.Proxy = New(cfg)
	n.url = "http://" + serve(m.t, n.CallServer(), n.LimitCallers)
	n.peer = serve(m.t, n.PeerServer(http.NotFoundHandler()), nil)
	if upstream != "" {
		m.mu.Lock()
		m.entries = append(append([]model.Entry(nil), m.entries...), model.Entry{
			Node: cfg.Self, Service: "agenda", Location: cfg.Location, Address: n.peer, Slots: 15,
		})
		m.mu.Unlock()
	}
	m.t.Cleanup(n.stop)
	return n
}

func serve(t testing.TB, s *http.Server, wrap func(net.Listener) net.Listener) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	if wrap != nil {
		l = wrap(l)
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return address
}

// upstream starts an HTTP server as upstream and returns its address.
func upstream(t testing.TB, h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// rawUpstream accepts connections and passes each to f, with its number.
func rawUpstream(t testing.TB, f func(n int, c net.Conn)) (address string, l net.Listener) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f(n, c)
		}
	}()
	return l.Addr().String(), l
}

// deadAddress returns an address that refuses connections.
func deadAddress(t testing.TB) string {
	address, l := rawUpstream(t, nil)
	_ = l.Close()
	return address
}

// send makes a request and fails the test when there is no answer.
func send(t testing.TB, method, url, body string, header ...string) *http.Response {
	t.Helper()
	resp, err := trySend(method, url, body, header...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func trySend(method, url, body string, header ...string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Add(header[i], header[i+1])
	}
	return http.DefaultClient.Do(r)
}

// value sums a counter over the labels that start with the given text.
func (n *node) value(name, label string) float64 {
	families, _ := n.registry.Gather()
	sum := 0.0
	for _, f := range families {
		if f.GetName() != "lentilflow_"+name {
			continue
		}
		for _, m := range f.GetMetric() {
			for _, l := range m.GetLabel() {
				if l.GetValue() == label {
					sum += m.GetCounter().GetValue() + m.GetGauge().GetValue()
				}
			}
		}
	}
	return sum
}

// testClaims is the claims of one process over a table service in memory.
type testClaims struct {
	*claim.Claims
	store *standin.Rows
	down  bool
}

func (c *testClaims) Begin(ctx context.Context, k ClaimKey) (ClaimOutcome, error) {
	if c.down {
		return ClaimOutcome{}, errors.New("store down")
	}
	o, err := c.Claims.Begin(ctx, claim.Key{Service: k.Service, Key: k.Key, Digest: hex.EncodeToString(k.Digest[:])})
	if o.Replay != nil {
		return ClaimOutcome{State: ClaimDone, Answer: &ClaimAnswer{Status: o.Replay.Status, Header: o.Replay.Header, Body: o.Replay.Body}}, err
	}
	states := map[model.Reason]ClaimState{model.KeyReused: ClaimReused, model.KeyInProgress: ClaimInProgress}
	return ClaimOutcome{State: states[o.Refusal], ID: o.ID}, err
}

func (c *testClaims) Finish(ctx context.Context, id any, a ClaimAnswer) error {
	return c.Claims.Finish(ctx, id.(claim.ID), claim.Answer{Status: a.Status, Header: a.Header, Body: a.Body})
}

func (c *testClaims) Release(ctx context.Context, id any) error {
	return c.Claims.Release(ctx, id.(claim.ID))
}

func newClaims() *testClaims {
	store := standin.NewRows()
	return &testClaims{Claims: claim.NewClaims(claim.Config{Table: store, Node: "a", Window: -1}), store: store}
}

// row returns the only row of the store.
func (c *testClaims) row() string {
	rows, _ := c.store.Scan(context.Background(), "claim/", "", 2)
	if len(rows) != 1 {
		return fmt.Sprint(len(rows), " rows")
	}
	return string(rows[0].Value)
}

func eventually(t testing.TB, what string, f func() bool) {
	t.Helper()
	for range 400 {
		if f() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal(fmt.Sprint("did not happen within 2 s: ", what))
}
