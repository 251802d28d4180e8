// Package run implements the command "lentilflow run".
package run

import (
	"context"
	"os"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/agent"
	"github.com/lentilflow/lentilflow/pkg/logging"
	"github.com/lentilflow/lentilflow/pkg/settings"
	"github.com/lentilflow/lentilflow/platform"
)

// Command runs a node.
type Command struct {
	Settings string `help:"Settings file (docs/settings.md)." required:"" env:"LENTILFLOW_BOOT" placeholder:"FILE"`
}

// Run runs the node until a signal to stop arrives, then stops it gracefully. It
// returns an error if the settings are not accepted or the node fails.
func (c *Command) Run(signals *agent.Signals) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	level, err := zap.ParseAtomicLevel(s.Log.Level)
	if err != nil {
		return err
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	out := logging.NewWriter(os.Stdout)
	defer out.Close()
	log := logging.New(out, level, registry).With(zap.String("node", s.Name))
	a := agent.New(agent.Config{
		Settings: s, Path: c.Settings, Level: level, Log: log, Metrics: registry,
		Platform: platform.New(s, registry, log), Signals: signals,
	})
	return a.Run(context.Background())
}
