// Package status is the command "lentilctl status".
package status

import (
	"fmt"
	"io"
	"time"

	"github.com/lentilflow/lentilflow/cmd/lentilctl/cli"
	"github.com/lentilflow/lentilflow/pkg/admin"
)

// Command shows the state of the deployment.
type Command struct{}

// Run prints the status that the chosen node gathers from all nodes.
func (c *Command) Run(env *cli.Env) error {
	ctx, cancel := env.Request()
	defer cancel()
	s, err := env.Client().Status(ctx)
	if err != nil {
		return err
	}
	return env.Print(s, func(w io.Writer) { write(w, &s) })
}

func write(w io.Writer, s *admin.Status) {
	fmt.Fprintln(w, summary(s))
	fmt.Fprintf(w, "publisher %s\n", orNone(string(s.Publisher)))
	fmt.Fprintf(w, "store %s\n", store(s.Store))
	if s.Rejected != nil {
		fmt.Fprintf(w, "last refused rules file: ETag %s at %s\n", s.Rejected.ETag, s.Rejected.At.UTC().Format(time.RFC3339))
		for _, f := range s.Rejected.Faults {
			fmt.Fprintf(w, "  %s\n", f)
		}
	}
	for _, r := range s.Regions {
		fmt.Fprintf(w, "\nregion %s, as of %s ago\n", r.Region, age(r.AsOfAgeMS))
		fmt.Fprintln(w, "  ZONE\tNODE\tSERVICE\tSTATE\tVERSION\tAS OF\tPARENT\tREMARK")
		for _, z := range r.Zones {
			for _, n := range z.Nodes {
				version, asOf := "-", "-"
				if n.Answered {
					version, asOf = fmt.Sprint(n.Version), age(n.AsOfAgeMS)
				}
				fmt.Fprintf(w, "  %s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", z.AvailabilityZone, n.Node, n.Service, n.State,
					version, asOf, orNone(string(n.Parent)), n.Why)
			}
		}
	}
}

func summary(s *admin.Status) string {
	if s.Highest == 0 {
		return fmt.Sprintf("no version in force on any of %d nodes (%d without an answer)", s.Summary.Nodes, s.Summary.Unreachable)
	}
	return fmt.Sprintf("version %d in force on %d of %d nodes (%d behind, %d without an answer)",
		s.Highest, s.Summary.InForce, s.Summary.Nodes, s.Summary.Behind, s.Summary.Unreachable)
}

func store(s admin.Store) string {
	if s.Reachable {
		return "reachable"
	}
	text := "unreachable"
	if s.Since != nil {
		text += " since " + s.Since.Format(time.RFC3339)
	}
	return text + ": " + s.Error
}

func age(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(10 * time.Millisecond).String()
}

func orNone(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
