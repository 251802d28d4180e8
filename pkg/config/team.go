package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"strings"
	"unicode"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// KeyDigest is the SHA-256 digest of a team's key. Only digests are part of a
// configuration, so that no copy, message or log contains a key.
type KeyDigest [sha256.Size]byte

// DigestOfKey returns the digest of a key.
func DigestOfKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// shownDigits is the number of hexadecimal digits of a digest that String returns.
// Two of 10,000 keys share them with a probability of about 1%, and they say nothing
// useful about the key.
const shownDigits = 8

// String returns the first digits of d, which is how keys are shown.
func (d KeyDigest) String() string { return hex.EncodeToString(d[:shownDigits/2]) }

// Hex returns all 64 hexadecimal digits of d.
func (d KeyDigest) Hex() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler. It returns all 64 digits.
func (d KeyDigest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler. Its errors do not contain
// text, which may be a key that was taken for a digest.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) || len(text)%2 != 0 {
		return fmt.Errorf("a digest of a key has %d bytes instead of %d hexadecimal digits", len(text), hex.EncodedLen(len(d)))
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return fmt.Errorf("a digest of a key has a character that is not a hexadecimal digit")
	}
	return nil
}

// Team is a team whose calls are recognised by its keys.
type Team struct {
	Name string      `json:"name"`
	Keys []KeyDigest `json:"keys,omitempty"`
	// Rank is the rank of the team's calls; nil stands for the rank of the route.
	Rank *model.Rank `json:"rank,omitempty"`
	// Rate is the limit in requests per second over all nodes, 0 for no limit.
	Rate float64 `json:"rate,omitempty"`
	// Burst is the number of requests by which the team may exceed Rate for a short
	// time.
	Burst float64 `json:"burst,omitempty"`
	// AskedBy is the person who requested the team, empty if not stated.
	AskedBy string `json:"asked_by,omitempty"`
}

// RankOf returns the rank of the team's calls of a route. t may be nil.
func (t *Team) RankOf(r *Route) model.Rank {
	rank := r.Rank
	if t != nil && t.Rank != nil {
		rank = *t.Rank
	}
	return min(rank, model.MaxRank)
}

// maxTeamName bounds the name of a team, in bytes. Escaped, it takes up to three
// times as much of a header field between nodes.
const maxTeamName = 255

// checkTeams returns the field and the message of the first fault of the teams,
// or "". The messages do not contain more of a digest than its first digits.
func (c *Configuration) checkTeams() (field, message string) {
	names := make(map[string]bool, len(c.Teams))
	owners := make(map[KeyDigest]string, len(c.Teams))
	for i := range c.Teams {
		t := &c.Teams[i]
		if t.Name == "" {
			return fmt.Sprintf("teams[%d] name", i), "a team has no name"
		}
		field := fmt.Sprintf("team %.64q", t.Name)
		if names[t.Name] {
			return field + " name", "the team is stated twice"
		}
		names[t.Name] = true
		if part, message := t.check(); message != "" {
			return field + " " + part, message
		}
		for _, d := range t.Keys {
			if owner, ok := owners[d]; ok && owner != t.Name {
				return field + " keys", fmt.Sprintf("the key with the digest %s... also belongs to team %q", d, owner)
			}
			owners[d] = t.Name
		}
	}
	return "", ""
}

// check returns the field and the message of the first fault of t, or "".
func (t *Team) check() (field, message string) {
	limit := func(v float64) bool { return v >= 0 && !math.IsInf(v, 1) } // false for NaN
	switch {
	case len(t.Name) > maxTeamName:
		return "name", fmt.Sprintf("has %d bytes, at most %d are accepted", len(t.Name), maxTeamName)
	case strings.ContainsFunc(t.Name, unicode.IsControl) || strings.TrimSpace(t.Name) != t.Name:
		return "name", "has a control character, or a space at its start or end" // it is the value of a header field
	case t.Rank != nil && *t.Rank > model.MaxRank:
		return "rank", fmt.Sprintf("is %d, at most %d is accepted", *t.Rank, model.MaxRank)
	case !limit(t.Rate):
		return "rate", fmt.Sprintf("is %v, a finite number that is not negative is accepted", t.Rate)
	case !limit(t.Burst):
		return "burst", fmt.Sprintf("is %v, a finite number that is not negative is accepted", t.Burst)
	}
	return "", ""
}

// teamIndex finds teams by digest and by name.
type teamIndex struct {
	byKey  map[KeyDigest]*Team
	byName map[string]*Team
	// meanRate is the mean rate of the teams that have one, 0 if none has.
	meanRate float64
}

func indexTeams(teams []Team) teamIndex {
	if len(teams) == 0 {
		return teamIndex{}
	}
	x := teamIndex{byKey: make(map[KeyDigest]*Team, len(teams)), byName: make(map[string]*Team, len(teams))}
	for i := range teams {
		t := &teams[i]
		x.byName[t.Name] = t
		for _, d := range t.Keys {
			x.byKey[d] = t
		}
	}
	x.meanRate = meanRate(teams)
	return x
}

// HasTeams reports whether the configuration has teams. Calls of routes that are
// not public then need a key.
func (s *Snapshot) HasTeams() bool { return len(s.Teams) > 0 }

// TeamOfKey returns the team that a key belongs to. It returns false if there is
// none. Its time depends on the length of the key and not on the keys of the
// teams: it looks up the digest only, from which no part of a key follows.
func (s *Snapshot) TeamOfKey(key string) (*Team, bool) { return s.TeamOfDigest(DigestOfKey(key)) }

// TeamOfDigest returns the team that the key with the digest d belongs to. It
// returns false if there is none.
func (s *Snapshot) TeamOfDigest(d KeyDigest) (*Team, bool) {
	t, ok := s.teams.byKey[d]
	return t, ok
}

// Team returns the team of the given name. It returns false if there is none.
func (s *Snapshot) Team(name string) (*Team, bool) {
	t, ok := s.teams.byName[name]
	return t, ok
}
