// Package explain is the command "lentilctl explain".
package explain

import (
	"fmt"
	"io"
	"strings"

	"github.com/lentilflow/lentilflow/cmd/lentilctl/cli"
	"github.com/lentilflow/lentilflow/pkg/admin"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// Command explains how a call would be decided.
type Command struct {
	Method string `arg:"" help:"Method of the call, for example GET."`
	URL    string `arg:"" help:"URL of the call, for example http://api.bertolucci.example/status/42."`
}

// Run prints the rule that decides the call at the chosen node.
func (c *Command) Run(env *cli.Env) error {
	ctx, cancel := env.Request()
	defer cancel()
	x, err := env.Client().Explain(ctx, c.Method, c.URL)
	if err != nil {
		return err
	}
	return env.Print(x, func(w io.Writer) { write(w, &x) })
}

func write(w io.Writer, x *admin.Explanation) {
	r := &x.Rule
	fmt.Fprintf(w, "version\t%d, in force in node %s\n", x.Version, x.Node)
	fmt.Fprintf(w, "rule\t%s, line %d\n", r.Name, r.Line)
	fmt.Fprintf(w, "asked by\t%s\n", askedBy(r))
	fmt.Fprintf(w, "match\tmethod %s, host %s, path %s\n", methods(r.Match.Methods), r.Match.Host, r.Match.Path)
	fmt.Fprintf(w, "rank\t%d, floor %d%%, worth %d\n", r.Rank, r.Floor, r.Worth)
	fmt.Fprintf(w, "deadline\t%s\n", r.Deadline)
	if r.Target > 0 {
		fmt.Fprintf(w, "target\t%s\n", r.Target)
	}
	fmt.Fprintf(w, "idempotent\t%s, retries %d\n", yesNo(r.Idempotent), r.Retries)
	fmt.Fprintf(w, "service\t%s\n", r.Service)
	fmt.Fprintf(w, "goes to\t%s\n", list(x.Nearest))
	fmt.Fprintf(w, "otherwise\t%s\n", list(x.Others))
	for _, p := range x.Passed {
		fmt.Fprintf(w, "passed over\t%s, line %d: %s\n", p.Rule.Name, p.Rule.Line, p.Reason)
	}
}

func askedBy(r *model.Rule) string {
	if r.Reason == "" {
		return r.AskedBy
	}
	return r.AskedBy + ": " + r.Reason
}

// yesNo writes a value as the rules file does.
func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func methods(m []string) string {
	if len(m) == 0 {
		return "*"
	}
	return strings.Join(m, ",")
}

func list(candidates []admin.Candidate) string {
	if len(candidates) == 0 {
		return "no upstream"
	}
	names := make([]string, len(candidates))
	for i, c := range candidates {
		names[i] = fmt.Sprintf("%s (%s, %s)", c.Node, c.Location.AvailabilityZone, c.State)
	}
	return strings.Join(names, ", ")
}
