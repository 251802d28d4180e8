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
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/crashguard"
	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/shaping"
	"github.com/lentilflow/lentilflow/pkg/standin/rawserver"
	"github.com/lentilflow/lentilflow/pkg/upstream"
)

const downloadSize = 300 << 10

// rawUpstream responds to every request with the same raw text. It closes the
// connection afterwards if closes is set, for texts that do not end with the
// response.
func rawUpstream(t *testing.T, response string, closes bool) (address string, runs *atomic.Int64) {
	t.Helper()
	s, err := rawserver.Start(response, closes)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s.Address(), &s.Requests
}

func newTestLocal(t *testing.T, address string, link *shaping.Link, slots int) *Local {
	t.Helper()
	l := newUnreportedLocal(t, address, link, testConfiguration(injectedFault{}), true)
	for sequence := range uint64(2) { // the second report confirms the boot
		l.Report(upstream.Report{ID: "boot", Start: upstream.StartedAt(1), Sequence: sequence, Service: testService, Slots: slots})
	}
	return l
}

// newUnreportedLocal returns a Local whose upstream has not sent a report.
// departuresKnown says that no departure of an earlier process can be missing.
func newUnreportedLocal(t *testing.T, address string, link *shaping.Link, c *config.Configuration, departuresKnown bool) *Local {
	t.Helper()
	holder := config.NewHolder()
	if _, err := holder.Offer(c); err != nil {
		t.Fatal(err)
	}
	l := NewLocal(&Local{
		Node: "n", Service: testService, Names: testNames, Log: zap.NewNop(), Metrics: NewMetrics(prometheus.NewRegistry()),
		Config: holder, CrashRecords: crashguard.NewMemoryRegistry(time.Now), Link: link, OnServingChange: func(bool) {},
		OnCrash: func(crashguard.Fingerprint, crashguard.Crash) {}, OnSuspectCompleted: func(crashguard.Fingerprint) {},
		OnDeparture: func(upstream.Departure) {},
	}, address)
	l.RecoverDepartures(nil, departuresKnown)
	return l
}

func downloadAttempt(deadline time.Duration) *Attempt {
	return &Attempt{
		RequestID: "1", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, Service: testService, Route: "files",
		Weight: 1, Idempotent: true, Download: true, Deadline: time.Now().Add(deadline),
	}
}

func rawResponse(fields string, length int) string {
	return fmt.Sprintf("HTTP/1.1 200 X\r\n%s: 1\r\n%s: 1\r\n%s\r\n%s", testNames.RequestID, testNames.Signature, fields, strings.Repeat("b", length))
}

// Downloads and short calls share an upstream with one slot. Guards against a
// slot that stays occupied while a download waits for the link, so that short
// calls wait for the transfer.
func TestDownloadReleasesSlotBeforeSending(t *testing.T) {
	is := is.New(t)
	address, _ := rawUpstream(t, rawResponse(fmt.Sprintf("Content-Length: %d\r\n", downloadSize), downloadSize), false)
	l := newTestLocal(t, address, shaping.NewLink(1), 1)
	res, r := l.Run(t.Context(), downloadAttempt(time.Minute))
	is.True(r == nil)
	is.True(!l.Busy()) // nothing of the response was sent yet
	is.Equal(l.buffered.bytes.Load(), int64(downloadSize))
	n, err := io.Copy(io.Discard, res)
	is.NoErr(err)
	is.Equal(n, int64(downloadSize))
	res.Finish(true)
	is.Equal(l.buffered.bytes.Load(), int64(0))
}

// Guards against the delivery of a download that the upstream truncates,
// although another upstream can still respond. The cases are the ways to mark
// the end of a body: a length, chunks, and the end of the connection.
func TestTruncatedDownloadIsNotDelivered(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		complete bool
	}{
		"length":        {rawResponse(fmt.Sprintf("Content-Length: %d\r\n", downloadSize+1), downloadSize), false},
		"chunked":       {rawResponse("Transfer-Encoding: chunked\r\n", 0) + "100\r\n" + strings.Repeat("b", 0x100) + "\r\n", false},
		"chunked whole": {rawResponse("Transfer-Encoding: chunked\r\n", 0) + "100\r\n" + strings.Repeat("b", 0x100) + "\r\n0\r\n\r\n", true},
		"close":         {rawResponse("", downloadSize), true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, _ := rawUpstream(t, c.response, true)
			l := newTestLocal(t, address, shaping.NewLink(0), 1)
			res, r := l.Run(t.Context(), downloadAttempt(time.Minute))
			is.Equal(r == nil, c.complete)
			if r != nil {
				is.Equal(r.Reason, model.UpstreamLost)
				is.Equal(r.RunState, model.RunUnknown)
			} else {
				res.Finish(true)
			}
			is.True(!l.Busy())
			is.Equal(l.buffered.bytes.Load(), int64(0))
		})
	}
}

