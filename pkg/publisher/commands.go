package publisher

import (
	"bytes"
	"context"
	"errors"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/pkg/platform"
	"github.com/lentilflow/lentilflow/pkg/rules"
)

// putAttempts bounds the repetitions of a put whose answer was lost.
const putAttempts = 3

// ErrRefused means that the rules file has faults and was not written.
var ErrRefused = merry.Sentinel("rules file has faults")

// Commands changes the rules file.
type Commands struct {
	objects platform.Objects
	check   Check
}

// NewCommands returns commands over the object store.
func NewCommands(objects platform.Objects, check Check) *Commands {
	return &Commands{objects: objects, check: check}
}

// PutRules writes the rules file if it passes the check and the current file
// has the entity tag ifMatch; an empty ifMatch demands that there is no file.
// It returns the new tag, or
//   - the faults and ErrRefused,
//   - the tag of the current file and ErrConflict,
//   - ErrTooLarge or ErrUnavailable, with nothing written,
//   - ErrOutcomeUnknown if the write may have taken effect.
func (c *Commands) PutRules(ctx context.Context, text []byte, ifMatch string) (string, []rules.Fault, error) {
	if len(text) > rules.MaxSize {
		return "", nil, merry.Prependf(ErrTooLarge, "%d bytes", len(text))
	}
	if faults := c.check(RulesObject, text); len(faults) > 0 {
		return "", faults, ErrRefused
	}
	tag, err := c.put(ctx, text, ifMatch)
	return tag, nil, err
}

// put repeats the conditional write after a lost answer as long as the object
// is unchanged. The condition lets at most one of the copies take effect.
func (c *Commands) put(ctx context.Context, text []byte, ifMatch string) (string, error) {
	condition := ifMatch
	if condition == "" {
		condition = platform.IfAbsent
	}
	doubtful := false
	var err error
	for range putAttempts {
		var tag string
		tag, err = c.objects.Put(ctx, RulesObject, text, condition)
		switch {
		case err == nil:
			return tag, nil
		case errors.Is(err, platform.ErrOutcomeUnknown):
			doubtful = true
		case errors.Is(err, platform.ErrUnavailable) && !doubtful:
			return "", translate(err)
		}
		current, readErr := c.objects.Get(ctx, RulesObject)
		if readErr != nil && !errors.Is(readErr, platform.ErrNotFound) {
			continue
		}
		if current.ETag != ifMatch {
			return settlePut(current, text, doubtful)
		}
	}
	if doubtful {
		return "", merry.Wrap(ErrOutcomeUnknown, merry.WithCause(err))
	}
	return "", translate(err)
}

// settlePut judges a put after which the object has another tag than the
// condition demands.
func settlePut(current platform.Object, text []byte, doubtful bool) (string, error) {
	switch {
	case !doubtful:
		return current.ETag, ErrConflict
	case bytes.Equal(current.Body, text):
		return current.ETag, nil
	default:
		// Either the write never took effect, or it did and the file was
		// changed again since.
		return current.ETag, ErrOutcomeUnknown
	}
}
