package teams

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/operator"
)

// Guards against an operator who cannot see the use of a limit, the refusals, or that a
// part of a share is held by no node.
func TestUseShowsRefusalsAndHolders(t *testing.T) {
	is := is.New(t)
	var text strings.Builder
	holder := operator.ShareHolder{Node: "n", Share: 0.15}
	writeUses(&text, &operator.TeamUses{Unresponsive: 2, Teams: []operator.TeamUse{{
		Team: "bozi", Rate: 567, Burst: 60, Granted: 560.04, Exceeded: 12, Unavailable: 0.5, Held: 0.75,
		Holders: []operator.ShareHolder{holder, holder, holder, holder, holder},
	}}})
	lines := strings.Split(text.String(), "\n")
	is.Equal(lines[1], "bozi\t567/s\t60\t560.0\t12.0\t0.5\t75%\tn 15%, n 15%, n 15%, n 15%, 1 more")
	is.Equal(lines[2], "2 nodes did not respond; what they served and hold is missing")

	text.Reset()
	writeUses(&text, &operator.TeamUses{Version: 7})
	is.Equal(text.String(), "version 7 has no teams with a limit\n")
}
