package rules

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/cmd/lentilctl/cli"
	"github.com/lentilflow/lentilflow/pkg/admin"
	"github.com/lentilflow/lentilflow/pkg/delta"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/rules"
)

// Wait says how long a command follows the file that it has put.
type Wait struct {
	Wait time.Duration `help:"Longest time to wait until the file is in force on all nodes; 0s does not wait." default:"20s"`
}

// Validate refuses a negative duration.
func (w *Wait) Validate() error {
	if w.Wait < 0 {
		return merry.Errorf("--wait: %s is not accepted (accepted: 0s or a longer duration, such as 20s)", w.Wait)
	}
	return nil
}

// pollInterval separates two looks at the deployment while waiting.
const pollInterval = 200 * time.Millisecond

// Put replaces the deployment's rules file.
type Put struct {
	Wait
	File    string `arg:"" help:"Rules file."`
	IfMatch string `help:"Entity tag of the file that this one replaces, as printed by \"rules get\"; \"none\" for the first file. The put fails if someone else has changed the file since." required:"" placeholder:"ETAG"`
}

// Run checks the file, puts it and waits until it is in force.
func (c *Put) Run(env *cli.Env) error {
	text, err := readFile(c.File)
	if err != nil {
		return err
	}
	if _, faults := rules.Parse(c.File, text); len(faults) > 0 {
		writeFaults(env.Stderr, faults)
		return faultsError(c.File, faults)
	}
	etag, err := put(env, text, c.IfMatch)
	if err != nil {
		return err
	}
	return c.follow(env, etag, delta.Digest(text))
}

func put(env *cli.Env, text []byte, ifMatch string) (string, error) {
	ctx, cancel := env.Request()
	defer cancel()
	result, err := env.Client().PutRules(ctx, text, ifMatch)
	var p *admin.Problem
	if errors.As(err, &p) {
		if len(p.Faults) > 0 {
			writeFaults(env.Stderr, p.Faults)
		}
		if p.Status == http.StatusPreconditionFailed {
			return "", merry.Errorf("%s; its entity tag is now %s", p.Detail, p.ETag)
		}
	}
	return result.ETag, err
}

// putOutcome is the result of a put that was followed.
type putOutcome struct {
	ETag    string        `json:"etag"`
	Version model.Version `json:"version,omitempty"` // 0 if the command did not wait
	Nodes   int           `json:"nodes,omitempty"`
	InForce int           `json:"in_force,omitempty"`
	digest  string
}

// follow waits until the file with the given tag is in force on every node
// that answers.
func (w Wait) follow(env *cli.Env, etag, digest string) error {
	outcome := putOutcome{ETag: etag, digest: digest}
	if w.Wait > 0 {
		ctx, cancel := context.WithTimeout(env.Context, w.Wait)
		defer cancel()
		if err := await(ctx, env, &outcome); err != nil {
			return err
		}
	}
	return env.Print(outcome, func(out io.Writer) {
		if outcome.Version == 0 {
			fmt.Fprintf(out, "rules file stored with ETag %s\n", etag)
			return
		}
		fmt.Fprintf(out, "version %d in force on %d of %d nodes\n", outcome.Version, outcome.InForce, outcome.Nodes)
	})
}

func await(ctx context.Context, env *cli.Env, outcome *putOutcome) error {
	var last error
	for {
		done, err := look(ctx, env, outcome)
		if done {
			return err
		}
		if err != nil && ctx.Err() == nil {
			last = err
		}
		select {
		case <-ctx.Done():
			return notInForce(outcome, last)
		case <-time.After(pollInterval):
		}
	}
}

func notInForce(outcome *putOutcome, last error) error {
	switch {
	case outcome.Version != 0:
		return merry.Errorf("version %d is accepted, but in force on %d of %d nodes only; see lentilctl status", outcome.Version, outcome.InForce, outcome.Nodes)
	case last != nil:
		return merry.Prependf(last, "rules file is stored with ETag %s, but was not seen as accepted", outcome.ETag)
	default:
		return merry.Errorf("rules file is stored with ETag %s, but not accepted yet; see lentilctl status", outcome.ETag)
	}
}

// look reads the status once. It is done when the file is in force everywhere
// or was refused.
func look(ctx context.Context, env *cli.Env, outcome *putOutcome) (done bool, err error) {
	s, err := env.Client().Status(ctx)
	if err != nil {
		return false, err
	}
	if s.Rejected != nil && s.Rejected.ETag == outcome.ETag {
		for _, f := range s.Rejected.Faults {
			fmt.Fprintln(env.Stderr, f)
		}
		return true, merry.Errorf("the publisher has refused the rules file with ETag %s", outcome.ETag)
	}
	if outcome.Version == 0 {
		if outcome.Version, err = accepted(ctx, env, outcome, s.Highest); err != nil || outcome.Version == 0 {
			return false, err
		}
	}
	outcome.Nodes, outcome.InForce = s.Summary.Nodes, s.Summary.InForce
	return s.Summary.InForce+s.Summary.Unreachable == s.Summary.Nodes, nil
}

// lookBack is the number of versions among which a put file is looked for;
// others may have put files since.
const lookBack = 20

// accepted returns the version that was accepted from the file that was put, 0
// if there is none yet. A file with the text of the newest version gets no
// number of its own.
func accepted(ctx context.Context, env *cli.Env, put *putOutcome, highest model.Version) (model.Version, error) {
	page, err := env.Client().Versions(ctx, highest-min(highest, lookBack), lookBack)
	if err != nil {
		return 0, err
	}
	for _, v := range page.Items {
		if v.ETag == put.ETag || v.Number == highest && v.Digest == put.digest {
			return v.Number, nil
		}
	}
	return 0, nil
}
