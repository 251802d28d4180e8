package h1

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// disconnectPollInterval is the time between two checks whether the client of a request
// whose body is not read completely is still there.
const disconnectPollInterval = 100 * time.Millisecond

// watchDisconnect returns when x has ended, and closes the connection if its client leaves
// before. It is for a request whose body is read by its handler: the handler may wait for
// something else, and nobody else reads the connection.
func (c *conn) watchDisconnect(x *Exchange) {
	defer x.rest.release()
	t := time.NewTicker(disconnectPollInterval)
	defer t.Stop()
	for {
		select {
		case <-x.done:
			return
		case <-t.C:
		}
		if c.ctx.Err() != nil {
			<-x.done
			return
		}
		if x.rest.readAhead(x.done) != nil || peerClosed(c.nc) {
			c.closeNow()
		}
	}
}

// peerClosed reports whether the other side has closed or reset a connection, also if
// bytes are still to be read before that.
func peerClosed(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		closed = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err == nil && closed
}

// closeAborted closes the connection of a request that was not sent completely. The
// server gets a reset: a regular close would wait behind the bytes that it does not read.
func closeAborted(nc net.Conn) {
	if t, ok := nc.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = nc.Close()
}
