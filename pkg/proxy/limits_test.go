package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/crashguard"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// raw sends bytes on one connection and returns the first answer.
func raw(t *testing.T, n *node, text string) (*http.Response, error) {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	_, _ = io.WriteString(c, text)
	return http.ReadResponse(bufio.NewReader(c), nil)
}

// Guards each bound of the caller listener: a clear 4xx with a reason that is
// counted, and nothing at the upstream.
func TestLimits(t *testing.T) {
	up := upstream(t, func(_ http.ResponseWriter, r *http.Request) { t.Errorf("%s arrived at the upstream", r.URL) })
	n := newMesh(t).add("a", up, func(c *Config) {
		c.Limits.Body, c.Limits.BodyTime = 1000, 100*time.Millisecond
	})
	many := strings.Repeat("X-A: b\r\n", 101)
	for _, c := range []struct {
		name, text string
		reason     model.Reason
	}{
		{"body", "PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n", model.BodyTooLarge},
		{"slow body", "PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc", model.BadRequest},
		{"header bytes", "GET /a HTTP/1.1\r\nHost: h\r\nX-A: " + strings.Repeat("a", 40<<10) + "\r\n\r\n", model.HeadersTooLarge},
		{"header count", "GET /a HTTP/1.1\r\nHost: h\r\n" + many + "\r\n", model.HeadersTooLarge},
		{"reserved", "GET /.lentilflow/v1/state HTTP/1.1\r\nHost: h\r\n\r\n", model.BadRequest},
		{"reserved, dots", "GET /a/../.lentilflow/v1/state HTTP/1.1\r\nHost: h\r\n\r\n", model.BadRequest},
		{"reserved, escaped", "GET /a/%2e%2e/.lentilflow/v1/state HTTP/1.1\r\nHost: h\r\n\r\n", model.BadRequest},
		{"connect", "CONNECT h:80 HTTP/1.1\r\nHost: h:80\r\n\r\n", model.BadRequest},
		{"no rule", "PATCH /a HTTP/1.1\r\nHost: h\r\n\r\n", model.NoRule},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			before := n.value("refusals_total", string(c.reason))
			resp, err := raw(t, n, c.text)
			is.NoErr(err)
			d := refusalOf(t, resp)
			is.Equal(d.Reason, c.reason)
			is.Equal(d.Run, model.NotRun)
			is.Equal(resp.StatusCode, c.reason.Status())
			is.Equal(n.value("refusals_total", string(c.reason)), before+1)
		})
	}
}

// Guards against a refusal that waits for the rest of the request body: the
// body time of 10 s exceeds the 3 s that the test waits for the answer.
func TestRefusalIsNotHeldBack(t *testing.T) {
	n := newMesh(t).add("a", deadAddress(t))
	for _, body := range []string{"Content-Length: 10\r\n\r\nabc", "Content-Length: 1000000\r\n\r\nabc", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"} {
		resp, err := raw(t, n, "PATCH /a HTTP/1.1\r\nHost: h\r\n"+body)
		if err != nil {
			t.Fatal(err)
		}
		if d := refusalOf(t, resp); d.Reason != model.NoRule {
			t.Fatal(d)
		}
	}
}

// Guards against request smuggling: a request with two framings reaches the
// upstream in one framing only, as one request, or is refused.
func TestAmbiguousFraming(t *testing.T) {
	seen := make(chan string, 10)
	up := upstream(t, func(_ http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		seen <- fmt.Sprint(r.Method, " ", r.URL, " ", r.ContentLength, " ", string(b))
	})
	n := newMesh(t).add("a", up)
	resp, err := raw(t, n, "PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"+
		"5\r\nhello\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n")
	if err == nil && resp.StatusCode == http.StatusOK {
		if got := <-seen; got != "PUT /a -1 hello" {
			t.Fatal(got)
		}
	}
	for _, text := range []string{
		"PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
	} {
		resp, err := raw(t, n, text)
		if err != nil || resp.StatusCode/100 == 2 {
			t.Errorf("%q: %v %v", text, resp, err)
		}
	}
}

// Guards the limits of a chunked body, whose length is not known in advance:
// the upstream never gets it whole, and its run state stays open.
func TestChunkedBodyTooLarge(t *testing.T) {
	is := is.New(t)
	up := upstream(t, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err == nil {
			t.Error("the upstream took the cut body for whole")
		}
	})
	n := newMesh(t).add("a", up, func(c *Config) { c.Limits.Body = 100_000 })
	r, _ := http.NewRequest("PUT", n.url+"/a", io.LimitReader(strings.NewReader(strings.Repeat("a", 1<<20)), 1<<20))
	resp, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	d := refusalOf(t, resp)
	is.Equal(d.Reason, model.BodyTooLarge)
	is.Equal(d.Run, model.Unknown)
}

