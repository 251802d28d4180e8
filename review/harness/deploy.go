package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small deployments, as PROTOCOL.md, SYSTEM.md and the site files state them.
const (
	stableWindow  = 3 * time.Second
	configApply   = 2 * time.Second
	gracePeriod   = 6 * time.Second
	restartDelay  = 500 * time.Millisecond
	retryRatio    = 0.2
	retryExtra    = 60
	linkMbps      = 1000
	leadTime      = 8 * time.Second // traffic starts this long after the machines do
	readyDeadline = 20 * time.Second
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, out: bufio.NewWriter(f), start: time.Now()}, err
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

func (r *record) line(format string, args ...any) {
	r.lineAt(time.Now(), format, args...)
}

func (r *record) lineAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// machine is one machine: a node of the system as a process of its own, and a backend.
type machine struct {
	name, service, zone, region                                    string
	outbound, inbound, internal, control, ready, app, settingsFile string

	d       *deployment
	backend *backend

	mu       sync.Mutex
	process  *exec.Cmd
	ended    chan struct{}
	expected bool        // the end of the process is the platform's doing
	touched  []time.Time // SIGTERMs, kills, ends and starts of the process
}

type deployment struct {
	dir, root string
	program   string // as in the deploy file, relative to the root of the repository
	store     *store
	record    *record
	ledger    *ledger
	machines  []*machine
	ctx       context.Context
	cancel    context.CancelFunc

	mu      sync.Mutex
	answers []answer // of all requests, in the order in which they ended
}

// writeRequests writes a line for each request into the record: when and where it was sent,
// what the client got, and which backends ran it.
func (d *deployment) writeRequests() {
	runs := make(map[string][]string)
	for _, r := range d.ledger.all() {
		runs[r.ID] = append(runs[r.ID], fmt.Sprintf("%s at %.3f", r.Backend, r.At.Sub(d.record.start).Seconds()))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record.line("all requests, with what the client got and which backends ran them:")
	for i := range d.answers {
		a := &d.answers[i]
		ran := "not run"
		if list := runs[a.ID]; len(list) > 0 {
			ran = "run by " + strings.Join(list, " and ")
		}
		d.record.lineAt(a.Sent, "%s %s to %s: %s after %.3f s; %s", a.ID, a.Path, a.Machine.name, a.text(), a.At.Sub(a.Sent).Seconds(), ran)
	}
}

type place struct{ zone, region string }

// Ports of a machine, the same on all machines; each machine has a loopback address of
// its own, as machines have in the deployments.
const (
	outboundPort = 8629
	inboundPort  = 8624
	internalPort = 7600
	controlPort  = 8620
	readyPort    = 8625
	appPort      = 8628
)

// freeAddress returns a loopback address on which all ports of a machine are free.
func freeAddress() (string, error) {
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 16+rand.N(200), rand.N(256), 2+rand.N(250))
		free := true
		for _, port := range []int{outboundPort, inboundPort, internalPort, controlPort, readyPort, appPort} {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, fmt.Sprint(port)))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return ip, nil
		}
	}
	return "", fmt.Errorf("no free loopback address")
}

func newDeployment(root string, rec *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "lentilflow-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, root: root, program: "target/lentilflow", record: rec, ledger: &ledger{}}
	if _, err := os.Stat(filepath.Join(root, d.program)); err != nil {
		return nil, err
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.store, err = startStore()
	return d, err
}

func (d *deployment) addMachine(service string, at place, number int, work time.Duration) error {
	ip, err := freeAddress()
	if err != nil {
		return err
	}
	port := func(n int) string { return net.JoinHostPort(ip, fmt.Sprint(n)) }
	name := fmt.Sprintf("sidecar-%s-%d", at.zone, number)
	m := &machine{
		name: name, service: service, zone: at.zone, region: at.region, d: d,
		outbound: port(outboundPort), inbound: port(inboundPort), internal: port(internalPort),
		control: port(controlPort), ready: port(readyPort), app: port(appPort),
		settingsFile: filepath.Join(d.dir, name+".yaml"),
	}
	m.backend = &backend{machine: name, service: service, zone: at.zone, addr: m.app, control: m.control, work: work, ledger: d.ledger, record: d.record}
	d.machines = append(d.machines, m)
	return nil
}

// writeSettings writes the settings in the form of platform/settings.yaml, the template
// of the deploy file.
func (m *machine) writeSettings(firstStart bool) error {
	first := "no"
	if firstStart {
		first = "yes"
	}
	text := fmt.Sprintf(`node: %q
region: %q
availability_zone: %q
first_start: %q
listeners:
  calls: %q
  peers: %q
  messages: %q
  reports: %q
  readiness: %q
upstream:
  service: %q
  address: %q
store:
  address: %q
  apply: %q
network:
  bandwidth: %d
retries:
  ratio: %v
  extra: %d
drain:
  finish: %q
`, m.name, m.region, m.zone, first, m.outbound, m.inbound, m.internal, m.control, m.ready, m.service, m.app, m.d.store.addr,
		configApply.String(), linkMbps, retryRatio, retryExtra, gracePeriod.String())
	return os.WriteFile(m.settingsFile, []byte(text), 0o644)
}

func (m *machine) start(firstStart bool) error {
	if err := m.writeSettings(firstStart); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.d.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(m.d.root, m.d.program), "run") // the deploy file: target/lentilflow run
	cmd.Dir = m.d.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.d.dir, "LENTILFLOW_BOOT=" + m.settingsFile}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.process, m.ended, m.expected = cmd, ended, false
	m.touched = append(m.touched, time.Now())
	m.mu.Unlock()
	go func() {
		err := cmd.Wait()
		m.mu.Lock()
		expected := m.expected
		m.touched = append(m.touched, time.Now())
		m.mu.Unlock()
		if !expected {
			m.d.record.line("process  of %s ended by itself: %v", m.name, err)
		}
		close(ended)
	}()
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		m.expected = true
		m.touched = append(m.touched, time.Now())
	}
	if m.process != nil && m.process.Process != nil {
		_ = m.process.Process.Signal(s)
	}
}

