package publisher

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/platform"
)

// Rows and objects of the publisher.
const (
	// RulesObject is the object that operators write.
	RulesObject   = "rules/current"
	leaseKey      = "publisher"
	headKey       = "head"
	rejectedKey   = "rejected"
	versionPrefix = "version/"
	textPrefix    = "versions/"
)

// Errors of the publisher, its queries and its commands.
var (
	// ErrNotFound means that the version, rules file or rejection is absent.
	ErrNotFound = merry.Sentinel("not found in the version history")
	// ErrConflict means that the rules file was changed by someone else.
	ErrConflict = merry.Sentinel("rules file was changed meanwhile")
	// ErrUnavailable means that the store could not be used and nothing was
	// written.
	ErrUnavailable = merry.Sentinel("version store unavailable")
	// ErrOutcomeUnknown means that a write of the rules file may have taken
	// effect.
	ErrOutcomeUnknown = merry.Sentinel("outcome of the rules file write is unknown")
	// ErrCorrupt means that stored data does not match its digest or cannot
	// be decoded.
	ErrCorrupt = merry.Sentinel("corrupt version data")
	// ErrTooLarge means that a rules file exceeds rules.MaxSize.
	ErrTooLarge = merry.Sentinel("rules file is too large")
)

// translate maps an error of the platform to one of this package.
func translate(err error) error {
	for from, to := range map[error]error{
		platform.ErrNotFound:       ErrNotFound,
		platform.ErrConflict:       ErrConflict,
		platform.ErrUnavailable:    ErrUnavailable,
		platform.ErrOutcomeUnknown: ErrOutcomeUnknown,
	} {
		if errors.Is(err, from) {
			return merry.Prepend(to, err.Error(), merry.WithCause(err))
		}
	}
	return err
}

// versionKey pads the number, so that keys sort by number.
func versionKey(n model.Version) string { return fmt.Sprintf("%s%020d", versionPrefix, uint64(n)) }

func textKey(digest string) string { return textPrefix + digest }

func digestOf(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // the row types hold no value that json refuses
	}
	return b
}

// readRow decodes a row and returns its revision, 0 with the zero value if
// the row is absent.
func readRow[T any](ctx context.Context, table platform.Table, key string) (T, uint64, error) {
	var value T
	row, err := table.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return value, 0, nil
	}
	if err != nil {
		return value, 0, translate(err)
	}
	return value, row.Revision, decodeRow(row, &value)
}

func decodeRow(row platform.Row, into any) error {
	if err := json.Unmarshal(row.Value, into); err != nil {
		return merry.Prependf(ErrCorrupt, "row %s: %v", row.Key, err)
	}
	return nil
}

// readText returns the text of a version and compares its digest.
func readText(ctx context.Context, objects platform.Objects, info model.VersionInfo) (model.VersionedText, error) {
	o, err := objects.Get(ctx, textKey(info.Digest))
	if err != nil {
		return model.VersionedText{}, translate(err)
	}
	if digestOf(o.Body) != info.Digest {
		return model.VersionedText{}, merry.Prependf(ErrCorrupt, "text of version %d", info.Number)
	}
	return model.VersionedText{Info: info, Text: o.Body}, nil
}
