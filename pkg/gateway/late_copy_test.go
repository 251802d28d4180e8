package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/shaping"
	"github.com/lentilflow/lentilflow/pkg/upstream"
)

// repeatingUpstream answers the first request with the first response. Before it
// answers a later request on the same connection, it sends the copy. It answers
// each request after the first as run.
func repeatingUpstream(t *testing.T, first, copied func(id string) string) (address string, runs *atomic.Int64) {
	t.Helper()
	l := mustListen()
	t.Cleanup(func() { _ = l.Close() })
	runs = &atomic.Int64{}
	go func() {
		for n := 0; ; n++ {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = nc.Close() }()
				br := bufio.NewReader(nc)
				for requests := 0; ; requests++ {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					id := r.Header.Get(testNames.RequestID)
					if n == 0 && requests == 0 {
						_, _ = io.WriteString(nc, first(id))
						continue
					}
					if requests > 0 {
						_, _ = io.WriteString(nc, copied(id))
						time.Sleep(lateDelay) // the node may have given up by now
					}
					runs.Add(1)
					_, _ = io.WriteString(nc, signedResponse(id))
				}
			}()
		}
	}()
	return l.Addr().String(), runs
}

// signedResponse returns the response of an upstream that has run a request.
func signedResponse(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 X\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", testNames.RequestID, id, testNames.Signature)
}

// notRunResponse returns the refusal of an upstream. Without an ID it names no
// request.
func notRunResponse(status int, id string) string {
	field := ""
	if id != "" {
		field = testNames.RequestID + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%s%s: 1\r\nContent-Length: 0\r\n\r\n", status, field, testNames.NotRun)
}

// Guards against a late copy of a refusal on a kept connection that is taken for
// the response to a request that the upstream runs: the caller would be told that
// it has not run, or it would run a second time. The copy has the ID of the same
// request, which is sent again after the refusal, or none.
func TestLateCopyOfRefusalIsNotTheResponse(t *testing.T) {
	for name, c := range map[string]struct{ first, copied func(id string) string }{
		"same request is sent again": {
			func(id string) string { return notRunResponse(http.StatusServiceUnavailable, id) },
			func(id string) string { return notRunResponse(http.StatusServiceUnavailable, id) },
		},
		"same request after a misdirected one": {
			func(id string) string { return notRunResponse(http.StatusMisdirectedRequest, id) },
			func(id string) string { return notRunResponse(http.StatusMisdirectedRequest, id) },
		},
		"copy names no request": {
			signedResponse, func(string) string { return notRunResponse(http.StatusServiceUnavailable, "") },
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, runs := repeatingUpstream(t, c.first, c.copied)
			local := newTestLocal(t, address, shaping.NewLink(0), 1)
			att := downloadAttempt(time.Minute)
			att.Download, att.Idempotent = false, false
			att.Header = http.Header{testNames.RequestID: {att.RequestID}}
			run := func() (*Response, *Refusal) {
				boot, refusal := local.availableBoot(att.Service)
				if refusal != nil {
					boot = &upstream.Boot{ID: "boot"} // after a misdirected request the boot is unreachable
				}
				return local.exchange(t.Context(), att, boot)
			}
			if res, refusal := run(); refusal == nil {
				_, _ = io.Copy(io.Discard, res)
				res.Finish(true)
			}
			before := runs.Load()
			res, refusal := run()
			if refusal != nil {
				t.Fatalf("request is reported as %v, upstream has run it %d times", refusal.RunState, runs.Load()-before)
			}
			is.Equal(runs.Load(), before+1)
			res.Finish(true)
		})
	}
}
