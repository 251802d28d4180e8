package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/crashguard"
)

// Guards against a request that is sent to an upstream although the node that received
// it knows that it crashes upstreams: the upstream's own node may have restarted and
// not know it.
func TestNodeOfCallerRefusesCrashingRequest(t *testing.T) {
	is := is.New(t)
	p := newTestCluster(injectedFault{})
	defer p.close()
	is.Equal(p.sendWithin(0, true, time.Second).status, http.StatusOK)
	f := crashguard.FingerprintOf(crashguard.Request{Method: http.MethodGet, Caller: testService, Target: "h/safe/"})
	for i := range crashguard.MaxCrashes {
		at := time.Now().Add(time.Duration(i-10) * time.Second)
		p.nodes[0].gateway.Local.CrashRecords.RecordLocal(f, testService, crashguard.Crash{ID: fmt.Sprint(i), Upstream: "n", At: at})
	}
	for range 20 {
		o := p.sendWithin(0, true, time.Second)
		is.Equal(o.status, http.StatusServiceUnavailable)
		is.Equal(p.runs.count(o.id), 0)
	}
	served := 0
	for range 20 { // node 1 has no record; node 0 refuses what it sends there
		if p.sendWithin(1, true, time.Second).status == http.StatusOK {
			served++
		}
	}
	is.True(served > 0)
}

// Guards against an end of an attempt from which no crash is concluded although it may be
// one, and against ends that count as crashes although the node or its caller has caused
// them.
func TestEndsThatMayBeCrashes(t *testing.T) {
	lost := errors.New("connection lost")
	for name, c := range map[string]struct {
		end   attemptEnd
		crash bool
	}{
		"request not sent":                    {attemptEnd{err: lost}, false},
		"lost before the head":                {attemptEnd{sent: true, err: lost}, true},
		"lost in the body":                    {attemptEnd{sent: true, err: io.ErrUnexpectedEOF}, true},
		"body ends with its connection":       {attemptEnd{sent: true, endsWithConnection: true}, true},
		"whole response":                      {attemptEnd{sent: true}, false},
		"caller has left or time is over":     {attemptEnd{sent: true, gaveUp: true, err: lost}, false},
		"caller has left a body without end":  {attemptEnd{sent: true, gaveUp: true, endsWithConnection: true}, false},
		"upstream was not reached, time over": {attemptEnd{gaveUp: true, err: lost}, false},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(c.end.mayBeCrash(), c.crash) })
	}
}
