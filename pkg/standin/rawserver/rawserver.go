// Package rawserver is a stand-in for a server that responds to every request with the same
// bytes, whether they are a response or not.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// Server responds to requests on a port of loopback. Its methods may be called concurrently.
type Server struct {
	// Connections and Requests are the numbers of connections that the server has accepted
	// and of requests that it has read.
	Connections, Requests atomic.Int64

	listener net.Listener
	response string
	closes   bool
}

// Start starts a server that responds with response. If closes is set, it closes the
// connection afterwards, otherwise it waits for the next request. The caller must call
// Close.
func Start(response string, closes bool) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l, response: response, closes: closes}
	go s.accept()
	return s, nil
}

// Address returns the address of the server as host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends the acceptance of connections. Open connections end when the client closes them.
func (s *Server) Close() { _ = s.listener.Close() }

func (s *Server) accept() {
	for {
		nc, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.Connections.Add(1)
		go s.serve(nc)
	}
}

func (s *Server) serve(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		s.Requests.Add(1)
		if _, err := io.WriteString(nc, s.response); err != nil || s.closes {
			return
		}
	}
}
