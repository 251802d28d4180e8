package proxy

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// dialTimeout bounds a connection attempt; a new connection takes about
	// 1 ms in a zone and 25 ms between regions.
	dialTimeout = 500 * time.Millisecond
	// peerIdle and upstreamIdle close idle connections before the other side
	// does, because a request written to a closing connection is a possible
	// run. Common servers keep idle connections for 5 s or longer.
	peerIdle     = 60 * time.Second
	upstreamIdle = 4 * time.Second
	// idlePerHost covers the calls in flight to one peer or upstream.
	idlePerHost = 64
	// maxAnswerHeader bounds the header of an answer, in bytes.
	maxAnswerHeader = 256 << 10
)

// countingConn counts the bytes that were handed to the connection. They are
// counted before they are written, so a count of 0 proves that nothing left.
type countingConn struct {
	net.Conn
	began atomic.Int64
}

// Write implements io.Writer.
func (c *countingConn) Write(b []byte) (int, error) {
	c.began.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// newTransport returns a Transport for HTTP/1.1 hops over counting
// connections.
func newTransport(idle time.Duration) *http.Transport {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: c}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idle,
		MaxResponseHeaderBytes: maxAnswerHeader,
		ReadBufferSize:         16 << 10,
		WriteBufferSize:        16 << 10,
	}
}
