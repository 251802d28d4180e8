package membership

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/klauspost/compress/zstd"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/platform"
)

// Row timing: seven zone roots write fewer than two rows a second.
const (
	rowMinInterval = 5 * time.Second
	rowMaxInterval = 30 * time.Second
)

// maxZones limits the rows that one scan returns.
const maxZones = 64

// maxRowBytes limits the decompressed size of a roster row.
const maxRowBytes = 8 << 20

// ErrRow means that a roster row could not be decoded.
var ErrRow = merry.Sentinel("roster row is damaged")

// rowKey returns the key of the roster row of a zone.
func rowKey(z model.AvailabilityZone) string { return "roster/" + string(z) }

// Rows reads and writes the roster row of the own zone. It is not safe for
// concurrent use.
type Rows struct {
	roster  *Roster
	table   platform.Table
	written time.Time
	digest  uint64 // of the zone's entries at the last write
}

// NewRows returns Rows for the zone of the roster's own entry.
func NewRows(r *Roster, t platform.Table) *Rows { return &Rows{roster: r, table: t} }

// Read merges the row of the own zone into the roster. If no other node is in
// it, the rows of all zones are read, so that the first node of a zone finds
// the others.
func (w *Rows) Read(ctx context.Context) error {
	row, err := w.table.Get(ctx, rowKey(w.zone()))
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	if err == nil && w.mergeRow(row) > 0 {
		return nil
	}
	rows, err := w.table.Scan(ctx, rowKey(""), "", maxZones)
	if err != nil {
		return err
	}
	for _, row := range rows {
		w.mergeRow(row)
	}
	return nil
}

// mergeRow merges a stored row and returns how many entries were new. A
// damaged row is ignored; its zone root writes it anew.
func (w *Rows) mergeRow(row platform.Row) int {
	entries, err := decodeRow(row.Value)
	if err != nil {
		return 0
	}
	return len(w.roster.Merge(entries))
}

// Write stores the live entries of the zone if this node is the zone root and
// the row is due: at most every 5 s after a change, and every 30 s. Entries
// that only the stored row has are merged into the roster, so that rosters
// that started apart find each other; the next write has them.
func (w *Rows) Write(ctx context.Context, now time.Time) error {
	t := w.roster.View().Tree()
	if !t.IsZoneRoot(w.roster.Self().Node) {
		return nil
	}
	entries := t.Zone(w.zone())
	digest := zoneDigest(entries)
	if !rowDue(now.Sub(w.written), digest != w.digest) {
		return nil
	}
	row, err := w.table.Get(ctx, rowKey(w.zone()))
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	if err == nil {
		w.mergeRow(row)
	}
	_, err = w.table.Commit(ctx, platform.Transaction{
		Checks: []platform.Check{{Key: rowKey(w.zone()), Revision: row.Revision}},
		Puts:   []platform.Put{{Key: rowKey(w.zone()), Value: encodeRow(entries)}},
	})
	if err != nil {
		return err
	}
	w.written, w.digest = now, digest
	return nil
}

func (w *Rows) zone() model.AvailabilityZone {
	return w.roster.Self().Location.AvailabilityZone
}

// rowDue decides whether a row is written again.
func rowDue(since time.Duration, changed bool) bool {
	return since >= rowMaxInterval || changed && since >= rowMinInterval
}

func zoneDigest(entries []model.Entry) uint64 {
	var d Digests
	for i := range entries {
		d[BucketOf(entries[i].Node)] ^= fingerprint(&entries[i])
	}
	return d.Sum()
}

func encodeRow(entries []model.Entry) []byte {
	text, _ := json.Marshal(entries) // entries hold no value that JSON cannot represent
	return rowEncoder.EncodeAll(text, nil)
}

func decodeRow(value []byte) ([]model.Entry, error) {
	text, err := rowDecoder.DecodeAll(value, nil)
	if err != nil {
		return nil, merry.Wrap(ErrRow, merry.WithCause(err))
	}
	var entries []model.Entry
	if err := json.Unmarshal(text, &entries); err != nil {
		return nil, merry.Wrap(ErrRow, merry.WithCause(err))
	}
	return entries, nil
}

var (
	rowEncoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithLowerEncoderMem(true))
	rowDecoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxRowBytes), zstd.WithDecoderLowmem(true))
)
