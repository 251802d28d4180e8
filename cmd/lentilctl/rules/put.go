package rules

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/cmd/lentilctl/cli"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/operator"
	"github.com/lentilflow/lentilflow/pkg/rules"
)

// Wait limits how long a command waits for the rules file that it has put to
// come into force on the nodes.
type Wait struct {
	Wait time.Duration `help:"Longest time to wait until the file is in force on all nodes; 0s does not wait." default:"20s"`
}

// Validate returns an error if the duration is negative.
func (w *Wait) Validate() error {
	if w.Wait < 0 {
		return merry.Errorf("--wait: %s is not accepted (accepted: 0s or a longer duration, such as 20s)", w.Wait)
	}
	return nil
}

// pollInterval is the pause between two requests for the status while waiting.
const pollInterval = 200 * time.Millisecond

// Put replaces the deployment's rules file by a local file.
type Put struct {
	Wait
	File    string `arg:"" help:"Rules file."`
	IfMatch string `help:"Tag of the file that this one replaces, as printed by \"rules get\"; \"none\" for the first file. The put fails if someone else has changed the file since." required:"" placeholder:"TAG"`
}

// Run checks the file, puts it and waits until it is in force. It also returns an
// error if the file was put but, after c.Wait.Wait, is not in force on every node
// that responds.
func (c *Put) Run(env *cli.Env) error {
	tag, err := operator.ParseTag(c.IfMatch)
	if err != nil {
		return merry.Prepend(err, "--if-match")
	}
	text, err := readFile(c.File)
	if err != nil {
		return err
	}
	version, err := put(env, c.File, string(text), tag)
	if err != nil {
		return err
	}
	return c.waitAndPrint(env, version)
}

// put puts a rules file in force and returns its version. It prints faults of the
// file to standard error.
func put(env *cli.Env, file, text string, tag operator.Tag) (model.Version, error) {
	ctx, cancel := env.RequestContext()
	defer cancel()
	warnOfMissingTeams(ctx, env, text)
	version, faults, err := env.Commands().Put(ctx, file, text, tag)
	if len(faults) > 0 {
		writeFaults(env.Stderr, faults)
		return 0, faultsError(file, faults)
	}
	return version, err
}

// warnOfMissingTeams prints a warning to standard error if a rules file has no team and
// the configuration in force has some, which the file removes with their keys.
func warnOfMissingTeams(ctx context.Context, env *cli.Env, text string) {
	f, _ := rules.Parse("", []byte(text))
	if f == nil || len(f.Teams) > 0 {
		return
	}
	if teams, err := env.Queries().Teams(ctx); err == nil && len(teams.Teams) > 0 {
		env.Infof("warning: the file has no team, and version %d has %d; calls will need no key", teams.Version, len(teams.Teams))
	}
}

// putOutcome is the result of a put or an edit. The numbers of nodes are 0 if the
// command did not wait.
type putOutcome struct {
	Version model.Version `json:"version"`
	Nodes   int           `json:"nodes,omitempty"`
	InForce int           `json:"in_force,omitempty"`
}

// waitAndPrint waits until a version is in force on every node that responds, and
// prints the outcome.
func (w Wait) waitAndPrint(env *cli.Env, version model.Version) error {
	outcome := putOutcome{Version: version}
	if w.Wait > 0 {
		ctx, cancel := context.WithTimeout(env.Context, w.Wait)
		defer cancel()
		if err := awaitInForce(ctx, env, &outcome); err != nil {
			return err
		}
	}
	return env.Print(outcome, func(out io.Writer) {
		if w.Wait == 0 {
			fmt.Fprintf(out, "version %d accepted\n", version)
			return
		}
		fmt.Fprintf(out, "version %d in force on %d of %d nodes\n", version, outcome.InForce, outcome.Nodes)
	})
}

// awaitInForce requests the status until outcome.Version is in force on every
// node that responds. It stores the numbers of nodes in outcome, and returns an
// error if ctx ends first.
func awaitInForce(ctx context.Context, env *cli.Env, outcome *putOutcome) error {
	for {
		s, err := env.Queries().Status(ctx)
		if err == nil {
			outcome.Nodes, outcome.InForce = len(s.Nodes), countInForce(&s, outcome.Version)
			if outcome.InForce+s.Unresponsive == len(s.Nodes) {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			if err != nil && outcome.Nodes == 0 {
				return merry.Prependf(err, "version %d is accepted, but the state of the nodes cannot be read", outcome.Version)
			}
			return merry.Errorf("version %d is accepted, but in force on %d of %d nodes only; see lentilctl status",
				outcome.Version, outcome.InForce, outcome.Nodes)
		case <-time.After(pollInterval):
		}
	}
}

// countInForce returns the number of nodes that have version v or a later one.
func countInForce(s *operator.Status, v model.Version) int {
	n := 0
	for _, node := range s.Nodes {
		if node.State != nil && node.State.Version >= v {
			n++
		}
	}
	return n
}
