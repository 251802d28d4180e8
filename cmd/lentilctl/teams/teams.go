// Package teams implements the command "lentilctl teams" and its subcommands.
package teams

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"unicode"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/cmd/lentilctl/cli"
	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/operator"
)

// Command groups the subcommands for teams.
type Command struct {
	List   List   `cmd:"" default:"withargs" help:"List the teams of the version in force."`
	Use    Use    `cmd:"" help:"List the teams with a limit, with their use, their refusals and the nodes that hold their share."`
	Digest Digest `cmd:"" help:"Read a key from standard input and print its digest, for the field key of a team in the rules file."`
}

// List lists the teams.
type List struct {
	Long bool `help:"Print all digits of the digests."`
}

// Run prints every team of the version in force, with its rank, its limits and the
// digests of its keys.
func (c *List) Run(env *cli.Env) error {
	ctx, cancel := env.RequestContext()
	defer cancel()
	teams, err := env.Queries().Teams(ctx)
	if err != nil {
		return err
	}
	return env.Print(teams, func(w io.Writer) { c.write(w, &teams) })
}

func (c *List) write(w io.Writer, teams *operator.Teams) {
	if len(teams.Teams) == 0 {
		fmt.Fprintf(w, "version %d has no teams; calls need no key\n", teams.Version)
		return
	}
	fmt.Fprintln(w, "TEAM\tRANK\tRATE\tBURST\tKEYS\tASKED BY")
	for i := range teams.Teams {
		t := &teams.Teams[i]
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", t.Name, rank(t), rate(t), burst(t), c.digests(t.Keys), orDash(t.AskedBy))
	}
}

// rank returns the rank of a team, "-" if it has that of the route.
func rank(t *config.Team) string {
	if t.Rank == nil {
		return "-"
	}
	return fmt.Sprint(*t.Rank)
}

// rate returns the limit of a team, "-" if it has none.
func rate(t *config.Team) string {
	if t.Rate == 0 {
		return "-"
	}
	return fmt.Sprintf("%g/s", t.Rate)
}

func burst(t *config.Team) string {
	if t.Burst == 0 {
		return "-"
	}
	return fmt.Sprintf("%g", t.Burst)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// digests returns the digests of keys, separated by commas.
func (c *List) digests(keys []config.KeyDigest) string {
	texts := make([]string, len(keys))
	for i, d := range keys {
		texts[i] = d.String()
		if c.Long {
			texts[i] = d.Hex()
		}
	}
	return orDash(strings.Join(texts, ","))
}

// Digest prints the digest of a key.
type Digest struct{}

// maxKeyBytes bounds what is read of a key. Longer ones do not fit into the head of a
// request.
const maxKeyBytes = 16 << 10

type digestResult struct {
	Digest string `json:"digest"`
}

// Run reads one line from standard input and prints its digest in the form of the
// rules file. The errors do not contain the key.
func (c *Digest) Run(env *cli.Env) error {
	line, err := bufio.NewReader(io.LimitReader(env.Stdin, maxKeyBytes)).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return merry.Prepend(err, "read the key")
	}
	key := strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")
	if key == "" || strings.ContainsFunc(key, func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) }) {
		return merry.New("the key is empty, or has a space or a control character (accepted: one line with the key)")
	}
	result := digestResult{Digest: "sha256:" + config.DigestOfKey(key).Hex()}
	return env.Print(result, func(w io.Writer) { fmt.Fprintln(w, result.Digest) })
}
