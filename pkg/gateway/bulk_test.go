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

const bulkSize = 300 << 10

// bulkUpstream answers every request with the same raw text, and closes the
// connection after it if the text does not end with the answer.
func bulkUpstream(t *testing.T, answer string, closes bool) (address string, runs *atomic.Int64) {
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
					if _, err := io.WriteString(nc, answer); err != nil || closes {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), runs
}

func bulkLocal(t *testing.T, address string, link *shaping.Link, slots int) *Local {
	t.Helper()
	l := startedLocal(t, address, link, pathConfiguration(pathFault{}))
	for sequence := range uint64(2) { // the second report proves the boot
		l.Report(upstream.Report{ID: "boot", StartedAt: 1, Sequence: sequence, Service: testService, Slots: slots})
	}
	return l
}

// startedLocal knows nothing of its upstream.
func startedLocal(t *testing.T, address string, link *shaping.Link, c *config.Configuration) *Local {
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

func bulkJob(deadline time.Duration) *Attempt {
	return &Attempt{
		RequestID: "1", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, Service: testService, Route: "files",
		Weight: 1, Idempotent: true, Download: true, Deadline: time.Now().Add(deadline),
	}
}

func largeAnswer(fields string, length int) string {
	return fmt.Sprintf("HTTP/1.1 200 X\r\n%s: 1\r\n%s: 1\r\n%s\r\n%s", testNames.RequestID, testNames.Signature, fields, strings.Repeat("b", length))
}

// Pattern: downloads and short calls share an upstream with one slot. Guards
// against a slot that is held while a large answer waits for the link: the
// short calls would wait for bytes.
func TestLargeAnswerLeavesItsSlot(t *testing.T) {
	is := is.New(t)
	address, _ := bulkUpstream(t, largeAnswer(fmt.Sprintf("Content-Length: %d\r\n", bulkSize), bulkSize), false)
	l := bulkLocal(t, address, shaping.NewLink(1), 1)
	res, r := l.Run(t.Context(), bulkJob(time.Minute))
	is.True(r == nil)
	is.True(!l.Busy()) // nothing of the answer was sent yet
	is.Equal(l.held.bytes.Load(), int64(bulkSize))
	n, err := io.Copy(io.Discard, res)
	is.NoErr(err)
	is.Equal(n, int64(bulkSize))
	res.Finish(true)
	is.Equal(l.held.bytes.Load(), int64(0))
}

// Guards against a large answer that breaks off and is begun to be delivered:
// another upstream can still answer. Each kind of end is tried: a length, no
// length, chunks.
func TestLargeAnswerThatBreaksOffIsNotDelivered(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		whole  bool
	}{
		"length":        {largeAnswer(fmt.Sprintf("Content-Length: %d\r\n", bulkSize+1), bulkSize), false},
		"chunked":       {largeAnswer("Transfer-Encoding: chunked\r\n", 0) + "100\r\n" + strings.Repeat("b", 0x100) + "\r\n", false},
		"chunked whole": {largeAnswer("Transfer-Encoding: chunked\r\n", 0) + "100\r\n" + strings.Repeat("b", 0x100) + "\r\n0\r\n\r\n", true},
		"close":         {largeAnswer("", bulkSize), true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, _ := bulkUpstream(t, c.answer, true)
			l := bulkLocal(t, address, shaping.NewLink(0), 1)
			res, r := l.Run(t.Context(), bulkJob(time.Minute))
			is.Equal(r == nil, c.whole)
			if r != nil {
				is.Equal(r.Reason, model.UpstreamLost)
				is.Equal(r.RunState, model.RunUnknown)
			} else {
				res.Finish(true)
			}
			is.True(!l.Busy())
			is.Equal(l.held.bytes.Load(), int64(0))
		})
	}
}

