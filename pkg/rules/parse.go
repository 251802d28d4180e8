package rules

import (
	"bytes"
	"fmt"
	"sort"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// Limits of a rules file.
const (
	// MaxLine is the longest accepted line in bytes, without its line feed.
	MaxLine = 4 << 10
	// MaxFaults is the largest number of faults that Parse returns. Without it, a
	// file of MaxSize bytes that holds something else could have a fault in each
	// of more than 500,000 lines.
	MaxFaults = 100
)

// parser collects the statements and the faults of one file.
type parser struct {
	name     string
	faults   []Fault
	services []parsed[model.Service]
	rules    []parsed[model.Rule]
	teams    []parsed[model.Team]
}

// parsed is a statement; valid says that its own line has no fault.
type parsed[T any] struct {
	value T
	valid bool
}

// Parse parses and checks the text of a rules file. It returns up to MaxFaults
// faults in line order, each with the given file name. The file is nil if there
// is any fault.
func Parse(name string, text []byte) (*File, []Fault) {
	p := &parser{name: name}
	if len(text) > MaxSize {
		p.fault(1, "", fmt.Sprintf("the file has %d bytes", len(text)), fmt.Sprintf("at most %d bytes", MaxSize))
		return nil, p.faults
	}
	p.lines(text)
	if len(p.faults) < MaxFaults {
		p.check() // checks of a partly read file would report false faults
	}
	p.sortFaults()
	if len(p.faults) > 0 {
		return nil, p.faults
	}
	return p.file(), nil
}

// acceptedStatements are the words with which a statement starts.
const acceptedStatements = "service, rule, team"

// lines parses every line, up to MaxFaults faults.
func (p *parser) lines(text []byte) {
	line := 0
	for len(text) > 0 && len(p.faults) < MaxFaults {
		var raw []byte
		raw, text, _ = bytes.Cut(text, []byte{'\n'})
		line++
		if msg, accepted := lineFault(raw); msg != "" {
			p.fault(line, "", msg, accepted)
			continue
		}
		p.line(line, string(raw))
	}
}

// lineFault reports faults in the bytes of a line, whatever its statement. The
// message is empty if there is none.
func lineFault(raw []byte) (message, accepted string) {
	if len(raw) > MaxLine {
		return fmt.Sprintf("the line has %d bytes", len(raw)), fmt.Sprintf("at most %d bytes", MaxLine)
	}
	if !utf8.Valid(raw) {
		return "the line is not valid UTF-8", "UTF-8 text"
	}
	for i, r := range string(raw) {
		if r != '\t' && isInvisible(r) {
			return fmt.Sprintf("character %U at byte %d is a control or format character", r, i+1),
				"printable characters, space and tab; lines end with a line feed only"
		}
	}
	return "", ""
}

// isInvisible reports whether r is a control, format or separator character.
// Format characters include bidirectional overrides, which can display a line
// differently from what it states.
func isInvisible(r rune) bool {
	if r >= ' ' && r <= '~' {
		return false
	}
	return unicode.In(r, unicode.Cc, unicode.Cf, unicode.Zl, unicode.Zp)
}

// line parses one line, which has a statement, only a comment, or nothing.
func (p *parser) line(n int, text string) {
	body, comment, _ := strings.Cut(text, "#")
	words := strings.FieldsFunc(body, isBlank)
	if len(words) == 0 {
		return
	}
	s := statement{parser: p, line: n, words: words}
	switch words[0] {
	case "service":
		s.service(comment)
	case "rule":
		s.rule(comment)
	case teamWord:
		s.team(comment)
	default:
		p.fault(n, "", fmt.Sprintf("unknown statement %s", quote(words[0])), acceptedStatements)
	}
}

func isBlank(r rune) bool { return r == ' ' || r == '\t' }

// fault records a fault. Faults after MaxFaults are dropped, which bounds the
// memory used for an invalid file.
func (p *parser) fault(line int, field, message, accepted string) {
	if len(p.faults) < MaxFaults {
		p.faults = append(p.faults, Fault{File: p.name, Line: line, Field: field, Message: message, Accepted: accepted})
	}
}

func (p *parser) sortFaults() {
	sort.SliceStable(p.faults, func(i, j int) bool { return p.faults[i].Line < p.faults[j].Line })
}

func (p *parser) file() *File {
	f := &File{
		Services: make([]model.Service, len(p.services)),
		Rules:    make([]model.Rule, len(p.rules)),
		Teams:    make([]model.Team, len(p.teams)),
	}
	for i, s := range p.services {
		f.Services[i] = s.value
	}
	for i, r := range p.rules {
		f.Rules[i] = r.value
	}
	for i, t := range p.teams {
		f.Teams[i] = t.value
	}
	return f
}

// quote formats a value for a message, shortened to 60 bytes.
func quote(s string) string {
	const limit = 60
	if len(s) <= limit {
		return fmt.Sprintf("%q", s)
	}
	return fmt.Sprintf("%q...", strings.ToValidUTF8(s[:limit], ""))
}
