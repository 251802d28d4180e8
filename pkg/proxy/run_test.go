package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/problem"
)

// refusalOf reads the problem details of an answer.
func refusalOf(t testing.TB, resp *http.Response) problem.Details {
	t.Helper()
	d, err := problem.Read(resp.Body)
	if err != nil {
		t.Fatalf("status %d: %v", resp.StatusCode, err)
	}
	return d
}

// Guards the path of an ordinary call, with a local and with a remote
// upstream: the whole answer, the headers on both sides, and the body.
func TestCallThroughOneAndTwoNodes(t *testing.T) {
	seen := make(chan *http.Request, 1)
	up := upstream(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		seen <- r
		w.Header().Set("Lentilflow-Rank", "9")
		w.Header().Set("X-Own", "yes")
		_, _ = w.Write(append([]byte("got "), b...))
	})
	hops(t, up, func(t *testing.T, n *node) {
		is := is.New(t)
		resp := send(t, "PUT", n.url+"/x?q=1", "hello", "Lentilflow-Rank", "0", "Connection", "X-Drop", "X-Drop", "1", "Traceparent", "00-0af7")
		b, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(b), "got hello")
		r := <-seen
		is.Equal(r.RequestURI, "/x?q=1")
		is.Equal(r.ContentLength, int64(5))
		for _, c := range []struct {
			h          http.Header
			name, want string
		}{
			{resp.Header, HeaderRule, "put"}, {resp.Header, HeaderVersion, "7"}, {resp.Header, HeaderAskedBy, "Ana Prado"},
			{resp.Header, HeaderUpstream, "a"}, {resp.Header, HeaderAttempts, "1"}, {resp.Header, "X-Own", "yes"},
			{resp.Header, HeaderRank, "3"}, // neither the caller's nor the upstream's
			{resp.Header, HeaderBusy, ""},  // for nodes only
			{r.Header, HeaderRank, "3"}, {r.Header, "Traceparent", "00-0af7"}, {r.Header, "X-Drop", ""}, {r.Header, HeaderOrigin, ""},
		} {
			if got := c.h.Get(c.name); got != c.want {
				t.Errorf("%s is %q, want %q", c.name, got, c.want)
			}
		}
		is.True(r.Header.Get(HeaderCall) != "")
		is.Equal(n.value("proxy_events_total", eventForgedHeader), 1.0)
	})
}

// Guards run-state truth: an upstream that cannot be reached or sheds the call
// did not run it, one that was cut off or out of time may have. The marks of
// nodes are not believed when an upstream sets them.
func TestRunState(t *testing.T) {
	lost, _ := rawUpstream(t, func(_ int, c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_ = c.Close()
	})
	refusing := func(name, value string) string {
		return upstream(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(name, value)
			w.WriteHeader(http.StatusServiceUnavailable)
		})
	}
	slow := upstream(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	for _, c := range []struct {
		address, path string
		reason        model.Reason
		run           model.RunState
	}{
		{deadAddress(t), "/once", model.UpstreamUnreachable, model.NotRun},
		{lost, "/once", model.UpstreamLost, model.Unknown},
		{refusing(HeaderNotRun, "true"), "/once", model.UpstreamShed, model.NotRun},
		{refusing(HeaderRefusal, "overloaded not_run"), "/once", "", ""}, // the upstream's own answer
		{slow, "/short", model.DeadlineExceeded, model.Unknown},
	} {
		hops(t, c.address, func(t *testing.T, n *node) {
			is := is.New(t)
			start := time.Now()
			resp := send(t, "GET", n.url+c.path, "")
			is.True(time.Since(start) < time.Second) // well before the deadline of other rules
			if c.reason == "" {
				is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
				is.Equal(resp.Header.Get("Content-Type"), "")
				return
			}
			d := refusalOf(t, resp)
			is.Equal(d.Reason, c.reason)
			is.Equal(d.Run, c.run)
		})
	}
}

// Guards against idempotent calls that are given up after one lost connection,
// and against run states that are not those of all attempts.
func TestIdempotentCallIsRetried(t *testing.T) {
	is := is.New(t)
	var lost atomic.Int32
	m := newMesh(t)
	up, l := rawUpstream(t, func(_ int, c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			lost.Add(1)
		}
		_ = c.Close()
	})
	n := m.add("a", up, func(c *Config) { c.UpstreamState = func(bool) {} })
	d := refusalOf(t, send(t, "GET", n.url+"/read", ""))
	is.True(lost.Load() >= 2) // an idempotent call is tried again
	is.Equal(d.Run, model.Unknown)
	_ = l.Close()
	is.Equal(refusalOf(t, send(t, "GET", n.url+"/once", "")).Run, model.NotRun) // nothing listens any more
}

