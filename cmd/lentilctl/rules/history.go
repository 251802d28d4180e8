package rules

import (
	"fmt"
	"io"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/cmd/lentilctl/cli"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/rules"
)

var errLast = merry.New("--last: 0 is not accepted (accepted: whole number, at least 1)")

// History lists accepted versions.
type History struct {
	Last uint `help:"Number of versions to list." default:"20"`
}

// Run prints the newest accepted versions, the newest last.
func (c *History) Run(env *cli.Env) error {
	versions, err := newestVersions(env, c.Last)
	if err != nil {
		return err
	}
	infos := make([]model.VersionInfo, len(versions))
	for i, v := range versions {
		infos[i] = v.VersionInfo
	}
	return env.Print(infos, func(w io.Writer) {
		fmt.Fprintln(w, "VERSION\tACCEPTED\tDIGEST")
		for _, v := range infos {
			fmt.Fprintf(w, "%d\t%s\t%.12s\n", v.Number, v.AcceptedAt.UTC().Format(time.RFC3339), v.Digest)
		}
	})
}

// newestVersions returns the last n accepted versions, the oldest first. It
// returns an error if n is 0.
func newestVersions(env *cli.Env, n uint) ([]model.VersionedText, error) {
	if n == 0 {
		return nil, errLast
	}
	ctx, cancel := env.RequestContext()
	defer cancel()
	return env.Queries().History(ctx, n)
}

// Blame shows the origin of each line of the newest version.
type Blame struct {
	Last uint `help:"Number of versions to look through; lines that are older are shown with the oldest of them." default:"100"`
}

// Run prints each line of the newest version with the person who asked for it
// and the version that introduced it. A line older than the versions that Last
// selects is shown with the oldest of them.
func (c *Blame) Run(env *cli.Env) error {
	versions, err := newestVersions(env, c.Last)
	if err != nil {
		return err
	}
	texts := make([]rules.VersionText, len(versions))
	for i, v := range versions {
		texts[i] = rules.VersionText{Number: v.Number, AcceptedAt: v.AcceptedAt, Text: []byte(v.Text)}
	}
	lines := rules.Blame(texts)
	return env.Print(lines, func(w io.Writer) {
		fmt.Fprintln(w, "VERSION\tACCEPTED\tASKED BY\tLINE\tTEXT")
		for _, l := range lines {
			fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%s\n", l.Number, l.AcceptedAt.UTC().Format(time.RFC3339), l.AskedBy, l.Line, l.Text)
		}
	})
}
