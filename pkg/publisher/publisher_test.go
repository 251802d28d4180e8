package publisher_test

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/platform"
	"github.com/lentilflow/lentilflow/pkg/publisher"
	"github.com/lentilflow/lentilflow/pkg/rules"
	standin "github.com/lentilflow/lentilflow/pkg/standin/platform"
)

func check(name string, text []byte) []rules.Fault {
	if bytes.HasPrefix(text, []byte("bad")) {
		return []rules.Fault{{Name: name, Line: 1, Message: "bad"}}
	}
	return nil
}

func start(t *testing.T) (*standin.Server, *platform.TableClient, *platform.ObjectsClient) {
	t.Helper()
	server, err := standin.NewServer("127.0.0.1:0", standin.NewService(standin.Config{}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Stop)
	cfg := platform.Config{URL: server.URL(), Timeout: 500 * time.Millisecond}
	return server, platform.NewTable(cfg), platform.NewObjects(cfg)
}

// Guards against an edit that overwrites another one, a lost answer reported
// as a conflict or a failure, and a faulty file that is written.
func TestPutRules(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	server, _, objects := start(t)
	c := publisher.NewCommands(objects, check)
	first, _, err := c.PutRules(ctx, []byte("one"), "")
	is.NoErr(err)
	current, _, err := c.PutRules(ctx, []byte("other"), "")
	is.True(errors.Is(err, publisher.ErrConflict))
	is.Equal(current, first)
	_, faults, err := c.PutRules(ctx, []byte("bad"), first)
	is.True(errors.Is(err, publisher.ErrRefused))
	is.Equal(len(faults), 1)
	_, _, err = c.PutRules(ctx, make([]byte, rules.MaxSize+1), first)
	is.True(errors.Is(err, publisher.ErrTooLarge))

	server.SetFaults(standin.Faults{LoseNext: 1})
	second, _, err := c.PutRules(ctx, []byte("two"), first)
	is.NoErr(err)
	tag, err := objects.Head(ctx, publisher.RulesObject)
	is.NoErr(err)
	is.Equal(tag, second)
	server.SetFaults(standin.Faults{LoseNext: 1})
	_, _, err = c.PutRules(ctx, []byte("three"), first) // a conflict whose answer is lost
	is.True(errors.Is(err, publisher.ErrOutcomeUnknown))
	server.SetFaults(standin.Faults{Down: true})
	_, _, err = c.PutRules(ctx, []byte("three"), second)
	is.True(errors.Is(err, publisher.ErrUnavailable))
}

// Guards against a successor that waits for the expiry of a released lease or
// does not hand over the version in force, against a nudge without effect, and
// against a history with gaps.
func TestRunAndSuccession(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	_, table, objects := start(t)
	commands, queries := publisher.NewCommands(objects, check), publisher.NewQueries(table, objects)
	_, err := queries.Head(ctx)
	is.True(errors.Is(err, publisher.ErrNotFound))

	run := func(node model.NodeID) (*publisher.Publisher, chan model.VersionedText, func()) {
		accepted := make(chan model.VersionedText, 16)
		p := publisher.NewPublisher(publisher.Config{
			Table: table, Objects: objects, Node: node, Check: check,
			Candidate: func() bool { return true },
			Accept:    func(v model.VersionedText) error { accepted <- v; return nil },
		})
		ctx, cancel := context.WithCancel(ctx)
		done := make(chan error)
		go func() { done <- p.Run(ctx) }()
		return p, accepted, func() { cancel(); <-done }
	}
	p, accepted, stop := run("a")
	tag := ""
	for n, text := range []string{"one", "two"} {
		tag, _, err = commands.PutRules(ctx, []byte(text), tag)
		is.NoErr(err)
		p.Nudge()
		v := <-accepted
		is.Equal(v.Info.Number, model.Version(n+1))
		is.Equal(v.Info.ETag, tag)
		is.Equal(string(v.Text), text)
	}
	is.True(p.Leading())
	_, err = objects.Put(ctx, publisher.RulesObject, []byte("bad"), tag) // past the check
	is.NoErr(err)
	for _, err = queries.Rejected(ctx); errors.Is(err, publisher.ErrNotFound); _, err = queries.Rejected(ctx) {
		time.Sleep(10 * time.Millisecond)
	}
	is.NoErr(err)
	stop()

	_, accepted, stop = run("b")
	defer stop()
	select {
	case v := <-accepted:
		is.Equal(v.Info.Number, model.Version(2))
	case <-time.After(publisher.LeaseDuration):
		t.Fatal("the released lease was not taken before its expiry")
	}
	page, err := queries.Versions(ctx, 1, 10)
	is.NoErr(err)
	is.Equal(len(page), 1)
	v, err := queries.Version(ctx, 1)
	is.NoErr(err)
	is.Equal(string(v.Text), "one")
	text, _, err := queries.Rules(ctx)
	is.NoErr(err)
	is.Equal(string(text), "bad")
}
