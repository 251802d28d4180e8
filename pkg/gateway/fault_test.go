package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/admission"
	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/crashguard"
	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/shaping"
	"github.com/lentilflow/lentilflow/pkg/upstream"
)

// panickingRegistry panics in every look-up after the first lookupsLeft ones.
type panickingRegistry struct {
	crashguard.Registry
	lookupsLeft atomic.Int64
}

func (f *panickingRegistry) Empty() bool { return false }

func (f *panickingRegistry) Lookup(crashguard.Fingerprint) (crashguard.Record, bool) {
	if f.lookupsLeft.Add(-1) < 0 {
		panic("fault of the program")
	}
	return crashguard.Record{}, false
}

// Guards against a panic in one call that leaks a slot, a reservation of the
// link or an attempt in flight. The cases are a panic before admission, one
// while the slot is occupied, and one after the response.
func TestPanicReleasesResources(t *testing.T) {
	for lookups := range int64(3) {
		t.Run(fmt.Sprint(lookups), func(t *testing.T) {
			is := is.New(t)
			address, _ := rawUpstream(t, rawResponse("Content-Length: 10\r\n", 10), false)
			l := newTestLocal(t, address, shaping.NewLink(100), 1)
			f := &panickingRegistry{Registry: l.CrashRecords}
			f.lookupsLeft.Store(lookups)
			l.CrashRecords = f
			func() {
				defer func() { _ = recover() }()
				if res, r := l.Run(t.Context(), downloadAttempt(time.Minute)); r == nil {
					res.Finish(true)
				}
			}()
			is.True(f.lookupsLeft.Load() < 0) // it has panicked
			is.True(!l.Busy())
			is.Equal(l.buffered.bytes.Load(), int64(0))
			is.Equal(len(l.running.attempts), 0)
		})
	}
}

// Guards against a panic in one call that ends the process: the caller has to
// receive a failure, and the next call has to be served.
func TestPanicFailsOnlyItsCall(t *testing.T) {
	is := is.New(t)
	p := newTestCluster(injectedFault{})
	defer p.close()
	l := p.nodes[0].gateway.Local
	f := &panickingRegistry{Registry: l.CrashRecords}
	l.CrashRecords = f
	failed := 0
	for range 20 {
		f.lookupsLeft.Store(1)
		o := p.send(0, false)
		if o.status == http.StatusInternalServerError {
			failed++
		}
	}
	is.True(failed > 0)
	f.lookupsLeft.Store(1 << 40)
	is.Equal(p.send(0, false).status, http.StatusOK)
	for _, e := range p.nodes[0].gateway.View.Current().UpstreamNodes(testService) {
		stats := p.nodes[0].gateway.Picker.Stats(e.Node, 0)
		for end := time.Now().Add(5 * time.Second); stats.InFlight() > 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond) // the attempt ends just after the caller has its response
		}
		is.Equal(stats.InFlight(), 0)
	}
}

// Guards against a late duplicate of a response without a request ID, which the
// next caller on that connection received.
func TestLateDuplicateWithoutRequestIDIsDiscarded(t *testing.T) {
	is := is.New(t)
	p := newTestCluster(injectedFault{})
	defer p.close()
	for _, s := range p.nodes {
		s.upstream.enqueue(answersTwiceWithoutID, answersTwiceWithoutID, answersTwiceWithoutID)
	}
	for i := range 12 {
		o := p.send(i%clusterSize, i%2 == 0)
		is.NoErr(p.check(o))
		time.Sleep(lateDelay / 3)
	}
}

