//go:build review2

package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards connections to one address. silence drops everything on the connections
// that are open, for good and without closing them; new ones work.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	links    map[*link]bool
}

type link struct {
	client, server net.Conn
	mu             sync.Mutex
	silent         bool
}

func startProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, links: make(map[*link]bool)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	l := &link{client: client, server: server}
	p.mu.Lock()
	p.links[l] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.copy(server, client) })
	both.Go(func() { l.copy(client, server) })
	both.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

func (l *link) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		l.mu.Lock()
		silent := l.silent
		l.mu.Unlock()
		if n > 0 && !silent {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = io.ErrClosedPipe
			}
		}
		if err == nil {
			continue
		}
		if !silent {
			_ = to.Close()
		}
		_ = from.Close()
		return
	}
}

// silence makes all open connections silent and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.mu.Lock()
		l.silent = true
		l.mu.Unlock()
	}
	return len(p.links)
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		_ = l.client.Close()
		_ = l.server.Close()
	}
}
