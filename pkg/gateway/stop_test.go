package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// cancelTimeout limits what follows CancelCalls; the agent allows 100 ms for
// it.
const cancelTimeout = 5 * time.Second

// cancelCalls does what the agent does at the end of a planned stop.
func (s *testNode) cancelCalls() {
	s.calls.AbortBodyReads()
	s.gateway.CancelCalls()
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(cancelTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out after %s waiting until %s", cancelTimeout, what)
		}
	}
}

// A node stops while the responses to its calls are lost and further calls wait
// for the slots that these occupy. Guards against calls that wait for their own
// deadlines and are cut off without a response when the process ends.
func TestCancelCallsAnswersEveryCall(t *testing.T) {
	is := is.New(t)
	p := newTestCluster(injectedFault{})
	defer p.close()
	const running, waiting = 2 * clusterSize, 6
	for _, s := range p.nodes {
		s.upstream.enqueue(hangs, hangs) // all slots
	}
	ended := make(chan outcome, running+waiting)
	for i := range running + waiting {
		go func() { ended <- p.sendWithin(0, i%2 == 0, 10*time.Second) }()
	}
	stopping := p.nodes[0]
	waitFor(t, "calls run and wait", func() bool { return p.running()+p.waiting() == running+waiting })
	is.Equal(len(ended), 0) // no call is cancelled before CancelCalls
	stopping.cancelCalls()
	for range running + waiting {
		select {
		case o := <-ended:
			is.NoErr(p.check(o))
			switch o.status {
			case http.StatusOK, http.StatusServiceUnavailable, http.StatusBadGateway:
			default:
				t.Errorf("request %s: status %d", o.id, o.status)
			}
		case <-time.After(cancelTimeout):
			t.Fatal("a call got no response")
		}
	}
	waitFor(t, "calls end", func() bool { return stopping.calls.Active() == 0 })
}

// Guards against a call that waits for a remote node that has become
// unresponsive: the message that withdraws the attempt has no effect there.
func TestCancelCallsAnswersCallToUnresponsiveNode(t *testing.T) {
	is := is.New(t)
	p := newTestCluster(injectedFault{})
	defer p.close()
	silent := mustListen()
	defer func() { _ = silent.Close() }()
	s := p.nodes[0]
	s.gateway.View.Replace([]fleet.Member{{
		Node: "silent", Service: testService, CallAddress: silent.Addr().String(), MessageAddress: "unused",
		Location: model.Location{Region: "r", AvailabilityZone: "z"},
	}}, follow.At(2), time.Now())
	ended := make(chan outcome, 1)
	go func() { ended <- p.sendWithin(0, false, 10*time.Second) }()
	nc, err := silent.Accept()
	is.NoErr(err)
	defer func() { _ = nc.Close() }()
	var b [1]byte
	_, err = nc.Read(b[:]) // the request has been sent
	is.NoErr(err)
	s.cancelCalls()
	select {
	case o := <-ended:
		is.Equal(o.status, http.StatusBadGateway) // it may have run
	case <-time.After(cancelTimeout):
		t.Fatal("the call got no response")
	}
}

// Guards against a request whose body has not arrived completely and that is
// cut off at the end of a planned stop: its caller has to be informed that it
// has not run, or at least that it failed.
func TestCancelCallsAnswersCallWithPendingBody(t *testing.T) {
	for name, c := range map[string]struct {
		length, sent int
		status       string
	}{
		"held in memory": {100, 50, "HTTP/1.1 408 "},
		"streamed":       {1 << 20, 300 << 10, "HTTP/1.1 50"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newTestCluster(injectedFault{})
			defer p.close()
			s := p.nodes[0]
			nc, err := net.Dial("tcp", s.address)
			is.NoErr(err)
			defer func() { _ = nc.Close() }()
			_, err = fmt.Fprintf(nc, "POST /unsafe/ HTTP/1.1\r\nHost: h\r\n%s: r\r\nContent-Length: %d\r\n\r\n%s",
				testNames.RequestID, c.length, strings.Repeat("x", c.sent))
			is.NoErr(err)
			waitFor(t, "the request is read", func() bool { return s.calls.Active() == 1 })
			if c.sent > 256<<10 {
				waitFor(t, "the request is passed on", func() bool { return p.running() > 0 })
			}
			s.cancelCalls()
			is.NoErr(nc.SetReadDeadline(time.Now().Add(cancelTimeout)))
			response, err := io.ReadAll(nc)
			is.NoErr(err)
			is.True(strings.HasPrefix(string(response), c.status))
			is.Equal(p.runs.count("r"), 0)
		})
	}
}

// All nodes were lost and restart, and their callers return at once. Guards
// against calls that are refused although the node has its configuration a
// moment later, and against waits longer than the call allows.
func TestFirstCallsWaitForTheConfiguration(t *testing.T) {
	is := is.New(t)
	p := &testCluster{runs: &runCounter{runs: make(map[string]int)}}
	defer p.close()
	holder := config.NewHolder()
	s, m := newTestNode("n", holder, p.runs, injectedFault{})
	p.nodes = []*testNode{s}
	s.gateway.View.Replace([]fleet.Member{m}, follow.At(1), time.Now())
	// A call with little time does not wait for long.
	is.Equal(p.sendWithin(0, true, 20*time.Millisecond).status, http.StatusServiceUnavailable)
	ended := make(chan outcome, 1)
	go func() { ended <- p.sendWithin(0, true, 10*time.Second) }()
	waitFor(t, "the call is read", func() bool { return s.calls.Active() == 1 })
	_, err := holder.Offer(testConfiguration(injectedFault{}))
	is.NoErr(err)
	s.gateway.ReleaseIfReady()
	o := <-ended
	is.NoErr(p.check(o))
	is.Equal(o.status, http.StatusOK)
}

// Guards a node that restarts next to a running upstream: the node has to serve
// before the next report of the upstream, unless the upstream is leaving.
func TestBootIsDetectedBeforeFirstReport(t *testing.T) {
	for status, found := range map[int]bool{http.StatusOK: true, http.StatusServiceUnavailable: false} {
		is := is.New(t)
		address, _ := rawUpstream(t, fmt.Sprintf("HTTP/1.1 %d X\r\n%s: boot\r\nContent-Length: 0\r\n\r\n", status, testNames.Boot), true)
		l := NewLocal(&Local{
			Service: testService, Names: testNames, Log: zap.NewNop(), Config: config.NewHolder(), OnServingChange: func(bool) {},
		}, address)
		l.RecoverDepartures(nil, true)
		l.DetectBoot()
		is.True(!l.Serving()) // the health path is not known
		c := testConfiguration(injectedFault{})
		c.Services[0].HealthPath = "/health"
		_, err := l.Config.Offer(c)
		is.NoErr(err)
		l.DetectBoot()
		is.Equal(l.Serving(), found)
	}
}
