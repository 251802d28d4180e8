package upstream

import (
	"encoding/json"
	"strconv"
)

// Start is when a boot started, or that it is not known when. The zero value is
// unknown. It is comparable with == only where two unknown starts may count as the same.
type Start struct{ unixMilli int64 }

// StartedAt returns a start in Unix milliseconds. 0 means unknown.
func StartedAt(unixMilli int64) Start { return Start{unixMilli} }

// Known reports whether the start is known.
func (s Start) Known() bool { return s.unixMilli != 0 }

// UnixMilli returns the start in Unix milliseconds, 0 if it is not known.
func (s Start) UnixMilli() int64 { return s.unixMilli }

// Is reports whether both starts are known and the same.
func (s Start) Is(o Start) bool { return s.Known() && s == o }

// MayBe reports whether the starts may be the same: they are, or one of them is not
// known.
func (s Start) MayBe(o Start) bool { return s == o || !s.Known() || !o.Known() }

// Before reports whether both starts are known and s is the earlier one.
func (s Start) Before(o Start) bool { return s.Known() && o.Known() && s.unixMilli < o.unixMilli }

// later returns the later one of two starts, or the known one.
func (s Start) later(o Start) Start {
	if s.Before(o) || !s.Known() {
		return o
	}
	return s
}

// String returns the start in Unix milliseconds, "0" if it is not known.
func (s Start) String() string { return strconv.FormatInt(s.unixMilli, 10) }

// IsZero reports whether the start is not known, so that JSON can omit it.
func (s Start) IsZero() bool { return !s.Known() }

// MarshalJSON returns the start in Unix milliseconds.
func (s Start) MarshalJSON() ([]byte, error) { return json.Marshal(s.unixMilli) }

// UnmarshalJSON is the inverse of MarshalJSON.
func (s *Start) UnmarshalJSON(text []byte) error { return json.Unmarshal(text, &s.unixMilli) }
