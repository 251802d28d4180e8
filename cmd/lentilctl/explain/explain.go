// Package explain implements the command "lentilctl explain".
package explain

import (
	"fmt"
	"io"
	"strings"

	"github.com/lentilflow/lentilflow/cmd/lentilctl/cli"
	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/operator"
)

// Command shows how a call would be routed.
type Command struct {
	Method string `arg:"" help:"Method of the call, for example GET."`
	URL    string `arg:"" help:"URL of the call, for example http://api.bertolucci.example/status/42."`
	Team   string `help:"Team of the call: its name, or the digest of its key or at least the first eight digits of it, as the log shows them. Without it, the call has no key." placeholder:"NAME|DIGEST"`
}

// Run prints the route that the version in force selects for the call, why it is
// selected, the team of the call with its limits, and the nodes of its upstreams.
func (c *Command) Run(env *cli.Env) error {
	ctx, cancel := env.RequestContext()
	defer cancel()
	x, err := env.Queries().Explain(ctx, c.Method, c.URL, c.Team)
	if err != nil {
		return err
	}
	return env.Print(x, func(w io.Writer) { write(w, &x) })
}

func write(w io.Writer, x *operator.Explanation) {
	fmt.Fprintf(w, "version\t%d\n", x.Version)
	if x.Route == nil {
		fmt.Fprintln(w, "route\tnone; the call is answered 404")
		if x.Rules != nil {
			fmt.Fprintf(w, "reason\t%s\n", x.Rules.Message)
		}
		return
	}
	r := x.Route
	fmt.Fprintf(w, "route\t%s\n", r.Name)
	if x.Rules != nil && x.Rules.Winner != nil {
		fmt.Fprintf(w, "line\t%d of the rules file\n", x.Rules.Winner.Line)
		fmt.Fprintf(w, "reason\t%s\n", x.Rules.Winner.Reason)
	}
	if r.AskedBy != "" {
		fmt.Fprintf(w, "asked by\t%s\n", r.AskedBy)
	}
	fmt.Fprintf(w, "match\tmethod %s, host %s, path %s\n", methods(r.Methods), r.Host, r.Prefix)
	if x.Caller == nil {
		fmt.Fprintf(w, "rank\t%d\n", r.Rank)
	} else {
		writeCaller(w, x.Caller)
	}
	fmt.Fprintf(w, "timeout\t%s\n", r.Timeout)
	if r.TargetLatency > 0 {
		fmt.Fprintf(w, "target\t%s\n", r.TargetLatency)
	}
	fmt.Fprintf(w, "idempotent\t%s, at most %d upstreams\n", yesNo(r.Idempotent), r.MaxAttempts)
	fmt.Fprintf(w, "service\t%s\n", services(r.Split))
	fmt.Fprintf(w, "goes to\t%s\n", nodes(x))
	if x.Rules == nil {
		return
	}
	for _, l := range x.Rules.Others {
		fmt.Fprintf(w, "passed over\t%s, line %d: %s\n", l.Rule.Name, l.Rule.Line, l.Reason)
	}
}

// writeCaller writes the team of a call, its rank and its limits.
func writeCaller(w io.Writer, c *operator.Caller) {
	switch t := c.Team; {
	case c.Refused():
		fmt.Fprintln(w, "team\tnone has the key; the call is answered 401")
	case t == nil:
		fmt.Fprintln(w, "team\tnone; the route is public and needs no key")
	case t.AskedBy != "":
		fmt.Fprintf(w, "team\t%s, asked by %s\n", t.Name, t.AskedBy)
	default:
		fmt.Fprintf(w, "team\t%s\n", t.Name)
	}
	if t := c.Team; t != nil && t.Rank != nil {
		fmt.Fprintf(w, "rank\t%d, of the team\n", c.Rank)
	} else {
		fmt.Fprintf(w, "rank\t%d\n", c.Rank)
	}
	switch t := c.Team; {
	case t == nil:
	case c.Limited:
		fmt.Fprintf(w, "limit\t%g requests per second over all nodes, burst %g\n", t.Rate, t.Burst)
	case t.Rate > 0:
		fmt.Fprintln(w, "limit\tnone on this route, which is public")
	default:
		fmt.Fprintln(w, "limit\tnone")
	}
}

// yesNo formats a boolean as the rules file does.
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

func services(split []config.Share) string {
	if len(split) == 1 {
		return split[0].Service
	}
	parts := make([]string, len(split))
	for i, s := range split {
		parts[i] = fmt.Sprintf("%s (weight %d)", s.Service, s.Weight)
	}
	return strings.Join(parts, ", ")
}

func nodes(x *operator.Explanation) string {
	if len(x.Upstreams) == 0 {
		return "no upstream"
	}
	names := make([]string, len(x.Upstreams))
	for i, m := range x.Upstreams {
		names[i] = fmt.Sprintf("%s (%s)", m.Node, m.Location.AvailabilityZone)
	}
	return strings.Join(names, ", ")
}
