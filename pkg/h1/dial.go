package h1

import (
	"context"
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const tcpUserTimeoutOption = 0x12

// Liveness bounds how long a silent connection stays undetected.
type Liveness struct {
	// Dial bounds the opening of a connection.
	DialTimeout time.Duration
	// Probe is the idle time before a keep-alive probe and between two.
	ProbeInterval time.Duration
	// Unacknowledged is how long sent bytes or probes may stay without an
	// acknowledgement before the connection is closed (TCP_USER_TIMEOUT).
	UserTimeout time.Duration
}

// Dialer returns a function that opens connections with the liveness bounds
// of l.
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

// DialNetwork returns the same as Dialer in the form that net/http asks for.
// The network is always TCP.
func (l Liveness) DialNetwork() func(ctx context.Context, network, address string) (net.Conn, error) {
	dial := l.Dialer()
	return func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) }
}

// keepAliveProbes is how many probes may stay without an acknowledgement.
const keepAliveProbes = 2
