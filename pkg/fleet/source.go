package fleet

import (
	"context"

	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// Registry holds the rows of all nodes in the platform's store. Its methods
// return an error if the store does not respond. Implementations must be safe for
// concurrent use.
type Registry interface {
	// Register writes the row of a node. Writing it again changes nothing.
	Register(ctx context.Context, m Member) error
	// Deregister removes the row of a node.
	Deregister(ctx context.Context, id model.NodeID) error
	// List returns all rows at one revision.
	List(ctx context.Context) ([]Member, follow.Revision, error)
	// Watch returns the changes after a revision. It blocks until there is one,
	// but for a limited time, after which the Change is empty. It returns
	// follow.ErrHistoryLost if the store no longer holds the changes.
	Watch(ctx context.Context, after follow.Revision) (Change, error)
}

// Source keeps View up to date with Registry. It implements follow.Source.
type Source struct {
	Registry Registry
	View     *View
	// OnChange is called after each load and after each change that is not
	// empty, with the nodes that the change removed. It must not be nil.
	OnChange func(removed []model.NodeID)
}

// Load implements follow.Source.
func (s *Source) Load(ctx context.Context) (follow.Revision, error) {
	members, revision, err := s.Registry.List(ctx)
	if err != nil {
		return 0, err
	}
	s.View.Replace(members, revision)
	s.OnChange(nil)
	return revision, nil
}

// Wait implements follow.Source.
func (s *Source) Wait(ctx context.Context, after follow.Revision) (follow.Revision, error) {
	c, err := s.Registry.Watch(ctx, after)
	if err != nil {
		return 0, err
	}
	if len(c.Set)+len(c.Removed) > 0 {
		s.View.Apply(c)
		s.OnChange(c.Removed)
	}
	return c.Revision, nil
}
