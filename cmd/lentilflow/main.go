// Lentilflow is the node of the mesh: one process on the VM of each upstream.
package main

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"

	"github.com/lentilflow/lentilflow/cmd/lentilflow/checksettings"
	"github.com/lentilflow/lentilflow/cmd/lentilflow/run"
	"github.com/lentilflow/lentilflow/pkg/agent"
)

const description = `Runs a node of a lentilflow deployment, on the VM of its upstream.

The settings file states where the node runs; the rules file that operators edit determines how calls are routed.
SIGTERM and SIGINT stop the node gracefully; further ones do not shorten the stop. SIGHUP reloads the settings file.
The exit status is 0 only if the command succeeded.`

type commands struct {
	Run           run.Command           `cmd:"" help:"Run the node until SIGTERM."`
	CheckSettings checksettings.Command `cmd:"" help:"Check a settings file without starting the node."`
	Version       versionCommand        `cmd:"" help:"Print the version of the program."`
}

type versionCommand struct{}

// Run prints the module version and the revision that the program was built
// from.
func (versionCommand) Run(out io.Writer) error {
	version, revision := "(devel)", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	_, err := fmt.Fprintf(out, "lentilflow %s, revision %s\n", version, revision)
	return err
}

func main() {
	signals := agent.ReceiveSignals() // before anything that takes time
	var c commands
	command := kong.Parse(&c,
		kong.Name("lentilflow"),
		kong.Description(description),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 100}),
		kong.Bind(signals),
		kong.BindTo(os.Stdout, (*io.Writer)(nil)),
	)
	if command.Command() != "run" {
		signals.Release()
	}
	command.FatalIfErrorf(command.Run())
}
