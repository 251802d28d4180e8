package operator

import (
	"context"
	"errors"
	"net/http"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/rules"
)

// Commands change the configuration in force. They are safe for concurrent use
// if Store is.
type Commands struct {
	Store RulesStore
	// Client sends requests to nodes.
	Client *http.Client
}

// Put checks a rules file and puts it in force as the next version, which it
// returns: the one after the version in the store and after those of all nodes that
// respond, because a restored store may have lost versions that nodes have in
// force. name is used in the faults. If the text is already in force, Put
// changes nothing and returns the version in force.
//
// If the file has faults, Put returns only these. If tag is not the tag of the
// configuration in force, it returns ErrChanged. It returns ErrRestored if the
// store was restored meanwhile. If RulesStore.Accept fails in another way, the file may or may not be in force.
func (c *Commands) Put(ctx context.Context, name, text string, tag Tag) (model.Version, []rules.Fault, error) {
	f, faults := rules.Parse(name, []byte(text))
	if len(faults) > 0 {
		return 0, faults, nil
	}
	version, current, err := c.Store.Tag(ctx)
	if err != nil {
		return 0, nil, err
	}
	if current != tag {
		return 0, nil, merry.Wrap(ErrChanged, merry.AppendMessagef("its tag is now %s", current))
	}
	if same, err := c.isInForce(ctx, version, text); err != nil || same {
		return version, nil, err
	}
	atNodes, err := c.newestAtNodes(ctx)
	if err != nil {
		return 0, nil, err
	}
	next := f.Configuration(max(version, atNodes) + 1)
	if _, err := config.Compile(next); err != nil {
		return 0, nil, merry.Prepend(err, "rules file")
	}
	err = c.Store.Accept(ctx, text, next, tag)
	if errors.Is(err, ErrChanged) || errors.Is(err, ErrRestored) {
		return 0, nil, err
	}
	if err != nil {
		return 0, nil, merry.Prepend(err, "it is not known whether the rules file was put in force")
	}
	return next.Version, nil, nil
}

func (c *Commands) isInForce(ctx context.Context, v model.Version, text string) (bool, error) {
	if v == 0 {
		return false, nil
	}
	all, err := c.Store.Versions(ctx)
	if err != nil || len(all) == 0 {
		return false, err
	}
	last := all[len(all)-1]
	return last.Number == v && last.Text == text, nil
}

// newestAtNodes returns the newest version that a node has in force, 0 if none
// responds.
func (c *Commands) newestAtNodes(ctx context.Context) (model.Version, error) {
	members, err := c.Store.Nodes(ctx)
	if err != nil {
		return 0, err
	}
	return newestVersion(nodeStates(ctx, c.Client, members)), nil
}
