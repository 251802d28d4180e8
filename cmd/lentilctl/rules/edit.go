package rules

import (
	"bytes"
	"os"
	"os/exec"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/cmd/lentilctl/cli"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/operator"
	"github.com/lentilflow/lentilflow/pkg/rules"
)

// Edit opens the deployment's rules file in the operator's editor.
type Edit struct {
	Wait
}

// Run copies the rules file in force to a local draft, runs the editor on it, and
// puts the result if it has changed. If the editor, the check or the put fails,
// the draft remains and the error contains its path.
func (c *Edit) Run(env *cli.Env) error {
	editor := strings.Fields(env.Getenv("EDITOR"))
	if len(editor) == 0 {
		return merry.New("the environment variable EDITOR is not set; nothing was changed")
	}
	ctx, cancel := env.RequestContext()
	defer cancel()
	current, err := env.Queries().Rules(ctx)
	if err != nil {
		return err
	}
	path, err := writeDraft(current.Text)
	if err != nil {
		return err
	}
	if err := runEditor(env, editor, path); err != nil {
		return withDraftPath(err, path)
	}
	text, err := readFile(path)
	if err != nil {
		return withDraftPath(err, path)
	}
	if bytes.Equal(text, []byte(current.Text)) {
		env.Infof("no change")
		return os.Remove(path)
	}
	version, err := c.checkAndPut(env, path, string(text), current)
	if err != nil {
		return withDraftPath(err, path)
	}
	if err := os.Remove(path); err != nil {
		return merry.Prepend(err, "remove the draft")
	}
	return c.waitAndPrint(env, version)
}

// checkAndPut checks the edited text, prints its changes to standard error, and
// puts it if current is still in force.
func (c *Edit) checkAndPut(env *cli.Env, path, text string, current operator.RulesFile) (model.Version, error) {
	after, faults := rules.Parse(path, []byte(text))
	if len(faults) > 0 {
		writeFaults(env.Stderr, faults)
		return 0, faultsError(path, faults)
	}
	if before, faults := rules.Parse("rules", []byte(current.Text)); len(faults) == 0 {
		for _, change := range rules.Diff(before, after) {
			env.Infof("%s", change)
		}
	}
	return put(env, path, text, current.Tag)
}

// withDraftPath adds to err the path of the draft, or that the draft no longer
// exists.
func withDraftPath(err error, path string) error {
	if _, missing := os.Stat(path); missing != nil {
		return merry.Errorf("%w; the draft %s no longer exists, and nothing was changed", err, path)
	}
	return merry.Errorf("%w; your text is kept in %s", err, path)
}

// writeDraft writes text to a new temporary file and returns its path.
func writeDraft(text string) (string, error) {
	f, err := os.CreateTemp("", "lentilflow-*.rules")
	if err != nil {
		return "", merry.Prepend(err, "create a draft")
	}
	if _, err := f.WriteString(text); err != nil {
		f.Close()
		return "", merry.Prepend(err, "write the draft")
	}
	return f.Name(), f.Close()
}

// runEditor runs a command line, split into words, with path as an additional
// last argument.
func runEditor(env *cli.Env, words []string, path string) error {
	editor := exec.CommandContext(env.Context, words[0], append(words[1:], path)...)
	editor.Stdin, editor.Stdout, editor.Stderr = env.Stdin, env.Stdout, env.Stderr
	if err := editor.Run(); err != nil {
		return merry.Prependf(err, "editor %s", words[0])
	}
	return nil
}
