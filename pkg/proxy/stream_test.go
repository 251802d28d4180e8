package proxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// hops runs f with the upstream beside the node that takes the call, and with
// another node in between.
func hops(t *testing.T, address string, f func(t *testing.T, n *node)) {
	for _, name := range []string{"one", "two"} {
		t.Run(name, func(t *testing.T) {
			m := newMesh(t)
			n := m.add("a", address)
			if name == "two" {
				n = m.add("b", "")
			}
			f(t, n)
		})
	}
}

// Guards against a part of an answer that the caller takes for the whole,
// over HTTP/1.1 and HTTP/2.
func TestBrokenStreamAbortsTheCaller(t *testing.T) {
	for _, head := range []string{"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", "Content-Length: 100\r\n\r\nhello"} {
		up, _ := rawUpstream(t, func(_ int, c net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head)
			time.Sleep(10 * time.Millisecond)
			_ = c.Close()
		})
		hops(t, up, func(t *testing.T, n *node) {
			for _, client := range []*http.Client{http.DefaultClient, h2Client()} {
				resp, err := client.Get(n.url + "/once")
				if err != nil {
					t.Fatal(err)
				}
				b, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if err == nil || string(b) != "hello" {
					t.Fatalf("read %q with error %v", b, err)
				}
			}
			eventually(t, "broken answers are counted", func() bool { return n.value("calls_total", outcomeBroken) == 2 })
		})
	}
}

func h2Client() *http.Client {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{Protocols: p}}
}

// Guards cleartext HTTP/2 with prior knowledge on the caller listener, and
// trailers over both hops.
func TestHTTP2AndTrailers(t *testing.T) {
	up := upstream(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Trailer", "X-Sum")
		_, _ = io.Copy(w, r.Body)
		w.(http.Flusher).Flush()
		w.Header().Set("X-Sum", "42")
		w.Header().Set(http.TrailerPrefix+"X-Late", "1")
		w.Header().Set(http.TrailerPrefix+HeaderRank, "0")
	})
	hops(t, up, func(t *testing.T, n *node) {
		is := is.New(t)
		for _, client := range []*http.Client{http.DefaultClient, h2Client()} {
			r, _ := http.NewRequest("PUT", n.url+"/x", io.MultiReader(strings.NewReader("streamed "), strings.NewReader("body")))
			resp, err := client.Do(r)
			is.NoErr(err)
			b, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(string(b), "streamed body")
			is.Equal(resp.Trailer.Get("X-Sum"), "42")
			is.Equal(resp.Trailer.Get("X-Late"), "1")
			is.Equal(resp.Trailer.Get(HeaderRank), "")
		}
	})
}

// Guards against answers that are held back until they are complete.
func TestAnswerIsStreamed(t *testing.T) {
	goOn := make(chan bool)
	up := upstream(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "first")
		w.(http.Flusher).Flush()
		<-goOn
		_, _ = io.WriteString(w, "second")
	})
	hops(t, up, func(t *testing.T, n *node) {
		is := is.New(t)
		next := sync.OnceFunc(func() { goOn <- true })
		resp := send(t, "GET", n.url+"/read", "")
		defer next()
		b := make([]byte, 5)
		_, err := io.ReadFull(resp.Body, b)
		is.NoErr(err)
		is.Equal(string(b), "first")
		next()
		rest, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(rest), "second")
	})
}

// Guards against upstreams that go on with a call whose caller has left.
func TestCallerGoneCancelsTheUpstream(t *testing.T) {
	started, cancelled := make(chan bool, 1), make(chan bool, 1)
	up := upstream(t, func(_ http.ResponseWriter, r *http.Request) {
		started <- true
		<-r.Context().Done()
		cancelled <- true
	})
	hops(t, up, func(t *testing.T, n *node) {
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-started
			cancel()
		}()
		r, _ := http.NewRequestWithContext(ctx, "GET", n.url+"/once", nil)
		if _, err := http.DefaultClient.Do(r); !errors.Is(err, context.Canceled) {
			t.Fatal(err)
		}
		<-cancelled
		eventually(t, "the call is counted", func() bool { return n.value("refusals_total", string(model.CallerGone)) == 1 })
	})
}

// Guards against an answer of an abandoned attempt that reaches another call:
// late answers of timed-out calls must not follow on reused connections.
func TestLateAnswersReachNobody(t *testing.T) {
	up := upstream(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/short/late" {
			time.Sleep(130 * time.Millisecond)
		}
		_, _ = io.WriteString(w, r.URL.RequestURI())
	})
	hops(t, up, func(t *testing.T, n *node) {
		is := is.New(t)
		for range 3 {
			resp := send(t, "GET", n.url+"/short/late", "")
			is.Equal(resp.StatusCode, http.StatusGatewayTimeout)
			b, err := io.ReadAll(send(t, "GET", n.url+"/read?mine", "").Body)
			is.NoErr(err)
			is.Equal(string(b), "/read?mine")
		}
	})
}

// Guards the drain: calls in flight end, arriving calls are served during the
// grace time and then refused as not run, and senders go elsewhere.
func TestDrain(t *testing.T) {
	is := is.New(t)
	release := make(chan bool)
	free := sync.OnceFunc(func() { close(release) })
	slow := upstream(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/read/slow" {
			<-release
		}
		_, _ = io.WriteString(w, "done")
	})
	t.Cleanup(free)
	m := newMesh(t)
	grace := func(c *Config) { c.Limits.DrainGrace = 100 * time.Millisecond }
	a := m.add("a", slow, grace)
	sender := m.add("c", "")
	inFlight := make(chan int, 1)
	go func() {
		status := 0
		if resp, err := trySend("GET", a.url+"/read/slow", ""); err == nil {
			status = resp.StatusCode
		}
		inFlight <- status
	}()
	eventually(t, "the slow call runs", func() bool { return a.gate.State().Running == 1 })
	drained := make(chan error, 1)
	go func() { drained <- a.Drain(context.Background()) }()
	is.Equal(send(t, "GET", a.url+"/once", "").StatusCode, 200) // within the grace time
	eventually(t, "the grace time ends", a.refusing.Load)
	d := refusalOf(t, send(t, "GET", a.url+"/once", ""))
	is.Equal(d.Reason, model.NodeDraining)
	is.Equal(d.Run, model.NotRun)
	m.add("b", slow)
	for range 5 { // rule "once" states no retries; a drain is none of its failures
		is.Equal(send(t, "GET", sender.url+"/once", "").StatusCode, 200)
	}
	select {
	case <-drained:
		t.Fatal("the drain ended before the call in flight")
	default:
	}
	free()
	is.NoErr(<-drained)
	is.Equal(<-inFlight, 200)
}

// Guards the bound of the drain.
func TestDrainIsBounded(t *testing.T) {
	n := newMesh(t).add("a", deadAddress(t), func(c *Config) { c.Limits.DrainGrace = time.Millisecond })
	n.inFlight.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if err := n.Drain(ctx); !errors.Is(err, ErrCallsLeft) {
		t.Fatal(err)
	}
}