// Guards the memory of a node: an answer above the bound for one, and answers
// above the bound for all, are read as fast as they are sent.
func TestHeldAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	for _, fields := range []string{fmt.Sprintf("Content-Length: %d\r\n", maxHeld+1), ""} {
		address, _ := bulkUpstream(t, largeAnswer(fields, maxHeld+1), true)
		l := bulkLocal(t, address, shaping.NewLink(0), 1)
		res, r := l.Run(t.Context(), bulkJob(time.Minute))
		is.True(r == nil)
		is.True(l.Busy()) // its slot is in use until it was read
		is.True(l.held.bytes.Load() <= maxHeld)
		n, err := io.Copy(io.Discard, res)
		is.NoErr(err)
		is.Equal(n, int64(maxHeld+1))
		res.Finish(true)
		is.True(!l.Busy())
		is.Equal(l.held.bytes.Load(), int64(0))
	}
	var h holding
	for h.reserve(maxHeld) {
		is.True(h.bytes.Load() <= maxHeldTotal)
	}
	is.Equal(h.bytes.Load(), int64(maxHeldTotal))
}

// Pattern: more downloads than the link carries. Guards against a backlog
// beyond the latency target, and against a run whose answer could not be sent
// in time: it is refused before the upstream sees it.
func TestDownloadsBeyondTheLinkAreRefusedUnrun(t *testing.T) {
	is := is.New(t)
	address, runs := bulkUpstream(t, largeAnswer(fmt.Sprintf("Content-Length: %d\r\n", bulkSize), bulkSize), false)
	link := shaping.NewLink(10)
	l := bulkLocal(t, address, link, 100)
	x := link.Begin("files", time.Time{})
	is.NoErr(x.WaitN(t.Context(), bulkSize))
	x.Done(true) // the usual size is known: 270 ms of the link each
	run := func(change func(*Attempt)) *Refusal {
		j := bulkJob(time.Minute)
		change(j)
		_, r := l.Run(context.Background(), j)
		return r
	}
	is.True(run(func(j *Attempt) {}) == nil)
	is.True(run(func(j *Attempt) {}) == nil)
	before := runs.Load()
	for _, c := range []struct {
		change func(*Attempt)
		reason model.Reason
	}{
		{func(j *Attempt) { j.LatencyTarget = time.Second }, model.Overloaded},
		{func(j *Attempt) { j.MaxWait = 500 * time.Millisecond }, model.Overloaded},
		{func(j *Attempt) { j.Deadline = time.Now().Add(500 * time.Millisecond) }, model.DeadlineUnreachable},
	} {
		r := run(c.change)
		is.True(r != nil)
		is.Equal(r.Reason, c.reason)
		is.Equal(r.RunState, model.NotRun)
		is.True(r.RetryAfter > 0)
	}
	is.Equal(runs.Load(), before)
	is.True(run(func(j *Attempt) { j.Download = false; j.LatencyTarget = time.Second }) == nil) // small answers pass
}

// Guards against a large answer that fills the link at once: the caller gets it
// at the rate of the link, and whole.
func TestLargeAnswerFollowsTheLink(t *testing.T) {
	is := is.New(t)
	holder := config.NewHolder()
	c := pathConfiguration(pathFault{})
	c.Routes[0].Download, c.Routes[0].Timeout = true, time.Minute
	_, err := holder.Offer(c)
	is.NoErr(err)
	s, m := newStation("n0", holder, &ledger{runs: make(map[string]int)}, pathFault{})
	defer func() {
		for _, end := range s.close {
			end()
		}
	}()
	address, _ := bulkUpstream(t, largeAnswer(fmt.Sprintf("Content-Length: %d\r\n", bulkSize), bulkSize), false)
	link := shaping.NewLink(20)
	s.gateway.Local = bulkLocal(t, address, link, 2)
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
	is.Equal(len(body), bulkSize)
	const link20 = 20e6 / 8 // bytes a second
	is.True(time.Since(began) >= time.Duration(float64(bulkSize-32<<10)/link20*float64(time.Second)))
}
