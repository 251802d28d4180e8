package operator

import (
	"context"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// Errors of a Rulebook.
var (
	// ErrChanged means that someone else has put a configuration in force
	// since; nothing was done.
	ErrChanged = merry.Sentinel("another configuration was put in force meanwhile")
	// ErrNoRules means that nothing is in force yet.
	ErrNoConfiguration = merry.Sentinel("no configuration is in force yet")
)

// Rulebook holds the accepted rules files of a deployment and the
// configuration in force.
type RulesStore interface {
	// Tag returns the version in force and the tag of its row in the store, 0
	// and 0 if there is none.
	Tag(ctx context.Context) (model.Version, uint64, error)
	// Accept puts a configuration in force and keeps its rules file, in one
	// step, if the tag is still that of the row. It returns ErrChanged if not.
	Accept(ctx context.Context, rules string, c *config.Configuration, tag uint64) error
	// Versions returns all accepted rules files, the oldest first.
	Versions(ctx context.Context) ([]model.VersionedText, error)
	// InForce returns the configuration in force, or ErrNoRules.
	InForce(ctx context.Context) (*config.Configuration, error)
	// Members returns the nodes.
	Nodes(ctx context.Context) ([]fleet.Member, error)
}