// restart stops the process as the platform does, and starts it again.
func (m *machine) restart() error {
	m.d.record.line("platform sends SIGTERM to %s", m.name)
	m.signal(syscall.SIGTERM)
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(gracePeriod):
		m.d.record.line("platform sends SIGKILL to %s", m.name)
		m.signal(syscall.SIGKILL)
		<-ended
	}
	time.Sleep(restartDelay)
	err := m.start(false)
	m.d.record.line("platform starts %s again", m.name)
	return err
}

// wasInTouch reports whether the process of m had run undisturbed for the stable window
// before a moment: without a SIGTERM, a kill or a start.
func (m *machine) wasInTouch(at time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.touched {
		if d := at.Sub(t); d >= 0 && d < stableWindow {
			return false
		}
	}
	return true
}

func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts all machines and returns when traffic may start.
func (d *deployment) startAll() error {
	began := time.Now()
	for _, m := range d.machines {
		if err := m.backend.start(); err != nil {
			return err
		}
		if err := m.start(true); err != nil {
			return err
		}
	}
	for _, m := range d.machines {
		for !m.isReady() {
			if time.Since(began) > readyDeadline {
				return fmt.Errorf("%s is not ready after %s", m.name, readyDeadline)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(time.Until(began.Add(leadTime)))
	d.record.line("all %d machines are ready; traffic starts", len(d.machines))
	return nil
}

// stopAll ends all processes and stand-ins. With keep the logs of the nodes stay.
func (d *deployment) stopAll() {
	d.cancel()
	for _, m := range d.machines {
		m.backend.stop()
		m.signal(syscall.SIGKILL)
	}
	for _, m := range d.machines {
		m.mu.Lock()
		ended := m.ended
		m.mu.Unlock()
		if ended != nil {
			<-ended
		}
	}
	_ = d.store.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs of the nodes:", d.dir)
	}
}

// route is one path of the operator's configuration.
type route struct {
	Name        string `json:"name"`
	Prefix      string `json:"prefix"`
	Kind        string `json:"kind"`
	Timeout     string `json:"timeout"`
	Target      string `json:"target-latency"`
	Priority    int    `json:"priority"`
	MaxAttempts int    `json:"max-attempts"`
	Service     string `json:"service"`
}

const host = "shop.example"

// putConfiguration writes a configuration as the operator does, and returns the time of
// the store's response, which is the ack.
func (d *deployment) putConfiguration(version uint32, services []string, routes []route) time.Time {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "health-path": "/health", "connection-limit": 120})
	}
	body, err := json.Marshal(map[string]any{
		"version":  fmt.Sprintf("%08x", version),
		"services": list,
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1 << 20, "header-timeout": "5s", "idle-timeout": "15s"},
		"hosts":    []map[string]any{{"host": host, "paths": routes}},
	})
	if err != nil {
		panic(err)
	}
	at := d.store.put("op", "config", body)
	d.record.lineAt(at, "operator version %08x is acknowledged by the store", version)
	return at
}

// answer is what a client got for one request.
type answer struct {
	Sent, At time.Time
	Machine  *machine
	ID, Path string
	Status   int // 0 without an answer
	RanBy    string
	Signed   bool   // it bears a backend's signature
	Reason   string // of an answer that no backend made
	Body     string
	Err      error
}

// client sends requests on kept connections.
type client struct {
	m    *machine
	http http.Client
}

func newClient(m *machine) *client {
	return &client{m: m, http: http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second}}}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one client attempt and returns what came back within the limit.
func (c *client) send(ctx context.Context, method, path string, limit time.Duration) answer {
	return c.sendBody(ctx, method, path, limit, nil)
}

func (c *client) sendBody(ctx context.Context, method, path string, limit time.Duration, body []byte) answer {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	a := answer{Sent: time.Now(), Machine: c.m, ID: newID(), Path: path}
	defer func() {
		c.m.d.mu.Lock()
		defer c.m.d.mu.Unlock()
		c.m.d.answers = append(c.m.d.answers, a)
	}()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.m.outbound+path, bytes.NewReader(body))
	if err != nil {
		a.Err = err
		return a
	}
	req.Host = host
	req.Header.Set("X-Request-Id", a.ID)
	req.Header.Set("X-Deadline-Remaining", fmt.Sprint(limit.Milliseconds()))
	resp, err := c.http.Do(req)
	a.At = time.Now()
	if err != nil {
		a.Err = err
		return a
	}
	defer resp.Body.Close()
	var text [2048]byte
	n, _ := resp.Body.Read(text[:])
	a.Status, a.RanBy, a.Body = resp.StatusCode, resp.Header.Get("X-Ran-By"), string(text[:n])
	a.Signed = resp.Header.Get("X-Server-Signature") != ""
	if !a.Signed {
		a.Reason = strings.TrimSpace(string(text[:n]))
	}
	return a
}

func (a *answer) text() string {
	switch {
	case a.Err != nil:
		return "no answer: " + a.Err.Error()
	case a.RanBy != "":
		return fmt.Sprintf("%d, run by %s", a.Status, a.RanBy)
	}
	return fmt.Sprintf("%d %s", a.Status, a.Reason)
}
