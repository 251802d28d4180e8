package proxy

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/model"
)

type hints chan model.Version

func (h hints) VersionSeen(v model.Version) { h <- v }

type member bool

func (m member) MayServePeers() bool { return bool(m) }

// Guards against reasons without a counter: each is there before the first
// refusal.
func TestEveryReasonIsCounted(t *testing.T) {
	is := is.New(t)
	n := newMesh(t).add("a", deadAddress(t))
	families, err := n.registry.Gather()
	is.NoErr(err)
	found := 0
	for _, f := range families {
		switch f.GetName() {
		case "lentilflow_refusals_total", "lentilflow_peer_refusals_total", "lentilflow_retries_total":
			found++
			is.Equal(len(f.GetMetric()), len(model.Reasons()))
		}
	}
	is.Equal(found, 3)
}

// Guards the answers of nodes that may not serve: without configuration,
// without upstreams, and without a lease.
func TestNodesThatMayNotServe(t *testing.T) {
	is := is.New(t)
	m := newMesh(t)
	s := m.snap.Swap(nil)
	n := m.add("a", "", func(c *Config) { c.ConfigAge = func() time.Duration { return time.Minute } })
	resp := send(t, "GET", n.url+"/once", "")
	d := refusalOf(t, resp)
	is.Equal(d.Reason, model.NoConfiguration)
	is.Equal(d.Run, model.NotRun)
	is.True(resp.Header.Get("Retry-After") != "")
	is.Equal(resp.Header.Get(HeaderConfigAge), "60")
	m.snap.Store(s)
	is.Equal(refusalOf(t, send(t, "GET", n.url+"/once", "")).Reason, model.NoUpstream)
	up := upstream(t, func(http.ResponseWriter, *http.Request) { t.Error("a call ran at a node without lease") })
	m.add("b", up, func(c *Config) { c.Membership = member(false) })
	d = refusalOf(t, send(t, "GET", n.url+"/once", ""))
	is.Equal(d.Reason, model.NoUpstream)
	is.Equal(d.Run, model.NotRun)
}

// Guards against nodes that do not notice a higher version of a peer, in
// either direction.
func TestVersionHints(t *testing.T) {
	is := is.New(t)
	up := upstream(t, func(http.ResponseWriter, *http.Request) {})
	old, newer := newMesh(t), newMesh(t)
	newer.snap.Store(compile(t, 8))
	seen := make(hints, 2)
	withHints := func(c *Config) { c.Hints = seen }
	a := old.add("a", up, withHints)
	b := newer.add("b", "", withHints)
	newer.entries = old.entries
	is.Equal(send(t, "GET", b.url+"/once", "").StatusCode, 200) // b sends to a, which is behind
	is.Equal(<-seen, model.Version(8))
	old.entries = nil
	newer.add("c", up)
	old.entries = newer.entries[1:]
	is.Equal(send(t, "GET", a.url+"/once", "").StatusCode, 200) // a learns from the answer of c
	is.Equal(<-seen, model.Version(8))
}

// Guards against peers that are believed without a node's marks, and calls on
// the peer listener that no node has sent.
func TestPeerListenerRefusesStrangers(t *testing.T) {
	is := is.New(t)
	up := upstream(t, func(http.ResponseWriter, *http.Request) { t.Error("a stranger's call ran") })
	m := newMesh(t)
	a := m.add("a", up)
	resp := send(t, "GET", "http://"+a.peer+"/once", "")
	is.Equal(refusalOf(t, resp).Reason, model.BadRequest)
	is.Equal(resp.Header.Get(HeaderRefusal), "bad_request not_run")
	is.Equal(send(t, "GET", "http://"+a.peer+"/.lentilflow/v1/state", "").StatusCode, http.StatusNotFound)
	other := newMesh(t)
	b := other.add("b", "")
	fake := upstream(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "not a node") })
	other.entries = append(other.entries, model.Entry{Node: "x", Service: "agenda", Address: fake})
	d := refusalOf(t, send(t, "GET", b.url+"/once", ""))
	is.Equal(d.Reason, model.UpstreamLost)
	is.Equal(d.Run, model.Unknown)
}

// Guards against an unreachable upstream that nobody is told about, and
// against one that stays marked after it has come back.
func TestUpstreamStateIsReported(t *testing.T) {
	is := is.New(t)
	states := make(chan bool, 4)
	address := deadAddress(t)
	n := newMesh(t).add("a", address, func(c *Config) { c.UpstreamState = func(ok bool) { states <- ok } })
	is.Equal(refusalOf(t, send(t, "GET", n.url+"/once", "")).Reason, model.UpstreamUnreachable)
	is.Equal(<-states, false)
	s := &http.Server{Addr: address}
	go func() { _ = s.ListenAndServe() }()
	t.Cleanup(func() { _ = s.Close() })
	is.Equal(<-states, true) // without a call that shows it
}

// Guards against large bodies that are changed by streaming, or sent in part
// when no connection was obtained at first.
func TestLargeBodies(t *testing.T) {
	up := upstream(t, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex() // or net/http drops what is not yet read
		_, _ = io.Copy(w, r.Body)
	})
	text := strings.Repeat("0123456789abcdef", 40_000)
	for _, dead := range []bool{false, true} {
		m := newMesh(t)
		if dead {
			m.add("dead", deadAddress(t))
		}
		m.add("a", up)
		n := m.add("b", "")
		for i := range 6 {
			body := io.Reader(strings.NewReader(text))
			if i%2 == 1 {
				body = io.MultiReader(body) // of unknown length
			}
			r, _ := http.NewRequest("PUT", n.url+"/x", body)
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			b, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if ok := resp.StatusCode == http.StatusOK; err != nil || ok && string(b) != text || !ok && !dead {
				t.Fatalf("status %d, %d bytes, %v", resp.StatusCode, len(b), err)
			}
		}
	}
}

// Guards against two attempts that each send a part of one streamed body: the
// reader of a failed attempt may still be read by the Transport.
func TestOnlyOneReaderOfAStreamedBody(t *testing.T) {
	is := is.New(t)
	r, _ := http.NewRequest("PUT", "http://h/", io.MultiReader(strings.NewReader("whole body")))
	r.ContentLength = -1
	b := newBody(r, 1000, nil)
	first, second := b.reader(), b.reader()
	_, err := first.Read(make([]byte, 5))
	is.True(err != nil) // abandoned before it was read
	is.True(b.replayable())
	got, err := io.ReadAll(second)
	is.NoErr(err)
	is.Equal(string(got), "whole body")
	is.True(!b.replayable())
	_, err = io.ReadAll(b.reader())
	is.True(err != nil) // a third reader never delivers the body as complete
}
