package main

import (
	"fmt"

	"github.com/alecthomas/kong"

	"github.com/lentilflow/lentilflow/cmd/lentilctl/cli"
	"github.com/lentilflow/lentilflow/cmd/lentilctl/dev"
	"github.com/lentilflow/lentilflow/cmd/lentilctl/explain"
	"github.com/lentilflow/lentilflow/cmd/lentilctl/rollouts"
	"github.com/lentilflow/lentilflow/cmd/lentilctl/rules"
	"github.com/lentilflow/lentilflow/cmd/lentilctl/status"
	"github.com/lentilflow/lentilflow/cmd/lentilctl/teams"
	"github.com/lentilflow/lentilflow/cmd/lentilctl/upstreams"
)

const description = `Operates a lentilflow deployment through the platform's store.

Only the rules file and rollouts change routing: "rules edit" and "rules put" replace the file, "rollouts start" moves
the traffic of a service to another software version, and all other commands only read. The exit status is 0 if the
command succeeded completely.`

type commands struct {
	cli.Globals

	Dev       dev.Command       `cmd:"" help:"Run a whole deployment on loopback in this process, to try things out."`
	Rules     rules.Command     `cmd:"" help:"Check, compare, replace and trace the rules file."`
	Status    status.Command    `cmd:"" help:"Show which version is in force where, by region, availability zone and node."`
	Upstreams upstreams.Command `cmd:"" help:"List the upstreams with their nodes and load."`
	Rollouts  rollouts.Command  `cmd:"" help:"Show and start rollouts of software versions."`
	Teams     teams.Command     `cmd:"" aliases:"tenants" help:"List the teams with their limits and the digests of their keys, or print the digest of a key."`
	Explain   explain.Command   `cmd:"" help:"Show which rule decides a call, who asked for it, and where the call would go."`
}

// exitStatus carries the exit status that kong requests, for example after --help,
// in a panic up to execute.
type exitStatus int

// execute runs the command in args and returns the exit status: 0 after success,
// 1 after an error, which it prints to standard error, or the one that kong
// requests.
func execute(args []string, env *cli.Env) (code int) {
	defer func() {
		if r := recover(); r != nil {
			status, ok := r.(exitStatus)
			if !ok {
				panic(r)
			}
			code = int(status)
		}
	}()
	var c commands
	parser, err := kong.New(&c,
		kong.Name("lentilctl"),
		kong.Description(description),
		kong.Writers(env.Stdout, env.Stderr),
		kong.Exit(func(status int) { panic(exitStatus(status)) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 100}),
	)
	if err != nil {
		fmt.Fprintf(env.Stderr, "lentilctl: error: %s\n", err)
		return 1
	}
	command, err := parser.Parse(args)
	if err == nil {
		env.Globals = c.Globals
		err = command.Run(env)
	}
	if err != nil {
		fmt.Fprintf(env.Stderr, "lentilctl: error: %s\n", err)
		return 1
	}
	return 0
}
