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

// Guards against a node that is gone and is tried for ever: calls with less
// time than the bound of a connection leave before it, and must show the
// silence all the same (incident inc-092a).
func TestSilenceIsNoticedByShortCalls(t *testing.T) {
	is := is.New(t)
	left, cancel := context.WithCancel(t.Context())
	cancel()
	dial := &h1.Failure{Err: fmt.Errorf("dial: %w", context.Canceled)}
	r := remoteFailure(left, dial, 90*time.Millisecond)
	is.Equal(r.Reason, model.CallerGone)
	is.Equal(r.Run, model.NotRun)
	is.True(r.Silent)
	is.True(!remoteFailure(left, dial, 10*time.Millisecond).Silent) // no time to connect
	is.True(!remoteFailure(t.Context(), &h1.Failure{Err: syscall.ECONNREFUSED}, time.Second).Silent)
	is.True(!remoteFailure(left, &h1.Failure{Sent: true, Err: errors.New("reset")}, time.Second).Silent)
}
