package test

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// spy is a member of the fleet that records every byte that nodes send to it: attempts,
// messages and datagrams. It refuses attempts as not run.
type spy struct {
	mu       sync.Mutex
	received bytes.Buffer
	attempts int
}

// startSpy adds a spy to the fleet as a node of a service.
func (c *cluster) startSpy(t *testing.T, zone, service string) *spy {
	t.Helper()
	s := &spy{}
	region, zoneName, _ := strings.Cut(zone, "/")
	m := fleet.Member{
		Node: "spy", Service: service, CallAddress: freeAddress(t), MessageAddress: freeAddress(t),
		Location: model.Location{Region: model.Region(region), AvailabilityZone: model.AvailabilityZone(zoneName)},
	}
	s.serve(t, m.CallAddress, http.HandlerFunc(s.refuse))
	s.serve(t, m.MessageAddress, http.NotFoundHandler())
	s.readDatagrams(t, m.MessageAddress)
	row, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	c.store.Put(nodesTable, string(m.Node), row)
	return s
}

func (s *spy) serve(t *testing.T, address string, handler http.Handler) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(spiedListener{l, s}) }()
	t.Cleanup(func() { _ = server.Close() })
}

func (s *spy) readDatagrams(t *testing.T, address string) {
	t.Helper()
	pc, err := net.ListenPacket("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = pc.Close() })
	go func() {
		buf := make([]byte, 64<<10)
		for {
			n, _, err := pc.ReadFrom(buf)
			if err != nil {
				return
			}
			s.record(buf[:n])
		}
	}()
}

// refuse refuses an attempt as a node does whose upstream is overloaded.
func (s *spy) refuse(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.attempts++
	s.mu.Unlock()
	w.Header().Set("Lentilflow-Attempt", r.Header.Get("Lentilflow-Attempt"))
	w.Header().Set("Lentilflow-Refusal", "overloaded not_run 0 1 0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *spy) record(b []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received.Write(b)
}

// contents returns what arrived, and the number of attempts in it.
func (s *spy) contents() (string, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received.String(), s.attempts
}

type spiedListener struct {
	net.Listener
	spy *spy
}

// Accept implements net.Listener.
func (l spiedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return spiedConn{nc, l.spy}, nil
}

type spiedConn struct {
	net.Conn
	spy *spy
}

// Read implements net.Conn.
func (c spiedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.spy.record(b[:n])
	return n, err
}