// Guards against a late duplicate of a refusal without a request ID: the next
// request would be reported as not run, and run again.
func TestLateDuplicateRefusalIsDiscarded(t *testing.T) {
	is := is.New(t)
	l := mustListen()
	defer func() { _ = l.Close() }()
	var requests atomic.Int64
	var copies atomic.Pointer[net.Conn] // on which a late duplicate may arrive
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				br := bufio.NewReader(nc)
				shed := fmt.Sprintf("HTTP/1.1 503 X\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", testNames.NotRun)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					if requests.Add(1) == 1 {
						copies.Store(&nc) // before the response, after which the next request may arrive
						_, _ = io.WriteString(nc, shed)
						continue
					}
					if first := copies.Load(); *first == nc {
						_, _ = io.WriteString(nc, shed)
					}
					_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 X\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n",
						testNames.RequestID, r.Header.Get(testNames.RequestID), testNames.Signature)
				}
			}()
		}
	}()
	local := newTestLocal(t, l.Addr().String(), shaping.NewLink(0), 1)
	att := downloadAttempt(time.Minute)
	att.Download, att.Idempotent = false, false
	att.Header = http.Header{testNames.RequestID: {att.RequestID}}
	_, r := local.Run(t.Context(), att)
	is.True(r != nil && r.RunState == model.NotRun)
	res, r := local.Run(t.Context(), att)
	is.True(r == nil) // a refusal would be the late duplicate of the first one
	res.Finish(true)
}

// Guards against using a response to another attempt between two nodes.
func TestResponseToAnotherAttemptIsRejected(t *testing.T) {
	is := is.New(t)
	response := fmt.Sprintf("HTTP/1.1 200 X\r\n%s: 1\r\n%s: 1\r\n%s: upstream 0 1\r\n%s: 77\r\nContent-Length: 4\r\n\r\nlate",
		testNames.RequestID, testNames.Signature, headerAnswer, headerAttempt)
	address, _ := rawUpstream(t, response, true)
	r := NewRemote("n", testNames, config.NewHolder())
	_, refusal := r.Run(context.Background(), address, downloadAttempt(time.Minute))
	is.True(refusal != nil)
	is.Equal(refusal.RunState, model.RunUnknown)
}

// truncatingUpstream sends the first bytes of a response and ends the
// connection.
func truncatingUpstream(t *testing.T, reset bool) (address string, set func(text string)) {
	t.Helper()
	l := mustListen()
	t.Cleanup(func() { _ = l.Close() })
	var text atomic.Pointer[string]
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = nc.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(nc)); err != nil {
					return
				}
				if _, err := io.WriteString(nc, *text.Load()); err != nil {
					return
				}
				if reset {
					time.Sleep(time.Millisecond) // lets the node read what was sent
					_ = nc.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	return l.Addr().String(), func(s string) { text.Store(&s) }
}

// Guards against a truncated response that reaches the caller as a complete
// success, also with an empty or short body. It is truncated at each byte of head and body, with a length, in
// chunks and without a length, by a close and by a reset, through one node and
// through two.
func TestTruncatedResponseIsNeverASuccess(t *testing.T) {
	const body = "0123456789"
	head := fmt.Sprintf("HTTP/1.1 200 X\r\n%s: b\r\n%s: 1\r\n", testNames.RequestID, testNames.Signature)
	for name, whole := range map[string]string{
		"length":       head + "Content-Length: 10\r\n\r\n" + body,
		"length first": strings.Replace(head, "\r\n", "\r\nContent-Length: 10\r\n", 1) + "\r\n" + body,
		"chunked":      head + "Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n",
		"close":        head + "\r\n" + body,
	} {
		for _, reset := range []bool{false, true} {
			for nodes := 1; nodes <= 2; nodes++ {
				t.Run(fmt.Sprintf("%s reset=%t nodes=%d", name, reset, nodes), func(t *testing.T) {
					t.Parallel()
					checkTruncated(t, whole, body, name == "close", reset, nodes)
				})
			}
		}
	}
}

