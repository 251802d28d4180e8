package h1

import (
	"context"
	"net"
	"syscall"
	"time"
)

// tcpUserTimeoutOption is TCP_USER_TIMEOUT of Linux, which package syscall does
// not define.
const tcpUserTimeoutOption = 0x12

// Liveness holds the timeouts that detect a peer that no longer responds at the
// TCP level.
type Liveness struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// ProbeInterval is the idle time before the first keep-alive probe, and the
	// time between two probes.
	ProbeInterval time.Duration
	// UserTimeout is how long sent bytes or probes may remain unacknowledged
	// before the kernel closes the connection (TCP_USER_TIMEOUT). The resolution
	// is one millisecond.
	UserTimeout time.Duration
}

// Dialer returns a function that opens TCP connections with the timeouts of l.
// The function is safe for concurrent use.
func (l Liveness) Dialer() func(ctx context.Context, address string) (net.Conn, error) {
	d := &net.Dialer{
		Timeout: l.DialTimeout,
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optErr error
			err := raw.Control(func(fd uintptr) {
				optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(l.UserTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optErr
		},
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: l.ProbeInterval, Interval: l.ProbeInterval, Count: keepAliveProbes},
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address)
	}
}

// keepAliveProbes is how many keep-alive probes may remain unacknowledged.
const keepAliveProbes = 2