// Guards the memory of a node: responses above the limit for one, and further
// ones once the limit for all is reached, are read only as fast as they are
// sent.
func TestBufferedResponsesAreBounded(t *testing.T) {
	is := is.New(t)
	for _, fields := range []string{fmt.Sprintf("Content-Length: %d\r\n", maxBufferedResponse+1), ""} {
		address, _ := rawUpstream(t, rawResponse(fields, maxBufferedResponse+1), true)
		l := newTestLocal(t, address, shaping.NewLink(0), 1)
		res, r := l.Run(t.Context(), downloadAttempt(time.Minute))
		is.True(r == nil)
		is.True(l.Busy()) // its slot is occupied until the response was read
		is.True(l.buffered.bytes.Load() <= maxBufferedResponse)
		n, err := io.Copy(io.Discard, res)
		is.NoErr(err)
		is.Equal(n, int64(maxBufferedResponse+1))
		res.Finish(true)
		is.True(!l.Busy())
		is.Equal(l.buffered.bytes.Load(), int64(0))
	}
	var h bufferedBytes
	for h.reserve(maxBufferedResponse) {
		is.True(h.bytes.Load() <= maxBufferedTotal)
	}
	is.Equal(h.bytes.Load(), int64(maxBufferedTotal))
}

// More downloads than the link can carry. Guards against a backlog beyond the
// latency target, and against running a request whose response cannot be sent
// in time: it has to be refused before the upstream sees it.
func TestDownloadsExceedingLinkAreRefusedBeforeRunning(t *testing.T) {
	is := is.New(t)
	address, runs := rawUpstream(t, rawResponse(fmt.Sprintf("Content-Length: %d\r\n", downloadSize), downloadSize), false)
	link := shaping.NewLink(10)
	l := newTestLocal(t, address, link, 100)
	x := link.Begin("files", time.Time{})
	is.NoErr(x.WaitN(t.Context(), downloadSize))
	x.Done(true) // the usual size is known: each download takes 270 ms of the link
	run := func(change func(*Attempt)) *Refusal {
		att := downloadAttempt(time.Minute)
		change(att)
		_, r := l.Run(context.Background(), att)
		return r
	}
	is.True(run(func(att *Attempt) {}) == nil)
	is.True(run(func(att *Attempt) {}) == nil)
	before := runs.Load()
	for _, c := range []struct {
		change func(*Attempt)
		reason model.Reason
	}{
		{func(att *Attempt) { att.LatencyTarget = time.Second }, model.Overloaded},
		{func(att *Attempt) { att.MaxWait = 500 * time.Millisecond }, model.Overloaded},
		{func(att *Attempt) { att.Deadline = time.Now().Add(500 * time.Millisecond) }, model.DeadlineUnreachable},
	} {
		r := run(c.change)
		is.True(r != nil)
		is.Equal(r.Reason, c.reason)
		is.Equal(r.RunState, model.NotRun)
		is.True(r.RetryAfter > 0)
	}
	is.Equal(runs.Load(), before)
	is.True(run(func(att *Attempt) { att.Download = false; att.LatencyTarget = time.Second }) == nil) // other responses are not limited by the link
}

// Guards against a download that is sent faster than the rate of the link: the
// caller has to receive all of it at that rate.
func TestDownloadIsPacedAtLinkRate(t *testing.T) {
	is := is.New(t)
	holder := config.NewHolder()
	c := testConfiguration(injectedFault{})
	c.Routes[0].Download, c.Routes[0].Timeout = true, time.Minute
	_, err := holder.Offer(c)
	is.NoErr(err)
	s, m := newTestNode("n0", holder, &runCounter{runs: make(map[string]int)}, injectedFault{})
	defer s.close()
	address, _ := rawUpstream(t, rawResponse(fmt.Sprintf("Content-Length: %d\r\n", downloadSize), downloadSize), false)
	link := shaping.NewLink(20)
	s.gateway.Local = newTestLocal(t, address, link, 2)
	s.gateway.View.Replace([]fleet.Member{m}, follow.At(1), time.Now())
	began := time.Now()
	nc, err := net.Dial("tcp", s.address)
	is.NoErr(err)
	defer func() { _ = nc.Close() }()
	_, err = io.WriteString(nc, "GET /safe/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Left: 60000\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(len(body), downloadSize)
	const link20 = 20e6 / 8 // bytes per second
	is.True(time.Since(began) >= time.Duration(float64(downloadSize-32<<10)/link20*float64(time.Second)))
}
