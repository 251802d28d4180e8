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
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/shaping"
	"github.com/lentilflow/lentilflow/pkg/upstream"
)

const downloadSize = 300 << 10

// bulkUpstream answers every request with the same raw text, and closes the
// connection after it if the text does not end with the answer.
func rawUpstream(t *testing.T, response string, closes bool) (address string, runs *atomic.Int64) {
	t.Helper()
	l := mustListen()
	t.Cleanup(func() { _ = l.Close() })
	runs = &atomic.Int64{}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = nc.Close() }()
				br := bufio.NewReader(nc)
				for {
					if _, err := http.ReadRequest(br); err != nil {
						return
					}
					runs.Add(1)
					if _, err := io.WriteString(nc, response); err != nil || closes {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), runs
}

func newTestLocal(t *testing.T, address string, link *shaping.Link, slots int) *Local {
	t.Helper()
	l := newUnreportedLocal(t, address, link, testConfiguration(injectedFault{}))
	for sequence := range uint64(2) { // the second report proves the boot
		l.Report(upstream.Report{ID: "boot", StartedAt: 1, Sequence: sequence, Service: testService, Slots: slots})
	}
	return l
}

// startedLocal knows nothing of its upstream.
func newUnreportedLocal(t *testing.T, address string, link *shaping.Link, c *config.Configuration) *Local {
	t.Helper()
	holder := config.NewHolder()
	if _, err := holder.Offer(c); err != nil {
		t.Fatal(err)
	}
	return NewLocal(&Local{
		Node: "n", Service: testService, Names: testNames, Log: zap.NewNop(), Metrics: NewMetrics(prometheus.NewRegistry()),
		Config: holder, CrashRecords: crashguard.NewMemoryRegistry(time.Now), Link: link, OnServingChange: func(bool) {},
		OnCrash: func(crashguard.Fingerprint, crashguard.Crash) {}, OnSuspectCompleted: func(crashguard.Fingerprint) {},
	}, address)
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

// Pattern: downloads and short calls share an upstream with one slot. Guards
// against a slot that is held while a large answer waits for the link: the
// short calls would wait for bytes.
func TestDownloadReleasesSlotBeforeSending(t *testing.T) {
	is := is.New(t)
	address, _ := rawUpstream(t, rawResponse(fmt.Sprintf("Content-Length: %d\r\n", downloadSize), downloadSize), false)
	l := newTestLocal(t, address, shaping.NewLink(1), 1)
	res, r := l.Run(t.Context(), downloadAttempt(time.Minute))
	is.True(r == nil)
	is.True(!l.Busy()) // nothing of the answer was sent yet
	is.Equal(l.buffered.bytes.Load(), int64(downloadSize))
	n, err := io.Copy(io.Discard, res)
	is.NoErr(err)
	is.Equal(n, int64(downloadSize))
	res.Finish(true)
	is.Equal(l.buffered.bytes.Load(), int64(0))
}

// Guards against a large answer that breaks off and is begun to be delivered:
// another upstream can still answer. Each kind of end is tried: a length, no
// length, chunks.
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

// Guards the memory of a node: an answer above the bound for one, and answers
// above the bound for all, are read as fast as they are sent.
func TestBufferedResponsesAreBounded(t *testing.T) {
	is := is.New(t)
	for _, fields := range []string{fmt.Sprintf("Content-Length: %d\r\n", maxBufferedResponse+1), ""} {
		address, _ := rawUpstream(t, rawResponse(fields, maxBufferedResponse+1), true)
		l := newTestLocal(t, address, shaping.NewLink(0), 1)
		res, r := l.Run(t.Context(), downloadAttempt(time.Minute))
		is.True(r == nil)
		is.True(l.Busy()) // its slot is in use until it was read
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

// Pattern: more downloads than the link carries. Guards against a backlog
// beyond the latency target, and against a run whose answer could not be sent
// in time: it is refused before the upstream sees it.
func TestDownloadsExceedingLinkAreRefusedBeforeRunning(t *testing.T) {
	is := is.New(t)
	address, runs := rawUpstream(t, rawResponse(fmt.Sprintf("Content-Length: %d\r\n", downloadSize), downloadSize), false)
	link := shaping.NewLink(10)
	l := newTestLocal(t, address, link, 100)
	x := link.Begin("files", time.Time{})
	is.NoErr(x.WaitN(t.Context(), downloadSize))
	x.Done(true) // the usual size is known: 270 ms of the link each
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
	is.True(run(func(att *Attempt) { att.Download = false; att.LatencyTarget = time.Second }) == nil) // small answers pass
}

// Guards against a large answer that fills the link at once: the caller gets it
// at the rate of the link, and whole.
func TestDownloadIsPacedAtLinkRate(t *testing.T) {
	is := is.New(t)
	holder := config.NewHolder()
	c := testConfiguration(injectedFault{})
	c.Routes[0].Download, c.Routes[0].Timeout = true, time.Minute
	_, err := holder.Offer(c)
	is.NoErr(err)
	s, m := newTestNode("n0", holder, &runCounter{runs: make(map[string]int)}, injectedFault{})
	defer func() {
		for _, end := range s.closers {
			end()
		}
	}()
	address, _ := rawUpstream(t, rawResponse(fmt.Sprintf("Content-Length: %d\r\n", downloadSize), downloadSize), false)
	link := shaping.NewLink(20)
	s.gateway.Local = newTestLocal(t, address, link, 2)
	s.gateway.View.Replace([]fleet.Member{m}, 1)
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
	const link20 = 20e6 / 8 // bytes a second
	is.True(time.Since(began) >= time.Duration(float64(downloadSize-32<<10)/link20*float64(time.Second)))
}