// Guards against an earlier possible run that a later refusal hides.
func TestLaterRefusalKeepsPossibleRun(t *testing.T) {
	is := is.New(t)
	c := &call{p: New(Config{}), w: httptest.NewRecorder(), r: httptest.NewRequest("GET", "/", nil), ran: true}
	c.body = newBody(c.r, 1, nil)
	c.refuse(refuse(model.Overloaded, model.NotRun, ""))
	is.Equal(c.run, model.Unknown)
}

// Guards against the Transport's silent repetition of requests on reused
// connections, which would run work twice without a trace.
func TestTransportDoesNotRepeat(t *testing.T) {
	for _, c := range []struct{ name, method, path string }{{"get", "GET", "/once"}, {"key", "POST", "/order"}, {"head", "HEAD", "/read"}} {
		t.Run(c.name, func(t *testing.T) {
			var runs atomic.Int32
			up, _ := rawUpstream(t, func(_ int, conn net.Conn) {
				in := bufio.NewReader(conn)
				for i := 0; ; i++ {
					if _, err := http.ReadRequest(in); err != nil {
						return
					}
					if i == 1 { // the second request on a connection is read and then dropped
						runs.Add(1)
						_ = conn.Close()
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			})
			m := newMesh(t)
			n := m.add("a", up, func(c *Config) { c.Claims = newClaims() })
			for n.budget.Spend() { // no retries of ours: the count below is the Transport's
			}
			send(t, c.method, n.url+c.path, "", HeaderKey, "k1")
			resp := send(t, c.method, n.url+c.path, "", HeaderKey, "k2")
			if got := runs.Load(); got != 1 || resp.StatusCode != http.StatusBadGateway {
				t.Fatalf("the dropped request arrived %d times, status %d", got, resp.StatusCode)
			}
		})
	}
}

// Guards against retries of a non-idempotent call that may have run, and
// against keys that stay claimed after a definite not_run.
func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	lost, _ := rawUpstream(t, func(_ int, c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil { // a probe sends nothing
			runs.Add(1)
		}
		_ = c.Close()
	})
	claims := newClaims()
	withClaims := func(c *Config) { c.Claims = claims }
	m := newMesh(t)
	n := m.add("a", lost, withClaims)
	m.add("b", lost, withClaims)
	is.Equal(refusalOf(t, send(t, "POST", n.url+"/order", "x")).Reason, model.KeyMissing)
	d := refusalOf(t, send(t, "POST", n.url+"/order", "x", HeaderKey, "k"))
	is.Equal(d.Reason, model.UpstreamLost)
	is.Equal(d.Run, model.Unknown)
	is.Equal(runs.Load(), int32(1))
	is.Equal(refusalOf(t, send(t, "POST", n.url+"/order", "x", HeaderKey, "k")).Reason, model.KeyInProgress)
	is.Equal(refusalOf(t, send(t, "POST", n.url+"/order", "y", HeaderKey, "k")).Reason, model.KeyReused)
	is.Equal(runs.Load(), int32(1))
	claims.down = true
	is.Equal(refusalOf(t, send(t, "POST", n.url+"/order", "x", HeaderKey, "l")).Reason, model.ClaimUnavailable)
	claims.down = false
	dead := newMesh(t).add("a", deadAddress(t), withClaims)
	d = refusalOf(t, send(t, "POST", dead.url+"/order", "x", HeaderKey, "z"))
	is.Equal(d.Run, model.NotRun)
	is.True(strings.Contains(claims.row(), "{")) // only the row of the first key is left
}

// Guards against a stored answer that differs from the first one.
func TestReplay(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	claims := newClaims()
	n := newMesh(t).add("a", upstream(t, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		w.Header().Set("Location", "/orders/1")
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write([]byte("order 1"))
	}), func(c *Config) { c.Claims = claims })
	is.Equal(send(t, "POST", n.url+"/order", "x", HeaderKey, "k").StatusCode, http.StatusCreated)
	eventually(t, "the answer is stored", func() bool { return strings.Contains(claims.row(), "Location") })
	resp := send(t, "POST", n.url+"/order", "x", HeaderKey, "k")
	b, _ := io.ReadAll(resp.Body)
	is.Equal(resp.StatusCode, http.StatusCreated)
	is.Equal(string(b), "order 1")
	is.Equal(resp.Header.Get("Location"), "/orders/1")
	is.Equal(resp.Header.Get(HeaderReplayed), "true")
	is.Equal(runs.Load(), int32(1))
}
