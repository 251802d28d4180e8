// Package rollouts implements the commands "lentilctl rollouts".
package rollouts

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/cmd/lentilctl/cli"
	"github.com/lentilflow/lentilflow/pkg/operator"
	"github.com/lentilflow/lentilflow/pkg/rollout"
)

// Command holds the commands about rollouts.
type Command struct {
	Show  Show  `cmd:"" default:"1" help:"Show the rollouts of software versions: how far they have got, and why."`
	Start Start `cmd:"" help:"Order that the traffic of a service moves to upstreams of another software version."`
}

// Show lists the rollouts.
type Show struct{}

// Run prints the newest order of each service, with its state in the store and at the
// nodes.
func (c *Show) Run(env *cli.Env) error {
	ctx, cancel := env.RequestContext()
	defer cancel()
	all, err := env.RolloutQueries().Rollouts(ctx)
	if err != nil {
		return err
	}
	return env.Print(all, func(w io.Writer) { write(w, all) })
}

func write(w io.Writer, all []operator.Rollout) {
	if len(all) == 0 {
		fmt.Fprintln(w, "no rollout was ordered")
		return
	}
	fmt.Fprintln(w, "SERVICE\tFROM\tTO\tSTATE\tPHASE\tSHARE\tOLD\tNEW\tREASON\tAGE\tCOORDINATOR\tUPSTREAMS")
	for _, r := range all {
		s := newest(&r)
		if r.Status != nil && r.Status.Phase.Final() {
			s.Age = r.Status.Age
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.0f%%\t%s\t%s\t%s\t%s of %s\t%s\t%s\n", r.Service, dash(s.From), r.To, stateOf(&r), dash(string(s.Phase)), 100*s.Share,
			counts(s.Old), counts(s.New), dash(reason(&s)), s.Age.Duration().Round(100*time.Millisecond), r.Within, dash(string(s.Coordinator)), upstreams(r.Versions))
	}
}

// newest returns what the nodes say of a rollout, or what the store says if they say
// nothing.
func newest(r *operator.Rollout) rollout.State {
	switch {
	case r.State != nil:
		return *r.State
	case r.Status != nil:
		return *r.Status
	}
	return rollout.State{}
}

// stateOf returns the state in the store as a word.
func stateOf(r *operator.Rollout) string {
	switch {
	case r.Status == nil:
		return "not begun"
	case r.Status.Phase.Final():
		return string(r.Status.Phase)
	}
	return "running"
}

func reason(s *rollout.State) string {
	if s.Route != "" {
		return string(s.Reason) + " on route " + s.Route
	}
	return string(s.Reason)
}

// counts returns the requests of a version with the parts that failed and were slow.
func counts(t rollout.Tally) string {
	if t.Requests == 0 {
		return "0"
	}
	n := float64(t.Requests)
	return fmt.Sprintf("%d (%.1f%% failed, %.1f%% slow)", t.Requests, 100*float64(t.Failures)/n, 100*float64(t.Slow)/n)
}

func upstreams(versions map[string]int) string {
	var all []string
	for _, v := range slices.Sorted(maps.Keys(versions)) {
		all = append(all, fmt.Sprintf("%s: %d", v, versions[v]))
	}
	return dash(strings.Join(all, ", "))
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// Start orders a rollout.
type Start struct {
	Service  string        `arg:"" help:"Service whose traffic moves."`
	Version  string        `arg:"" help:"Software version that its upstreams report; they have to run beside the old ones already."`
	Duration time.Duration `arg:"" help:"Time limit, such as 15s."`
	Replace  bool          `help:"Replace a rollout of the service that has not ended."`
	Wait     bool          `help:"Wait until the rollout has ended, and fail if it is not completed." default:"true" negatable:""`
}

// endMargin is how long after its time limit a rollout is waited for.
const endMargin = 10 * time.Second

// Run writes the order and waits for the end of the rollout.
func (c *Start) Run(env *cli.Env) error {
	ctx, cancel := env.RequestContext()
	defer cancel()
	at, err := env.RolloutCommands().Start(ctx, rollout.Order{Service: c.Service, To: c.Version, Within: c.Duration}, c.Replace)
	if err != nil {
		return err
	}
	if !c.Wait {
		env.Infof("rollout of %s to %s is ordered", c.Service, c.Version)
		return nil
	}
	wait, end := context.WithTimeout(env.Context, c.Duration+endMargin)
	defer end()
	s, err := env.RolloutQueries().AwaitEnd(wait, c.Service, at)
	if err != nil {
		return err
	}
	err = env.Print(s, func(w io.Writer) {
		fmt.Fprintf(w, "rollout of %s to %s: %s after %s (%s); old version %s, new version %s\n", s.Service, s.To, s.Phase, s.Age.Duration().Round(100*time.Millisecond),
			dash(reason(&s)), counts(s.Old), counts(s.New))
	})
	if err == nil && s.Phase != rollout.Completed {
		err = merry.Errorf("version %s was rolled back: %s", s.To, reason(&s))
	}
	return err
}
