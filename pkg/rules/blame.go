package rules

import (
	"bytes"
	"strings"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/text"
)

// VersionText is the text of one accepted version.
type VersionText struct {
	Number     model.Version
	AcceptedAt time.Time
	Text       []byte
}

// BlameLine is one line of the newest version, with the version that introduced
// it and the person who asked for it.
type BlameLine struct {
	Line       int           `json:"line"`
	Number     model.Version `json:"number"`
	AcceptedAt time.Time     `json:"accepted_at"`
	AskedBy    string        `json:"asked_by,omitempty"` // empty for blank lines and those with only a comment
	Text       string        `json:"text"`               // without line feed
}

// origin is the version that introduced a line.
type origin struct {
	number model.Version
	at     time.Time
}

// Blame returns each line of the newest version with the oldest version since
// which the line has been present unchanged. The history is ordered oldest
// first. If it does not reach back to version 1, the lines of its first version
// may be older than reported. A line that moved keeps its origin.
func Blame(history []VersionText) []BlameLine {
	var lines [][]byte
	var origins []origin
	for _, r := range history {
		next := splitLines(r.Text)
		origins = inheritOrigins(origins, lines, next, origin{number: r.Number, at: r.AcceptedAt})
		lines = next
	}
	blame := make([]BlameLine, len(lines))
	for i, l := range lines {
		text := string(l)
		blame[i] = BlameLine{Line: i + 1, Number: origins[i].number, AcceptedAt: origins[i].at, AskedBy: linePerson(text), Text: text}
	}
	return blame
}

// inheritOrigins returns the origins of the lines of after. Lines that are also
// in before keep their origin; the others get now.
func inheritOrigins(origins []origin, before, after [][]byte, now origin) []origin {
	next := make([]origin, len(after))
	for i := range next {
		next[i] = now
	}
	for _, r := range text.CommonLines(before, after) {
		copy(next[r.After:r.After+r.Length], origins[r.Before:r.Before+r.Length])
	}
	return next
}

// splitLines returns the lines of text without their line feeds. A line feed at
// the end does not start another line.
func splitLines(text []byte) [][]byte {
	if len(text) == 0 {
		return nil
	}
	return bytes.Split(bytes.TrimSuffix(text, []byte{'\n'}), []byte{'\n'})
}

func linePerson(line string) string {
	body, comment, _ := strings.Cut(line, "#")
	if strings.TrimFunc(body, isBlank) == "" {
		return ""
	}
	name, _ := parsePerson(comment)
	return name
}
