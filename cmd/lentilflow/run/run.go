// Package run is the command "lentilflow run".
package run

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/lentilflow/lentilflow/pkg/node"
	"github.com/lentilflow/lentilflow/pkg/settings"
)

// Command runs a node.
type Command struct {
	Settings string `help:"Settings file (docs/settings.md)." required:"" placeholder:"FILE"`
}

// Run returns when ctx has ended and the node has stopped gracefully, or when
// the node has failed.
func (c *Command) Run(ctx context.Context) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	log, err := node.NewLog(s)
	if err != nil {
		return err
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	n, err := node.New(node.Config{Settings: s, Log: log, Registry: registry})
	if err != nil {
		return err
	}
	return n.Run(ctx)
}
