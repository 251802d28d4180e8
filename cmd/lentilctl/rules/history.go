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

// pageSize is the number of versions read with one request.
const pageSize = 100

var errLast = merry.New("--last: 0 is not accepted (accepted: whole number, at least 1)")

// History lists accepted versions.
type History struct {
	Last uint `help:"Number of versions to list." default:"20"`
}

// Run prints the newest versions, the newest last.
func (c *History) Run(env *cli.Env) error {
	if c.Last == 0 {
		return errLast
	}
	versions, err := newest(env, c.Last)
	if err != nil {
		return err
	}
	return env.Print(versions, func(w io.Writer) {
		fmt.Fprintln(w, "VERSION\tACCEPTED\tPUBLISHER\tDIGEST\tETAG")
		for _, v := range versions {
			fmt.Fprintf(w, "%d\t%s\t%s\t%.12s\t%s\n", v.Number, v.AcceptedAt.UTC().Format(time.RFC3339), v.Publisher, v.Digest, v.ETag)
		}
	})
}

// newest returns the last n accepted versions in order.
func newest(env *cli.Env, n uint) ([]model.VersionInfo, error) {
	ctx, cancel := env.Request()
	s, err := env.Client().Status(ctx)
	cancel()
	if err != nil {
		return nil, err
	}
	after := model.Version(0)
	if s.Highest > model.Version(n) {
		after = s.Highest - model.Version(n)
	}
	all := []model.VersionInfo{}
	for {
		ctx, cancel := env.Request()
		page, err := env.Client().Versions(ctx, after, pageSize)
		cancel()
		if err != nil {
			return nil, err
		}
		all = append(all, page.Items...)
		if page.Next == "" || len(page.Items) == 0 {
			return all, nil
		}
		after = page.Items[len(page.Items)-1].Number
	}
}

// Blame traces the lines of the newest version.
type Blame struct {
	Last uint `help:"Number of versions to look through; lines that are older are shown with the oldest of them." default:"100"`
}

// Run prints each line of the newest version with its origin.
func (c *Blame) Run(env *cli.Env) error {
	if c.Last == 0 {
		return errLast
	}
	versions, err := newest(env, c.Last)
	if err != nil {
		return err
	}
	revisions := make([]rules.Revision, len(versions))
	for i, v := range versions {
		ctx, cancel := env.Request()
		full, err := env.Client().Version(ctx, v.Number)
		cancel()
		if err != nil {
			return err
		}
		revisions[i] = rules.Revision{Number: v.Number, AcceptedAt: v.AcceptedAt, Text: []byte(full.Text)}
	}
	lines := rules.Blame(revisions)
	return env.Print(lines, func(w io.Writer) {
		fmt.Fprintln(w, "VERSION\tACCEPTED\tASKED BY\tLINE\tTEXT")
		for _, l := range lines {
			fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%s\n", l.Number, l.AcceptedAt.UTC().Format(time.RFC3339), l.AskedBy, l.Line, l.Text)
		}
	})
}
