package gateway

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/h1"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// Guards against a node that is gone and is tried again and again. Calls with
// less time than the limit of a new connection end before it, and have to
// detect the unresponsive node nevertheless (incident inc-092a).
func TestShortCallsDetectUnresponsiveNode(t *testing.T) {
	is := is.New(t)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	dial := &h1.ExchangeError{Err: fmt.Errorf("dial: %w", context.Canceled)}
	r := remoteRefusal(ended, dial, true)
	is.Equal(r.Reason, model.CallerGone)
	is.Equal(r.RunState, model.NotRun)
	is.True(r.NodeUnresponsive)
	is.True(!remoteRefusal(ended, dial, false).NodeUnresponsive) // no time to connect
	is.True(!remoteRefusal(t.Context(), &h1.ExchangeError{Err: syscall.ECONNREFUSED}, true).NodeUnresponsive)
	is.True(!remoteRefusal(ended, &h1.ExchangeError{Sent: true, Err: errors.New("reset")}, true).NodeUnresponsive)
}

// Guards the limit of a new connection: the shortest calls have to keep time
// for another node, and long calls must not be refused a connection over a slow
// link.
func TestDialTimeoutLeavesTimeForAnotherNode(t *testing.T) {
	is := is.New(t)
	is.Equal(dialTimeout(200*time.Millisecond), 80*time.Millisecond)
	is.Equal(dialTimeout(time.Second), 400*time.Millisecond)
	is.Equal(dialTimeout(8*time.Second), maxPeerDial)
	is.Equal(dialTimeout(0), minPeerDial)
}
