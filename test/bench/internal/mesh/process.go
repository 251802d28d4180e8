package mesh

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/goccy/go-yaml"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// Node is one node process and the upstream beside it.
type Node struct {
	ID       model.NodeID
	Location model.Location
	Service  string
	Calls    string
	Peer     string
	Admin    string
	Upstream *Upstream

	settings string // file
	binary   string
	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
}

// firstPort is below the ephemeral range of Linux, so that outgoing
// connections do not take a port between its choice and its use.
const firstPort, lastPort = 12000, 32000

var ports struct {
	sync.Mutex
	next int
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() (string, error) {
	ports.Lock()
	defer ports.Unlock()
	if ports.next == 0 {
		ports.next = firstPort + os.Getpid()*97%15000
	}
	for range lastPort - firstPort {
		if ports.next++; ports.next >= lastPort {
			ports.next = firstPort
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(ports.next))
		l, err := net.Listen("tcp", address)
		if err == nil {
			return address, l.Close()
		}
	}
	return "", merry.New("no free port")
}

// writeSettings writes the settings file of the node.
func (n *Node) writeSettings(dir string, regions []model.Region, region map[model.Region]string, store string, seeds []string) error {
	text, err := yaml.Marshal(map[string]any{
		"node": n.ID, "regions": regions, "region": n.Location.Region, "availability_zone": n.Location.AvailabilityZone,
		"listeners": map[string]string{"calls": n.Calls, "peer": n.Peer, "admin": n.Admin},
		"advertise": map[string]any{"region_addresses": region},
		"upstream":  map[string]any{"service": n.Service, "address": n.Upstream.addr, "slots": 15, "connections": 130, "health_path": healthPath},
		"platform":  map[string]string{"tables": store, "objects": store},
		"seeds":     seeds,
		"log":       map[string]string{"level": "warn"},
	})
	if err != nil {
		return err
	}
	n.settings = filepath.Join(dir, string(n.ID)+".yaml")
	return os.WriteFile(n.settings, text, 0o600)
}

// Start starts the process.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	log, err := os.OpenFile(n.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(n.binary, "run", "--settings", n.settings)
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd, n.done = cmd, make(chan struct{})
	go func(done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(n.done)
	return nil
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
	select {
	case <-n.done:
		return false
	default:
		return n.cmd != nil
	}
}

// Restart stops the process gracefully and starts it again.
func (n *Node) Restart() error {
	<-n.Signal(syscall.SIGTERM)
	return n.Start()
}

// Reading is what a node has used since its start, and its memory.
type Reading struct {
	At       time.Time
	Running  float64 // seconds of processor time
	Resident float64 // bytes
	Metrics  Metrics
}

// Read reads the processor time, memory and metrics of the node. The metrics
// are read outside the interval between two readings of processor time when
// first is false, because answering them costs the node some.
func (n *Node) Read(first bool) (Reading, error) {
	var r Reading
	if first {
		if err := n.readMetrics(&r); err != nil {
			return r, err
		}
	}
	if err := n.readProcess(&r); err != nil {
		return r, err
	}
	if first {
		return r, nil
	}
	return r, n.readMetrics(&r)
}

func (n *Node) readMetrics(r *Reading) (err error) {
	r.Metrics, err = scrape("http://" + n.Admin + "/metrics")
	r.At = time.Now()
	return err
}

// readProcess sums the run time of all threads, which the kernel keeps in
// nanoseconds; the figures for the whole process have a grain of 10 ms.
func (n *Node) readProcess(r *Reading) error {
	n.mu.Lock()
	pid := n.cmd.Process.Pid
	n.mu.Unlock()
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(threads) == 0 {
		return merry.Errorf("process %d of node %s cannot be read", pid, n.ID)
	}
	for _, name := range threads {
		text, err := os.ReadFile(name)
		if err != nil {
			continue // the thread has ended
		}
		ns, _ := strconv.ParseFloat(strings.Fields(string(text))[0], 64)
		r.Running += ns / 1e9
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return err
	}
	pages, err := strconv.ParseFloat(strings.Fields(string(text))[1], 64)
	r.Resident = pages * float64(os.Getpagesize())
	return err
}

var client = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
