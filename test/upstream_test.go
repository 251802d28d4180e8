package test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/lentilflow/lentilflow/pkg/standin/upstream"
)

// upstreamVariable holds the configuration of an upstream process.
const upstreamVariable = "LENTILFLOW_TEST_UPSTREAM"

// Paths below those of the rules that the upstreams treat differently.
const (
	slowPath  = readPath + "/slow"
	crashPath = readPath + "/crash"
)

const orderWork = 30 * time.Millisecond

// crashExitCode is the status of an upstream process that a request crashed.
const crashExitCode = 3

// upstreamConfig is what an upstream process runs with.
type upstreamConfig struct {
	Name, Listen, Node, Ledger string
	Slots, Connections         int
}

// runUpstream runs until the process is killed or crashes.
func runUpstream(config string) error {
	var c upstreamConfig
	if err := json.Unmarshal([]byte(config), &c); err != nil {
		return err
	}
	out, err := os.OpenFile(c.Ledger, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	u := upstream.New(upstream.Config{
		Name: c.Name, Slots: c.Slots, Connections: c.Connections, NodeURL: c.Node, LedgerOut: out,
		Behaviour: upstream.Behaviour{
			ServiceTime: map[string]time.Duration{slowPath: longWork, orderPath: orderWork},
			CrashPath:   crashPath,
		},
		OnCrash: func() { os.Exit(crashExitCode) },
	})
	if err := u.Start(c.Listen); err != nil {
		return err
	}
	select {}
}

// startUpstream starts the upstream beside n.
func (c *cluster) startUpstream(n *node) {
	c.t.Helper()
	config, err := json.Marshal(upstreamConfig{
		Name: n.id, Listen: n.address(upstreamPort), Node: "http://" + n.address(callsPort), Ledger: c.ledgerFile(n),
		Slots: c.d.Slots, Connections: c.d.Connections,
	})
	program, missing := os.Executable()
	if err := errors.Join(err, missing); err != nil {
		c.t.Fatal(err)
	}
	n.upstream = c.launch(n.id+"-upstream", program, []string{upstreamVariable + "=" + string(config), "GOMAXPROCS=2"})
}

func (c *cluster) ledgerFile(n *node) string { return filepath.Join(c.dir, n.id+".ledger") }

// ledger returns the runs of the upstream beside n, also of one that has
// crashed.
func (c *cluster) ledger(n *node) []upstream.Run {
	c.t.Helper()
	f, err := os.Open(c.ledgerFile(n))
	if err != nil {
		c.t.Fatal(err)
	}
	defer f.Close()
	return upstream.ReadLedger(f)
}

// ledgers returns the runs of all upstreams by key.
func (c *cluster) ledgers() map[string][]upstream.Run {
	c.t.Helper()
	runs := make(map[string][]upstream.Run)
	for _, n := range c.nodes {
		for _, r := range c.ledger(n) {
			runs[r.Key] = append(runs[r.Key], r)
		}
	}
	return runs
}

func read() request { return request{method: http.MethodGet, path: readPath} }

func slowRead() request { return request{method: http.MethodGet, path: slowPath} }

func order(key string) request {
	return request{
		method: http.MethodPost, path: orderPath, body: "order " + key,
		header: http.Header{"Idempotency-Key": {key}},
	}
}

// crashingRead is the same request for every n, as a caller that sends it
// again would have it.
func crashingRead() request { return request{method: http.MethodGet, path: crashPath} }

// crashed returns the nodes whose upstream has been ended by a request.
func (c *cluster) crashed() []*node {
	return c.of(func(n *node) bool { return n.upstream.endsWithin(pollInterval) })
}

// TestMain runs the upstream stand-in instead of the tests if the environment
// asks for it: the tests start this binary again as their upstreams.
func TestMain(m *testing.M) {
	if config := os.Getenv(upstreamVariable); config != "" {
		if err := runUpstream(config); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}
