package mesh

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/goccy/go-yaml"

	"github.com/lentilflow/lentilflow/pkg/distribution"
	"github.com/lentilflow/lentilflow/pkg/distribution/wire"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/test/bench/internal/report"
)

const healthPath = "/health"

// Node is one node process and the upstream beside it, which answers every
// call at once: slots and service time are left out, so that only the mesh is
// measured.
type Node struct {
	ID                 model.NodeID
	Location           model.Location
	Service            string
	Calls, Peer, Admin string

	upstream *httptest.Server
	taken    atomic.Int64 // calls that the upstream took
	last     atomic.Int64 // Unix nanoseconds of the last one
	binary   string
	settings string // file
	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
}

// ServeHTTP is the upstream.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != healthPath {
		n.taken.Add(1)
		n.last.Store(time.Now().UnixNano())
	}
	_, _ = w.Write([]byte("ok"))
}

// Taken returns the number of calls that the upstream took, and the time of
// the last one.
func (n *Node) Taken() (int64, time.Time) { return n.taken.Load(), time.Unix(0, n.last.Load()) }

// Ports are below the ephemeral range of Linux, so that outgoing connections
// do not take a port between its choice and its use.
const firstPort, ports = 12000, 20000

var nextPort atomic.Int64

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() string {
	for range ports {
		port := firstPort + (int64(os.Getpid())*97+nextPort.Add(1))%ports
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			report.Must(l.Close())
			return l.Addr().String()
		}
	}
	panic("no free port")
}

// writeSettings writes the settings file of the node.
func (n *Node) writeSettings(dir string, regions []model.Region, others map[model.Region]string, store string, seeds []string) {
	text := report.Get(yaml.Marshal(map[string]any{
		"node": n.ID, "regions": regions, "region": n.Location.Region, "availability_zone": n.Location.AvailabilityZone,
		"listeners": map[string]string{"calls": n.Calls, "peer": n.Peer, "admin": n.Admin},
		"advertise": map[string]any{"region_addresses": others},
		"upstream":  map[string]any{"service": n.Service, "address": n.upstream.Listener.Addr().String(), "slots": 15, "connections": 130, "health_path": healthPath},
		"platform":  map[string]string{"tables": store, "objects": store},
		"seeds":     seeds,
		"log":       map[string]string{"level": "warn"},
	}))
	n.settings = filepath.Join(dir, string(n.ID)+".yaml")
	report.Must(os.WriteFile(n.settings, text, 0o600))
}

// Start starts the process. Its log is beside the settings file.
func (n *Node) Start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	log := report.Get(os.OpenFile(n.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600))
	defer log.Close()
	cmd, done := exec.Command(n.binary, "run", "--settings", n.settings), make(chan struct{})
	cmd.Stderr = log
	report.Must(cmd.Start())
	n.cmd, n.done = cmd, done
	go func() {
		_ = cmd.Wait() // the status of a killed process is no error here
		close(done)
	}()
}

// Signal sends a signal to the process and returns a channel that is closed
// when it has ended.
func (n *Node) Signal(s syscall.Signal) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.cmd.Process.Signal(s) // a process that has ended needs none
	return n.done
}

// Alive reports whether the process runs.
func (n *Node) Alive() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return false
	}
	select {
	case <-n.done:
		return false
	default:
		return true
	}
}

var client = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// State asks the node for its state.
func (n *Node) State() (s distribution.State, err error) {
	resp, err := client.Get("http://" + n.Peer + wire.State.Path())
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return s, merry.Errorf("state of %s: %s %w", n.ID, resp.Status, err)
	}
	return s, wire.Unmarshal(body, resp.Header.Get("Content-Encoding") == wire.Encoding, &s)
}
