package fleet

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// Registry holds the rows of all nodes in the platform's store. Its methods
// return an error if the store does not respond. Implementations must be safe for
// concurrent use.
type Registry interface {
	// Register writes the row of a node and returns the position of the write.
	// Writing it again changes nothing.
	Register(ctx context.Context, m Member) (follow.Position, error)
	// Deregister removes the row of a node, whatever it contains.
	Deregister(ctx context.Context, id model.NodeID) error
	// Remove removes the row of another node if it still describes that node as m
	// does. It returns an error if the row has changed.
	Remove(ctx context.Context, m Member) error
	// List returns all rows at one position.
	List(ctx context.Context) ([]Member, follow.Position, error)
	// Watch returns the changes after a position. It blocks until there is one,
	// but for a limited time, after which the Change is empty. It returns
	// follow.ErrHistoryLost if the store does not have the changes.
	Watch(ctx context.Context, after follow.Position) (Change, error)
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
func (s *Source) Load(ctx context.Context) (follow.Position, error) {
	members, at, err := s.Registry.List(ctx)
	if err != nil {
		return follow.Position{}, err
	}
	if !s.View.Replace(members, at, time.Now()) {
		s.logIgnored(at)
	}
	s.OnChange(nil)
	return at, nil
}

// Wait implements follow.Source.
func (s *Source) Wait(ctx context.Context, after follow.Position) (follow.Position, error) {
	c, err := s.Registry.Watch(ctx, after)
	if err != nil {
		return follow.Position{}, err
	}
	if len(c.Set)+len(c.Removed) > 0 {
		if !s.View.Apply(c, time.Now()) {
			s.logIgnored(c.Position)
		}
		s.OnChange(c.Removed)
	}
	return c.Position, nil
}

// logIgnored logs that a read changed nothing, because the view is not older.
func (s *Source) logIgnored(read follow.Position) {
	s.Log.Info("fleet in the store is not newer than the known one; it is ignored", zap.Object("read", read),
		zap.Object("known", s.View.Current().Position))
}
