package fleet

import (
	"context"

	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// Registry holds the rows of all nodes in the platform's store.
type Registry interface {
	// Announce writes the row of a node. Writing it again changes nothing.
	Register(ctx context.Context, m Member) error
	// Withdraw removes the row of a node.
	Deregister(ctx context.Context, id model.NodeID) error
	// List returns all rows at one revision.
	List(ctx context.Context) ([]Member, follow.Revision, error)
	// Watch returns the changes after a revision; it blocks for a while until
	// there is one. It returns follow.ErrHistoryLost if the store no longer
	// holds them.
	Watch(ctx context.Context, after follow.Revision) (Change, error)
}

// Source follows the registry into the view.
type Source struct {
	Registry Registry
	View     *View
	// OnChange is told after each change, with the nodes that were removed.
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
