package fleet

import (
	"context"

	"go.uber.org/zap"

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
	Log      *zap.Logger
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
	if !s.View.Replace(members, revision) {
		s.logIgnored(revision)
	}
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
		if !s.View.Apply(c) {
			s.logIgnored(c.Revision)
		}
		s.OnChange(c.Removed)
	}
	return c.Revision, nil
}

// logIgnored logs that a read changed nothing, because the view is not older.
func (s *Source) logIgnored(read follow.Revision) {
	s.Log.Info("fleet in the store is not newer than the known one; it is ignored", zap.Uint64("read", uint64(read)),
		zap.Uint64("known", uint64(s.View.Current().Revision)))
}
