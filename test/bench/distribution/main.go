// Command distribution measures how fast and at which cost versions reach all
// nodes, and prints one line for each figure.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"

	"github.com/lentilflow/lentilflow/test/bench/internal/mesh"
	"github.com/lentilflow/lentilflow/test/bench/internal/report"
)

type flags struct {
	Binary  string `default:"bin/lentilflow" help:"Node binary."`
	Sizes   []int  `default:"18,60,180" help:"Numbers of nodes, one process each."`
	Rules   int    `default:"1000" help:"Rules in the file."`
	Changes int    `default:"8" help:"Changes of one rule whose time is measured."`
}

func main() {
	var f flags
	kong.Parse(&f)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	figures := &report.Figures{Out: os.Stdout}
	if err := run(ctx, &f, figures); err != nil {
		fmt.Fprintln(os.Stderr, err)
		stop()
		os.Exit(1)
	}
	fmt.Printf("# %d figures miss their target\n", len(figures.Missed()))
}

func run(ctx context.Context, f *flags, figures *report.Figures) error {
	var all []sized
	for _, size := range f.Sizes {
		s, err := measureSize(ctx, f, size, figures)
		if err != nil {
			return fmt.Errorf("%d nodes: %w", size, err)
		}
		all = append(all, s)
	}
	slopes(all, figures)
	return nil
}

// deployment starts the three regions of Bertolucci with one process a node.
func deployment(ctx context.Context, f *flags, size int) (*mesh.Mesh, error) {
	return mesh.Start(ctx, mesh.Config{Binary: f.Binary, Zones: mesh.Zones(), Nodes: size, Rules: mesh.Rules(f.Rules, 0)})
}
