package operator

import (
	"context"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// Errors of a RulesStore.
var (
	// ErrChanged means that another configuration has been put in force since
	// the tag was read; nothing was changed.
	ErrChanged = merry.Sentinel("another configuration was put in force meanwhile")
	// ErrRestored means that the store was restored from an older copy after the
	// tag was read. The configuration is in force, and may have replaced another
	// change of the restored state.
	ErrRestored = merry.Sentinel("the store was restored from an older copy meanwhile; the rules file is in force, and may have replaced a change that it does not contain")
	// ErrNoConfiguration means that no configuration is in force yet.
	ErrNoConfiguration = merry.Sentinel("no configuration is in force yet")
)

// RulesStore holds the accepted rules files of a deployment and the
// configuration in force.
type RulesStore interface {
	// Tag returns the version in force and the tag of its row in the store. Both
	// are zero if there is none. The tag changes with every change of the row.
	Tag(ctx context.Context) (model.Version, Tag, error)
	// Accept atomically puts a configuration in force and stores its rules file,
	// if the row still has the given tag. Otherwise it returns ErrChanged, or
	// ErrRestored. After any other error, the configuration may or may not be in
	// force.
	Accept(ctx context.Context, rules string, c *config.Configuration, tag Tag) error
	// Versions returns all accepted rules files, the oldest first.
	Versions(ctx context.Context) ([]model.VersionedText, error)
	// InForce returns the configuration in force, or ErrNoConfiguration.
	InForce(ctx context.Context) (*config.Configuration, error)
	// Nodes returns the nodes that have a row in the store.
	Nodes(ctx context.Context) ([]fleet.Member, error)
}
