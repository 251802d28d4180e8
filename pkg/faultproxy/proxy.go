package faultproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// chunkSize limits the bytes that are read at once. It is also the burst of
	// the bandwidth limit, in bytes.
	chunkSize = 16 << 10
	// chunksInFlight limits the chunks that one connection buffers in one
	// direction. The resulting 4 MiB permit 4 Gbit/s at a latency of 8 ms.
	chunksInFlight = 256
	// dialTimeout bounds the time for connecting to the target.
	dialTimeout = 5 * time.Second
)

// Config configures a proxy.
type Config struct {
	Listen string // address to listen on, as host:port; the default is "127.0.0.1:0"
	Target string // address to connect to, as host:port
	// Forward is the direction to the target and Backward the one from it. The
	// default of each is a new direction without faults.
	Forward, Backward *Direction
}

// Proxy forwards TCP connections to one target. Its methods may be called
// concurrently.
type Proxy struct {
	// Forward is the direction to the target and Backward the one from it.
	Forward, Backward *Direction

	target     string
	listener   net.Listener
	goroutines sync.WaitGroup

	mu          sync.Mutex
	refuse      bool
	closed      bool
	connections map[*connection]struct{}
}

type connection struct {
	client, server *net.TCPConn
	cancel         context.CancelFunc
}

// New starts a proxy. It fails if the proxy cannot listen on its address. The target
// is dialled for each connection; if that fails, the connection is reset. The caller
// must close the proxy.
func New(cfg Config) (*Proxy, error) {
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	if cfg.Forward == nil {
		cfg.Forward = NewDirection()
	}
	if cfg.Backward == nil {
		cfg.Backward = NewDirection()
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		Forward:     cfg.Forward,
		Backward:    cfg.Backward,
		target:      cfg.Target,
		listener:    listener,
		connections: map[*connection]struct{}{},
	}
	p.goroutines.Go(p.accept)
	return p, nil
}

// Addr returns the address that the proxy listens on, as host:port.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Cut resets the open connections and resets each new one right after its
// handshake, until it is called with false.
func (p *Proxy) Cut(on bool) {
	p.mu.Lock()
	p.refuse = on
	p.mu.Unlock()
	if on {
		p.Reset()
	}
}

// Reset resets the open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		c.reset()
	}
}

// Close stops the proxy, resets the open connections, and waits for the
// goroutines of the proxy to end.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.Reset()
	p.goroutines.Wait()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.goroutines.Go(func() { p.serve(client.(*net.TCPConn)) })
	}
}

func (p *Proxy) serve(client *net.TCPConn) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &connection{client: client, cancel: cancel}
	orderly := false
	defer func() { c.close(orderly) }()
	if !p.add(c) {
		return
	}
	defer p.remove(c)
	p.waitHandshake(ctx)
	if _, err := p.Forward.waitOpen(ctx); err != nil {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	server, err := dialer.DialContext(ctx, "tcp", p.target)
	if err != nil {
		return
	}
	p.mu.Lock()
	c.server = server.(*net.TCPConn)
	p.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	var forwardOrderly, backwardOrderly bool
	var directions sync.WaitGroup
	directions.Go(func() { forwardOrderly = c.copyStream(ctx, p.Forward, client, c.server) })
	directions.Go(func() { backwardOrderly = c.copyStream(ctx, p.Backward, c.server, client) })
	directions.Wait()
	orderly = forwardOrderly && backwardOrderly
}

// waitHandshake waits for the round trip that it takes to open a connection.
func (p *Proxy) waitHandshake(ctx context.Context) {
	forward, _ := p.Forward.conditions()
	backward, _ := p.Backward.conditions()
	wait(ctx, forward.Latency+backward.Latency)
}

func (p *Proxy) add(c *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refuse || p.closed {
		return false
	}
	p.connections[c] = struct{}{}
	return true
}

func (p *Proxy) remove(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, c)
}

// close closes both sides. After an orderly end of both streams, the kernel still
// delivers the bytes that it has buffered; otherwise the connection is reset.
func (c *connection) close(orderly bool) {
	if !orderly {
		c.reset()
		return
	}
	c.cancel()
	_ = c.client.Close()
	_ = c.server.Close()
}

// reset closes both sides. With SO_LINGER set to 0, the kernel sends RST and drops
// the bytes that it has not sent.
func (c *connection) reset() {
	c.cancel()
	for _, side := range []*net.TCPConn{c.client, c.server} {
		if side != nil {
			_ = side.SetLinger(0)
			_ = side.Close()
		}
	}
}

type chunk struct {
	data []byte
	due  time.Time // earliest delivery
}

// copyStream copies bytes from one side to the other, and reports whether the
// stream had an orderly end. The reader stamps each chunk with the time at which
// it is due, so that latency does not limit throughput.
func (c *connection) copyStream(ctx context.Context, d *Direction, from, to *net.TCPConn) bool {
	ctx, cancel := context.WithCancel(ctx)
	chunks := make(chan chunk, chunksInFlight)
	var readErr error
	var reader sync.WaitGroup
	reader.Go(func() {
		defer close(chunks)
		readErr = readChunks(ctx, d, from, chunks)
	})
	defer reader.Wait()
	defer cancel()
	if !writeChunks(ctx, d, to, chunks) || !errors.Is(readErr, io.EOF) {
		c.reset()
		return false
	}
	_ = to.CloseWrite() // passes the orderly end on
	return true
}

// readChunks reads until an error, which is io.EOF at an orderly end of the
// stream.
func readChunks(ctx context.Context, d *Direction, from *net.TCPConn, chunks chan<- chunk) error {
	for {
		buffer := make([]byte, chunkSize)
		n, err := from.Read(buffer)
		if n > 0 {
			if err := d.waitBandwidth(ctx, n); err != nil {
				return err
			}
			c, _ := d.conditions()
			select {
			case chunks <- chunk{data: buffer[:n], due: time.Now().Add(c.Latency)}:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if err != nil {
			return err
		}
	}
}

// writeChunks writes each chunk when it is due, and reports whether all were
// written.
func writeChunks(ctx context.Context, d *Direction, to *net.TCPConn, chunks <-chan chunk) bool {
	var written int64
	for next := range chunks {
		wait(ctx, time.Until(next.due))
		c, err := d.waitOpen(ctx)
		if err != nil {
			return false
		}
		data, cut := next.data, false
		if remaining := c.CutAfter - written; c.CutAfter > 0 && int64(len(data)) >= remaining {
			data, cut = data[:max(0, remaining)], true
		}
		n, err := to.Write(data)
		written += int64(n)
		d.addDelivered(n)
		if err != nil || cut {
			return false
		}
	}
	return ctx.Err() == nil
}

// wait waits for d or until ctx is done.
func wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
