package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
)

// Paths of the table service, below the base URL.
const (
	RowPath         = "/table/v1/row"
	RowsPath        = "/table/v1/rows"
	TransactionPath = "/table/v1/transaction"
)

// Rows is the answer to a scan or to a transaction.
type Rows struct {
	Rows []Row `json:"rows"`
}

// TableClient is the HTTP client of the table service. Reads that fail are
// repeated with jittered delays; transactions are sent once.
type TableClient struct{ client *client }

var _ Table = (*TableClient)(nil)

// NewTable returns a client of the table service at cfg.URL.
func NewTable(cfg Config) *TableClient { return &TableClient{client: newClient(cfg)} }

// Close releases the idle connections.
func (t *TableClient) Close() { t.client.close() }

// Get returns a row, ErrNotFound or ErrUnavailable.
func (t *TableClient) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := t.readJSON(ctx, RowPath, url.Values{"key": {key}}, &row)
	return row, err
}

// Scan returns up to limit rows in key order, or ErrUnavailable. The service
// may return fewer rows than limit only if there are no more.
func (t *TableClient) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var rows Rows
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	err := t.readJSON(ctx, RowsPath, query, &rows)
	return rows.Rows, err
}

func (t *TableClient) readJSON(ctx context.Context, path string, query url.Values, into any) error {
	resp, err := t.client.read(ctx, request{method: http.MethodGet, path: path, query: query})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(resp.body, into); err != nil {
		return wrap(ErrUnavailable, err)
	}
	return nil
}

// Commit runs tx. It returns ErrConflict, ErrUnavailable or ErrOutcomeUnknown.
func (t *TableClient) Commit(ctx context.Context, tx Transaction) ([]Row, error) {
	body, err := json.Marshal(tx)
	if err != nil {
		return nil, wrap(ErrUnavailable, err)
	}
	resp, err := t.client.write(ctx, request{
		method: http.MethodPost,
		path:   TransactionPath,
		header: http.Header{"Content-Type": {"application/json"}},
		body:   body,
	})
	if err != nil {
		return nil, err
	}
	var rows Rows
	if err := json.Unmarshal(resp.body, &rows); err != nil {
		return nil, wrap(ErrOutcomeUnknown, err)
	}
	return rows.Rows, nil
}
