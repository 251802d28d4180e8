package publisher

import (
	"context"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/platform"
)

// MaxVersionsPage is the largest page of Queries.Versions.
const MaxVersionsPage = 500

// Queries reads the version history. It writes nothing.
type Queries struct {
	table   platform.Table
	objects platform.Objects
}

// NewQueries returns queries over the platform's services.
func NewQueries(table platform.Table, objects platform.Objects) *Queries {
	return &Queries{table: table, objects: objects}
}

// Head returns the newest accepted version, ErrNotFound or ErrUnavailable.
func (q *Queries) Head(ctx context.Context) (model.VersionInfo, error) {
	return q.info(ctx, headKey)
}

// Versions returns up to limit versions with numbers above after, in order.
// The limit is cut to MaxVersionsPage.
func (q *Queries) Versions(ctx context.Context, after model.Version, limit int) ([]model.VersionInfo, error) {
	limit = max(1, min(limit, MaxVersionsPage))
	rows, err := q.table.Scan(ctx, versionPrefix, versionKey(after), limit)
	if err != nil {
		return nil, translate(err)
	}
	infos := make([]model.VersionInfo, len(rows))
	for i, row := range rows {
		if err := decodeRow(row, &infos[i]); err != nil {
			return nil, err
		}
	}
	return infos, nil
}

// Version returns version n with its text, ErrNotFound, ErrUnavailable or
// ErrCorrupt.
func (q *Queries) Version(ctx context.Context, n model.Version) (model.VersionedText, error) {
	info, err := q.info(ctx, versionKey(n))
	if err != nil {
		return model.VersionedText{}, err
	}
	return readText(ctx, q.objects, info)
}

// Rules returns the rules file as operators see it and its entity tag,
// ErrNotFound before the first put.
func (q *Queries) Rules(ctx context.Context) (text []byte, etag string, err error) {
	o, err := q.objects.Get(ctx, RulesObject)
	if err != nil {
		return nil, "", translate(err)
	}
	return o.Body, o.ETag, nil
}

// Rejected returns why the current rules file is refused, or ErrNotFound if
// it is not.
func (q *Queries) Rejected(ctx context.Context) (model.Rejection, error) {
	rejection, revision, err := readRow[model.Rejection](ctx, q.table, rejectedKey)
	if err == nil && revision == 0 {
		err = ErrNotFound
	}
	return rejection, err
}

func (q *Queries) info(ctx context.Context, key string) (model.VersionInfo, error) {
	info, revision, err := readRow[model.VersionInfo](ctx, q.table, key)
	if err == nil && revision == 0 {
		err = ErrNotFound
	}
	return info, err
}
