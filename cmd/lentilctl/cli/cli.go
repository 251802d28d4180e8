package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/operator"
	"github.com/lentilflow/lentilflow/platform"
)

// Globals are the flags that every command accepts.
type Globals struct {
	Store   string        `help:"Address of the platform's store, as host:port; ${default} if not stated." env:"LENTILCTL_STORE" default:"127.0.0.1:7390" placeholder:"ADDRESS"`
	Output  string        `help:"Form of the output: ${enum}." enum:"text,json" default:"text" short:"o"`
	Timeout time.Duration `help:"Longest time for one request." default:"10s"`
}

// Validate returns an error if Store is not of the form host:port, or if Timeout
// is not above 0, with which every request would fail. kong calls it before the
// command runs, and so before any request.
func (g *Globals) Validate() error {
	if g.Timeout <= 0 {
		return merry.Errorf("--timeout: %s is not accepted (accepted: duration above 0s, such as 10s)", g.Timeout)
	}
	host, port, err := net.SplitHostPort(g.Store)
	if err == nil && host != "" {
		_, err = strconv.ParseUint(port, 10, 16)
	}
	if err != nil || host == "" || strings.ContainsAny(host, "/ ") {
		return merry.Errorf("--store: address %q is not accepted (accepted: host:port, such as 127.0.0.1:7390)", g.Store)
	}
	return nil
}

// Env is the environment in which a command runs. Print and Infof write without
// locking, so they must not be called concurrently.
type Env struct {
	Globals
	Context context.Context // ends when the command has to stop
	Stdin   io.Reader
	Stdout  io.Writer
	Stderr  io.Writer
	Getenv  func(string) string
}

// Commands returns the operations that change the deployment.
func (e *Env) Commands() *operator.Commands {
	return &operator.Commands{Store: e.rulesStore(), Client: operator.NewNodeClient()}
}

// Queries returns the operations that read the state of the deployment.
func (e *Env) Queries() *operator.Queries {
	return &operator.Queries{Store: e.rulesStore(), Client: operator.NewNodeClient()}
}

// RolloutCommands returns the operations that start rollouts.
func (e *Env) RolloutCommands() *operator.RolloutCommands {
	return &operator.RolloutCommands{Store: e.rolloutStore(), Rules: e.rulesStore(), Client: operator.NewNodeClient()}
}

// RolloutQueries returns the operations that read rollouts.
func (e *Env) RolloutQueries() *operator.RolloutQueries {
	return &operator.RolloutQueries{Store: e.rolloutStore(), Rules: e.rulesStore(), Client: operator.NewNodeClient()}
}

func (e *Env) rolloutStore() *platform.RolloutStore {
	return &platform.RolloutStore{Store: platform.NewStore(e.Store, prometheus.NewRegistry(), zap.NewNop()), Log: zap.NewNop()}
}

func (e *Env) rulesStore() *platform.RulesStore {
	return &platform.RulesStore{Store: platform.NewStore(e.Store, prometheus.NewRegistry(), zap.NewNop())}
}

// RequestContext returns a context that ends after Timeout, or earlier with
// Context. The caller must call the CancelFunc.
func (e *Env) RequestContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(e.Context, e.Timeout)
}

// Print writes the result of a command to standard output. With Output "json"
// it writes v as indented JSON; otherwise it calls text with a writer that
// aligns tab-separated columns.
func (e *Env) Print(v any, text func(w io.Writer)) error {
	if e.Output == "json" {
		enc := json.NewEncoder(e.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(e.Stdout, 0, 0, 2, ' ', 0)
	text(w)
	return w.Flush()
}

// Infof writes one formatted line to standard error, so that standard output
// holds only the result of the command.
func (e *Env) Infof(format string, args ...any) {
	fmt.Fprintf(e.Stderr, format+"\n", args...)
}
