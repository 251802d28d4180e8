// Lentilctl is the command line for operators of a deployment. It changes only
// the deployment's rules file.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/lentilflow/lentilflow/cmd/lentilctl/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop) // a second signal ends the process at once
	os.Exit(execute(os.Args[1:], &cli.Env{
		Context: ctx,
		Stdin:   os.Stdin,
		Stdout:  os.Stdout,
		Stderr:  os.Stderr,
		Getenv:  os.Getenv,
	}))
}
