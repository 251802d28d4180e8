package platform

import (
	"net"
	"net/http"
	"sync"
)

// Server runs a Service on a TCP address that it can give up and take again.
type Server struct {
	*Service

	address string
	mu      sync.Mutex
	running *http.Server
}

// NewServer returns a server of s that listens on address, for example
// "127.0.0.1:0".
func NewServer(address string, s *Service) (*Server, error) {
	server := &Server{Service: s, address: address}
	return server, server.Start()
}

// Start listens again after Stop, on the same address.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running != nil {
		return nil
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	s.running = &http.Server{Handler: s.Service}
	go func(running *http.Server) { _ = running.Serve(listener) }(s.running)
	return nil
}

// Stop closes the listener and all connections: new ones are refused and
// answers in flight are lost. The state stays.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running != nil {
		_ = s.running.Close()
		s.running = nil
	}
}

// URL returns the base URL for clients.
func (s *Server) URL() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return "http://" + s.address
}
