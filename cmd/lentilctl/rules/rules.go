// Package rules implements the command "lentilctl rules" and its subcommands.
package rules

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/cmd/lentilctl/cli"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/rules"
)

// Command groups the subcommands for the rules file.
type Command struct {
	Check   Check   `cmd:"" help:"Check a local rules file without a deployment."`
	Diff    Diff    `cmd:"" help:"Show which statements of a local file differ from the deployment's rules file."`
	Get     Get     `cmd:"" help:"Print the deployment's rules file, with its tag on standard error, or an accepted version."`
	Put     Put     `cmd:"" help:"Replace the deployment's rules file by a local file."`
	Edit    Edit    `cmd:"" help:"Edit the deployment's rules file with $EDITOR and replace it."`
	History History `cmd:"" help:"List accepted versions, the newest last."`
	Blame   Blame   `cmd:"" help:"Show for each line which version brought it and who asked for it."`
}

// Check checks a local file.
type Check struct {
	File string `arg:"" help:"Rules file (docs/rules.md)."`
}

type checkResult struct {
	File   string        `json:"file"`
	Faults []rules.Fault `json:"faults"`
}

// Run prints the faults of the file and returns an error if there are any.
func (c *Check) Run(env *cli.Env) error {
	text, err := readFile(c.File)
	if err != nil {
		return err
	}
	_, faults := rules.Parse(c.File, text)
	result := checkResult{File: c.File, Faults: faults}
	if faults == nil {
		result.Faults = []rules.Fault{}
	}
	if err := env.Print(result, func(w io.Writer) { writeFaults(w, faults) }); err != nil {
		return err
	}
	return faultsError(c.File, faults)
}

func writeFaults(w io.Writer, faults []rules.Fault) {
	for _, f := range faults {
		fmt.Fprintln(w, f)
	}
	if len(faults) == 0 {
		fmt.Fprintln(w, "no faults")
	}
}

// faultsError returns an error with the number of faults, or nil if there are
// none.
func faultsError(file string, faults []rules.Fault) error {
	switch len(faults) {
	case 0:
		return nil
	case 1:
		return merry.Errorf("%s fails the check with 1 fault", file)
	default:
		return merry.Errorf("%s fails the check with %d faults", file, len(faults))
	}
}

// Diff compares a local file with the deployment's rules file.
type Diff struct {
	File string `arg:"" help:"Rules file to compare."`
}

// Run prints the statements that differ. It returns an error if either file has
// faults.
func (c *Diff) Run(env *cli.Env) error {
	text, err := readFile(c.File)
	if err != nil {
		return err
	}
	after, faults := rules.Parse(c.File, text)
	if len(faults) > 0 {
		writeFaults(env.Stderr, faults)
		return faultsError(c.File, faults)
	}
	ctx, cancel := env.RequestContext()
	defer cancel()
	current, err := env.Queries().Rules(ctx)
	if err != nil {
		return err
	}
	before, faults := rules.Parse("rules", []byte(current.Text))
	if len(faults) > 0 {
		writeFaults(env.Stderr, faults)
		return faultsError("the deployment's rules file", faults)
	}
	return printChanges(env, rules.Diff(before, after))
}

func printChanges(env *cli.Env, changes []rules.Change) error {
	if changes == nil {
		changes = []rules.Change{}
	}
	return env.Print(changes, func(w io.Writer) {
		for _, c := range changes {
			fmt.Fprintln(w, c)
		}
		if len(changes) == 0 {
			fmt.Fprintln(w, "no statement differs")
		}
	})
}

// Get prints the deployment's rules file or an accepted version of it.
type Get struct {
	Version uint64 `help:"Print this accepted version instead of the current file." placeholder:"N"`
}

// Run prints the text unchanged, with the tag of the current file on standard
// error; or text and tag as JSON.
func (c *Get) Run(env *cli.Env) error {
	ctx, cancel := env.RequestContext()
	defer cancel()
	if c.Version > 0 {
		return c.printVersion(ctx, env)
	}
	f, err := env.Queries().Rules(ctx)
	if err != nil {
		return err
	}
	if env.Output == "json" {
		return env.Print(f, nil)
	}
	env.Infof("tag %s, version %d", f.Tag, f.Version)
	_, err = io.WriteString(env.Stdout, f.Text)
	return err
}

func (c *Get) printVersion(ctx context.Context, env *cli.Env) error {
	v, err := env.Queries().Version(ctx, model.Version(c.Version))
	if err != nil {
		return err
	}
	if env.Output == "json" {
		return env.Print(v, nil)
	}
	_, err = io.WriteString(env.Stdout, v.Text)
	return err
}

// readFile reads a local rules file. Of a file above rules.MaxSize it reads only
// one byte more than this size, which is enough for rules.Parse to reject it.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, merry.Prepend(err, "rules file")
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, rules.MaxSize+1))
	if err != nil {
		return nil, merry.Prepend(err, "rules file")
	}
	return text, nil
}