// Guards the limits of connections and of calls in flight of a rule.
func TestConnectionAndRuleLimit(t *testing.T) {
	is := is.New(t)
	hold := make(chan bool)
	up := upstream(t, func(http.ResponseWriter, *http.Request) { <-hold })
	free := sync.OnceFunc(func() { close(hold) })
	t.Cleanup(free)
	n := newMesh(t).add("a", up, func(c *Config) { c.Limits.Connections = 2 })
	go func() { _, _ = raw(t, n, "GET /few HTTP/1.1\r\nHost: h\r\n\r\n") }()
	eventually(t, "the first call runs", func() bool { return n.gate.State().Running == 1 })
	resp, err := raw(t, n, "GET /few HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	is.Equal(refusalOf(t, resp).Reason, model.RuleLimit)
	_, err = raw(t, n, "GET /once HTTP/1.1\r\nHost: h\r\n\r\n")
	is.True(err != nil) // the third connection
	is.Equal(n.value("proxy_events_total", eventConnLimit), 1.0)
	free()
	eventually(t, "the first call ends", func() bool { return n.inFlight.Load() == 0 })
}

// Guards chain tokens: rank, deadline and depth come from the chain, unknown
// tokens change nothing, and a chain that is too deep is refused.
func TestChain(t *testing.T) {
	is := is.New(t)
	var n *node
	depths, ranks := make(chan string, 20), make(chan string, 20)
	up := upstream(t, func(w http.ResponseWriter, r *http.Request) {
		ranks <- r.Header.Get(HeaderRank)
		if r.URL.Path == "/short/chain" || r.URL.Path == "/read/chain" {
			resp, err := trySend("GET", n.url+"/read/chain", "", HeaderCall, r.Header.Get(HeaderCall))
			if err == nil {
				defer func() { _ = resp.Body.Close() }()
				if resp.StatusCode == http.StatusLoopDetected {
					depths <- "too deep"
				}
				w.WriteHeader(resp.StatusCode)
			}
		}
	})
	n = newMesh(t).add("a", up)
	start := time.Now()
	resp := send(t, "GET", n.url+"/short/chain", "")
	is.True(time.Since(start) < time.Second)           // the chain's 100 ms, not the rule's 2 s
	is.Equal(resp.StatusCode, http.StatusLoopDetected) // 8 calls ran, the ninth was refused
	is.Equal(<-depths, "too deep")
	is.Equal(len(ranks), model.MaxDepth+1)
	for range model.MaxDepth + 1 {
		is.Equal(<-ranks, "0") // the chain's rank, not the 2 of rule "read"
	}
	send(t, "GET", n.url+"/read", "", HeaderCall, "forged")
	is.Equal(<-ranks, "2")
	is.Equal(n.value("proxy_events_total", eventUnknownToken), 1.0)
	eventually(t, "tokens end with their calls", func() bool {
		left := 0
		n.chains.tokens.Range(func(any, any) bool { left++; return true })
		return left == 0
	})
}

// crashers starts nodes whose upstreams end at a request for /read/crash.
func crashers(t *testing.T, m *mesh, n int, change ...func(*Config)) (nodes []*node, crashes func() float64) {
	for i := range n {
		var l net.Listener
		var address string
		address, l = rawUpstream(t, func(_ int, c net.Conn) {
			in := bufio.NewReader(c)
			for {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				if strings.HasSuffix(r.URL.Path, "/crash") {
					_ = l.Close()
					_ = c.Close()
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		})
		nodes = append(nodes, m.add(fmt.Sprint("n", i), address, change...))
	}
	return nodes, func() (sum float64) {
		for _, n := range nodes {
			sum += n.value("proxy_events_total", eventCrash)
		}
		return sum
	}
}

// Guards against a request that goes on crashing upstreams: after two have
// fallen, every node refuses it, and other requests are served. In the second
// case the nodes share neither memory nor table, and nothing is retried.
func TestCrashingRequest(t *testing.T) {
	for rule, change := range map[string]func(*Config){
		"read": func(*Config) {},
		"once": func(c *Config) { c.Notices = crashguard.NewMemory(time.Now) },
	} {
		t.Run(rule, func(t *testing.T) {
			is := is.New(t)
			nodes, crashes := crashers(t, newMesh(t), 5, change)
			path := "/" + rule + "/crash"
			f := crashguard.Of(crashguard.Request{Method: "GET", Rule: rule, Target: path})
			for i := range 12 { // some attempts go to upstreams that have fallen, and do not run
				send(t, "GET", nodes[i%5].url+path, "")
				for _, o := range nodes {
					eventually(t, "every node knows of the crashes", func() bool {
						r, _ := o.notices.Lookup(f)
						return len(r.Crashes) == int(crashes())
					})
				}
			}
			is.Equal(refusalOf(t, send(t, "GET", nodes[0].url+path, "")).Reason, model.CrashSuspected)
			is.Equal(crashes(), 2.0)
			is.Equal(send(t, "GET", nodes[1].url+"/read/fine", "").StatusCode, 200)
		})
	}
}

// Guards against crash notices that are damaged or come from callers.
func TestCrashNoticeIsChecked(t *testing.T) {
	is := is.New(t)
	n := newMesh(t).add("a", deadAddress(t))
	for _, text := range []string{"", "{}", "{\"fingerprint\":\"00\"}"} {
		is.Equal(send(t, "POST", "http://"+n.peer+noticePath, text).StatusCode, 400)
	}
	is.Equal(send(t, "POST", n.url+noticePath, "{}").StatusCode, 400)
}
