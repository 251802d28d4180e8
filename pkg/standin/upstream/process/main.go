// Command process runs the upstream stand-in as a process of its own, for
// integration tests.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/lentilflow/lentilflow/pkg/standin/upstream"
)

const (
	crashExitCode = 3
	stopTimeout   = 30 * time.Second
)

type flags struct {
	Name        string                   `required:"" help:"Name in the ledger and in answers."`
	Listen      string                   `default:"127.0.0.1:0" help:"Address to listen on; it is printed on the first line."`
	Slots       int                      `default:"15" help:"Runs at a time."`
	Connections int                      `default:"130" help:"Open connections, 0 for no limit."`
	Node        string                   `help:"Base URL of the node beside this upstream."`
	ServiceTime map[string]time.Duration `help:"Duration of runs for each path prefix, as /path=20ms."`
	ColdStart   time.Duration            `help:"Time after the start during which runs take longer."`
	CrashPath   string                   `help:"Path prefix of calls that crash this process."`
	Ledger      string                   `help:"File to which ledger lines are appended."`
}

func main() {
	var f flags
	k := kong.Parse(&f)
	k.FatalIfErrorf(run(f))
}

func run(f flags) error {
	cfg := upstream.Config{
		Name:        f.Name,
		Slots:       f.Slots,
		Connections: f.Connections,
		NodeURL:     f.Node,
		Behaviour:   upstream.Behaviour{ServiceTime: f.ServiceTime, ColdStart: f.ColdStart, CrashPath: f.CrashPath},
		OnCrash:     func() { os.Exit(crashExitCode) },
	}
	if f.Ledger != "" {
		out, err := os.OpenFile(f.Ledger, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		defer out.Close()
		cfg.LedgerOut = out
	}
	u := upstream.New(cfg)
	if err := u.Start(f.Listen); err != nil {
		return err
	}
	fmt.Println(u.Address())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	<-ctx.Done()
	bounded, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return u.Stop(bounded)
}
