package claim

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/pkg/model"
)

const (
	rowPrefix = "claim/"
	// MaxBody is the largest stored answer body in bytes.
	MaxBody = 64 << 10
	// Retention is how long a row is kept after the claim was made.
	Retention = 24 * time.Hour
)

// ErrMalformed means that a claim row cannot be decoded.
var ErrMalformed = merry.Sentinel("malformed claim row")

// Key identifies a request that may run once.
type Key struct {
	Service string
	Key     string // value of the Idempotency-Key header
	Digest  string // of the request; the same key with another digest is refused
}

// row returns the name of the key's row in the table service.
func (k Key) row() string {
	sum := sha256.Sum256([]byte(k.Key))
	return rowPrefix + k.Service + "/" + hex.EncodeToString(sum[:])
}

// Answer is the stored answer of a finished call.
type Answer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
	// Truncated means that the body exceeded MaxBody and was not stored; the
	// answer cannot be replayed.
	Truncated bool `json:"truncated,omitempty"`
}

// ID identifies a claim that this process holds.
type ID struct {
	Row      string // row in the table service
	Claim    string // random claim id
	Revision uint64 // of the row when the claim was granted
	digest   string
	at       time.Time
	// doubtful means that a copy of the insert may still take effect, after
	// the claim is released.
	doubtful bool
}

type rowState string

const (
	pending rowState = "pending"
	done    rowState = "done"
)

// record is the value of a claim row.
type record struct {
	Claim      string       `json:"claim"`
	Node       model.NodeID `json:"node"`
	Generation uint64       `json:"generation"`
	Digest     string       `json:"digest"`
	At         time.Time    `json:"at"`
	State      rowState     `json:"state"`
	Answer     *Answer      `json:"answer,omitempty"`
}

func (r record) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		// A record has no field that json refuses.
		panic(err)
	}
	return b
}

func decode(value []byte) (record, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return record{}, merry.Prepend(ErrMalformed, err.Error())
	}
	if r.Claim == "" || (r.State != pending && r.State != done) || (r.State == done && r.Answer == nil) {
		return record{}, merry.Prependf(ErrMalformed, "state %q of claim %q", r.State, r.Claim)
	}
	return r, nil
}

func newClaimID() string { return strings.ToLower(rand.Text()) }