// nodesBefore starts a node, or two in a row, before the upstream at an address, and returns the
// address for calls. A request that is not idempotent gets one attempt.
func nodesBefore(t *testing.T, upstreamAddress string, nodes int) (callAddress string) {
	t.Helper()
	holder := config.NewHolder()
	c := testConfiguration(injectedFault{})
	c.Routes[1].MaxAttempts = 1
	if _, err := holder.Offer(c); err != nil {
		t.Fatal(err)
	}
	l := &runCounter{runs: make(map[string]int)}
	first, m := newTestNode("n0", holder, l, injectedFault{})
	second, other := newTestNode("n1", holder, l, injectedFault{})
	t.Cleanup(first.close)
	t.Cleanup(second.close)
	upstreamNode, member := first, m
	if nodes == 2 {
		upstreamNode, member = second, other
	}
	upstreamNode.gateway.Local.pool.Address = upstreamAddress
	first.gateway.View.Replace([]fleet.Member{member}, follow.At(1), time.Now())
	return first.address
}

func checkTruncated(t *testing.T, whole, body string, endsAtClose, reset bool, nodes int) {
	is := is.New(t)
	address, set := truncatingUpstream(t, reset)
	callAddress := nodesBefore(t, address, nodes)
	for n := 0; n < len(whole); n++ {
		set(whole[:n])
		status, got, err := sendOnce(callAddress)
		if err != nil || status != http.StatusOK {
			continue
		}
		// Without a length a response is complete wherever its connection is
		// closed, but not where it is reset.
		headEnd := strings.Index(whole, "\r\n\r\n") + 4
		if !endsAtClose || reset || n < headEnd || got != body[:n-headEnd] {
			t.Fatalf("the first %d of %d bytes reached the caller as a complete success %q", n, len(whole), got)
		}
	}
	if !reset {
		set(whole)
		status, got, err := sendOnce(callAddress)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.Equal(got, body)
	}
}

// sendOnce sends one request that is not idempotent, with the ID b.
func sendOnce(address string) (int, string, error) {
	nc, err := net.Dial("tcp", address)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = nc.Close() }()
	_ = nc.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = io.WriteString(nc, "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nX-Id: b\r\nX-Left: 5000\r\n\r\nx")
	if err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return 0, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// Guards against responses that state more bytes than they have: a panic at the largest
// length, and downloads that are refused afterwards because the link counts as full.
func TestStatedLengthIsNotTrusted(t *testing.T) {
	for _, stated := range []string{"1099511627776", "9223372036854775807"} {
		is := is.New(t)
		holder := config.NewHolder()
		_, err := holder.Offer(testConfiguration(injectedFault{}))
		is.NoErr(err)
		s, m := newTestNode("n0", holder, &runCounter{runs: make(map[string]int)}, injectedFault{})
		defer s.close()
		s.gateway.View.Replace([]fleet.Member{m}, follow.At(1), time.Now())
		address, _ := rawUpstream(t, fmt.Sprintf("HTTP/1.1 200 X\r\n%s: b\r\n%s: 1\r\nContent-Length: %s\r\n\r\n%s",
			testNames.RequestID, testNames.Signature, stated, strings.Repeat("x", 100<<10)), true)
		link := shaping.NewLink(20)
		s.gateway.Local = newTestLocal(t, address, link, 2)
		status, body, err := sendOnce(s.address)
		is.True(err != nil) // it breaks off visibly
		is.Equal(status, http.StatusOK)
		is.True(len(body) > 0)
		is.True(link.TimeToSend("files") < time.Second)
	}
}

