// Package status implements the command "lentilctl status".
package status

import (
	"fmt"
	"io"
	"time"

	"github.com/lentilflow/lentilflow/cmd/lentilctl/cli"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/operator"
)

// Command shows the state of the deployment.
type Command struct{}

// Run prints the version in force and the state of each node, by region and
// availability zone.
func (c *Command) Run(env *cli.Env) error {
	ctx, cancel := env.RequestContext()
	defer cancel()
	s, err := env.Queries().Status(ctx)
	if err != nil {
		return err
	}
	return env.Print(s, func(w io.Writer) { write(w, &s) })
}

func write(w io.Writer, s *operator.Status) {
	if s.Version == 0 {
		fmt.Fprintf(w, "no version in force; %d nodes\n", len(s.Nodes))
	} else {
		fmt.Fprintf(w, "version %d in force on %d of %d nodes (%d behind, %d without an answer)\n",
			s.Version, s.InForce, len(s.Nodes), s.Behind, s.Unresponsive)
	}
	if s.NewestAtNodes > s.Version {
		fmt.Fprintf(w, "nodes have version %d in force, which the store has lost; put the rules file again\n", s.NewestAtNodes)
	}
	region := model.Region("")
	for _, n := range s.Nodes {
		if n.Member.Location.Region != region {
			region = n.Member.Location.Region
			fmt.Fprintf(w, "\nregion %s\n", region)
			fmt.Fprintln(w, "  ZONE\tNODE\tSERVICE\tVERSION\tFOR\tUPSTREAM\tRUNNING\tWAITING\tREMARK")
		}
		writeNode(w, &n, s.Version)
	}
}

func writeNode(w io.Writer, n *operator.Node, newest model.Version) {
	m := &n.Member
	if n.State == nil {
		fmt.Fprintf(w, "  %s\t%s\t%s\t-\t-\t-\t-\t-\t%s\n", m.Location.AvailabilityZone, m.Node, m.Service, n.Error)
		return
	}
	t := n.State
	fmt.Fprintf(w, "  %s\t%s\t%s\t%d\t%s\t%s\t%d of %d\t%d\t%s\n", m.Location.AvailabilityZone, m.Node, m.Service, t.Version,
		age(t.VersionAgeMillis), UpstreamState(t), t.Running, t.Limit, t.Waiting, remark(t, newest))
}

// UpstreamState returns the state of the upstream of a node as a word: unknown if
// the node knows no boot of it, draining, gone if it is not serving, or ready.
func UpstreamState(t *model.NodeState) string {
	switch {
	case t.Boot == "":
		return "unknown"
	case t.Draining:
		return "draining"
	case !t.Serving:
		return "gone"
	}
	return "ready"
}

// RateLimit returns the rate limit that the upstream of a node states, "-" if it
// states none.
func RateLimit(t *model.NodeState) string {
	if t.RateLimit == nil {
		return "-"
	}
	return fmt.Sprintf("%g/s", *t.RateLimit)
}

// remark returns the first problem found in the state of a node, or "" if there
// is none.
func remark(t *model.NodeState, newest model.Version) string {
	switch {
	case !t.StoreAvailable:
		return "store does not answer"
	case t.BehindMillis > 0:
		return fmt.Sprintf("behind for %s, %s has version %d", age(t.BehindMillis), t.NewestKnownFrom, t.NewestKnown)
	case t.Version < newest:
		return "behind"
	case !t.Ready:
		return "not ready"
	case t.Slots > 0 && t.Waiting >= t.Slots:
		return "overloaded"
	case t.RateLimit != nil:
		return "upstream takes " + RateLimit(t)
	}
	return ""
}

func age(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(10 * time.Millisecond).String()
}
