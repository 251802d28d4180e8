// Command capacity measures what each role of a node uses at several sizes and
// writes docs/CAPACITY.md and its plots.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/alecthomas/kong"
)

type flags struct {
	Binary string `default:"bin/lentilflow" help:"Node binary."`
	Page   string `default:"docs/CAPACITY.md" help:"Page to write."`
	Plots  string `default:"docs/capacity" help:"Folder of the plots."`
	Sizes  []int  `default:"18,60,180" help:"Numbers of live nodes, one process each."`
	Only   string `help:"Run only the named part (roster, publisher, proxy, fleet) and write nothing."`
}

// part measures one group of roles and adds its lines to the page.
type part struct {
	name string
	run  func(context.Context, *flags, *page) error
}

func main() {
	var f flags
	kong.Parse(&f)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, &f); err != nil {
		fmt.Fprintln(os.Stderr, err)
		stop()
		os.Exit(1)
	}
}

func run(ctx context.Context, f *flags) error {
	p := &page{}
	for _, one := range []part{{"proxy", proxyRole}, {"publisher", publisherRole}, {"roster", rosterRoles}, {"fleet", fleetRoles}} {
		if f.Only != "" && f.Only != one.name {
			continue
		}
		at := time.Now()
		if err := one.run(ctx, f, p); err != nil {
			return fmt.Errorf("%s: %w", one.name, err)
		}
		fmt.Printf("%s measured in %.0f s\n", one.name, time.Since(at).Seconds())
	}
	p.print(os.Stdout)
	if f.Only != "" {
		return nil
	}
	return p.write(f)
}