// Guards the start of a node next to an upstream: the upstream itself has to
// confirm the first report. A late report of a boot that has left must not be
// accepted, and a running boot has to serve at once. A second report is sufficient only
// if the departures that an earlier process has acknowledged are known.
func TestFirstReportIsConfirmedByTheUpstream(t *testing.T) {
	for name, c := range map[string]struct {
		status    int
		boot      string
		confirmed bool
	}{
		"the same boot":  {http.StatusOK, "boot", true},
		"another boot":   {http.StatusOK, "later", false},
		"leaving":        {http.StatusServiceUnavailable, "boot", false},
		"names no boot":  {http.StatusOK, "", false},
		"another status": {http.StatusNotFound, "boot", false},
	} {
		for _, departuresKnown := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, departures known=%v", name, departuresKnown), func(t *testing.T) {
				is := is.New(t)
				address, requests := rawUpstream(t, fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", c.status, testNames.Boot, c.boot), true)
				cfg := testConfiguration(injectedFault{})
				cfg.Services[0].HealthPath = "/health"
				l := newUnreportedLocal(t, address, shaping.NewLink(0), cfg, departuresKnown)
				l.Reconfigure() // there is nothing to verify yet
				before := requests.Load()
				is.Equal(l.Report(upstream.Report{ID: "boot", Start: upstream.StartedAt(1), Sequence: 4, Service: testService, Slots: 1}), upstream.Unverified)
				for end := time.Now().Add(5 * time.Second); requests.Load() == before && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
				is.Equal(requests.Load(), before+1)
				if c.confirmed {
					for end := time.Now().Add(5 * time.Second); !l.Serving() && time.Now().Before(end); {
						time.Sleep(time.Millisecond)
					}
				} else {
					time.Sleep(20 * time.Millisecond)
				}
				is.Equal(l.Serving(), c.confirmed)
				l.Report(upstream.Report{ID: "boot", Start: upstream.StartedAt(1), Sequence: 5, Service: testService, Slots: 1})
				is.Equal(l.Serving(), c.confirmed || departuresKnown)
			})
		}
	}
}

// All upstreams are full, and a node that has accepted calls stops. Guards
// against calls that wait for a slot at a remote node and are cut off without a
// response when the process ends: they have to be refused as not run.
func TestWithdrawRefusesWaitingCalls(t *testing.T) {
	is := is.New(t)
	p := newTestCluster(injectedFault{})
	defer p.close()
	for _, s := range p.nodes {
		s.upstream.enqueue(hangs, hangs) // all slots
	}
	ended := make(chan outcome, 30)
	const waiting = 24
	for range waiting {
		go func() { ended <- p.sendWithin(0, false, 10*time.Second) }()
	}
	stopping := p.nodes[0].gateway
	for end := time.Now().Add(5 * time.Second); p.waiting() < waiting-2*clusterSize && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	stopping.Withdraw(t.Context())
	refused := 0
	for range waiting - 2*clusterSize {
		select {
		case o := <-ended:
			is.NoErr(p.check(o))
			is.Equal(o.status, http.StatusServiceUnavailable)
			refused++
		case <-time.After(5 * time.Second):
			t.Fatalf("no response within 5 s after %d refused calls", refused)
		}
	}
}

// waiting returns the number of attempts that wait for a slot at all nodes.
func (p *testCluster) waiting() int { return p.sum(func(s admission.State) int { return s.Waiting }) }

// running returns the number of attempts that run at all nodes.
func (p *testCluster) running() int { return p.sum(func(s admission.State) int { return s.Running }) }

func (p *testCluster) sum(of func(admission.State) int) int {
	n := 0
	for _, s := range p.nodes {
		state, _, _ := s.gateway.Local.State()
		n += of(state)
	}
	return n
}

// The first report arrives before the configuration. Guards against a node that
// then waits for a second report although the upstream could have confirmed the
// first one.
func TestFirstReportIsConfirmedOnceHealthPathIsKnown(t *testing.T) {
	is := is.New(t)
	address, _ := rawUpstream(t, fmt.Sprintf("HTTP/1.1 200 X\r\n%s: boot\r\nContent-Length: 0\r\n\r\n", testNames.Boot), true)
	cfg := testConfiguration(injectedFault{})
	l := newUnreportedLocal(t, address, shaping.NewLink(0), cfg, true)
	l.Config = config.NewHolder()
	is.Equal(l.Report(upstream.Report{ID: "boot", Start: upstream.StartedAt(1), Sequence: 4, Service: testService, Slots: 1}), upstream.Unverified)
	time.Sleep(10 * time.Millisecond)
	is.True(!l.Serving())
	cfg.Services[0].HealthPath = "/health"
	_, err := l.Config.Offer(cfg)
	is.NoErr(err)
	l.Reconfigure()
	for end := time.Now().Add(5 * time.Second); !l.Serving() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.True(l.Serving())
}
