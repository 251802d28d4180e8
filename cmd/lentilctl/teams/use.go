package teams

import (
	"fmt"
	"io"
	"strings"

	"github.com/lentilflow/lentilflow/cmd/lentilctl/cli"
	"github.com/lentilflow/lentilflow/pkg/operator"
)

// maxHolders is the number of holders that are printed for a team.
const maxHolders = 4

// Use lists the use of the limits of teams.
type Use struct{}

// Run prints every team with a limit, with its use, its refusals and where its share is.
func (c *Use) Run(env *cli.Env) error {
	ctx, cancel := env.RequestContext()
	defer cancel()
	uses, err := env.Queries().TeamUses(ctx)
	if err != nil {
		return err
	}
	return env.Print(uses, func(w io.Writer) { writeUses(w, &uses) })
}

func writeUses(w io.Writer, uses *operator.TeamUses) {
	if len(uses.Teams) == 0 {
		fmt.Fprintf(w, "version %d has no teams with a limit\n", uses.Version)
		return
	}
	fmt.Fprintln(w, "TEAM\tLIMIT\tBURST\tSERVED/S\tEXCEEDED/S\tUNAVAILABLE/S\tHELD\tHOLDERS")
	for i := range uses.Teams {
		u := &uses.Teams[i]
		fmt.Fprintf(w, "%s\t%g/s\t%g\t%.1f\t%.1f\t%.1f\t%.0f%%\t%s\n", u.Team, u.Rate, u.Burst, u.Granted, u.Exceeded, u.Unavailable, 100*u.Held, holders(u.Holders))
	}
	if uses.Unresponsive > 0 {
		fmt.Fprintf(w, "%d nodes did not respond; what they served and hold is missing\n", uses.Unresponsive)
	}
}

// holders returns the nodes that hold the largest parts of a share.
func holders(all []operator.ShareHolder) string {
	var texts []string
	for _, h := range all[:min(len(all), maxHolders)] {
		texts = append(texts, fmt.Sprintf("%s %.0f%%", h.Node, 100*h.Share))
	}
	if more := len(all) - len(texts); more > 0 {
		texts = append(texts, fmt.Sprintf("%d more", more))
	}
	return orDash(strings.Join(texts, ", "))
}
