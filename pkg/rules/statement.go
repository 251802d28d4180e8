package rules

import (
	"fmt"
	"strings"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// statement parses the words of one line.
type statement struct {
	*parser
	line  int
	words []string
}

// field describes one field of a statement that is stored in a T.
type field[T any] struct {
	name     string
	required bool
	accepted string
	set      func(t *T, value string) bool // false if the value is not accepted
}

func (s statement) service(comment string) {
	before := len(s.faults)
	v := model.Service{Name: s.name(), Line: s.line}
	parseFields(s, serviceFields, &v)
	v.AskedBy, v.Reason = s.askedBy(comment)
	s.services = append(s.services, parsed[model.Service]{value: v, valid: len(s.faults) == before})
}

func (s statement) rule(comment string) {
	before := len(s.faults)
	v := model.Rule{
		Name:   s.name(),
		Match:  model.Match{Host: config.AnyHost},
		Weight: 1,
		Prefer: model.PreferZone,
		Line:   s.line,
	}
	parseFields(s, ruleFields, &v)
	if v.LatencyTarget > v.Deadline && v.Deadline > 0 {
		s.fault(s.line, "target", fmt.Sprintf("target %v is longer than the deadline", v.LatencyTarget), fmt.Sprintf("at most %v", v.Deadline))
	}
	v.AskedBy, v.Reason = s.askedBy(comment)
	s.rules = append(s.rules, parsed[model.Rule]{value: v, valid: len(s.faults) == before})
}

// teamWord starts the statement of a team.
const teamWord = "team"

func (s statement) team(comment string) {
	before := len(s.faults)
	v := model.Team{Name: s.name(), Line: s.line}
	parseFields(s, teamFields, &v)
	if v.Burst > 0 && v.Rate == 0 {
		s.fault(s.line, "burst", "a burst without a rate has no effect", "rate and burst, rate alone, or neither")
	}
	v.AskedBy, v.Reason = s.askedBy(comment)
	s.teams = append(s.teams, parsed[model.Team]{value: v, valid: len(s.faults) == before})
}

// quoteWord formats a word of the statement for a message. In the statement of a team
// the word may be a key, which is not shown.
func (s statement) quoteWord(word string) string {
	if s.words[0] == teamWord {
		return "(not shown, as it may be a key)"
	}
	return quote(word)
}

const acceptedName = "1 to 63 characters of a-z, 0-9 and -"

// name returns the name of the statement, or "" if it has no valid one.
func (s statement) name() string {
	if len(s.words) < 2 || strings.Contains(s.words[1], "=") {
		s.fault(s.line, "name", fmt.Sprintf("the %s has no name", s.words[0]), acceptedName)
		return ""
	}
	if !validName(s.words[1]) {
		s.fault(s.line, "name", fmt.Sprintf("name %s is not accepted", quote(s.words[1])), acceptedName)
		return ""
	}
	return s.words[1]
}

// validName reports whether name has 1 to 63 characters of a-z, 0-9 and -. Labels
// of host names have the same maximum length (RFC 1035).
func validName(name string) bool {
	if len(name) == 0 || len(name) > 63 {
		return false
	}
	for _, c := range []byte(name) {
		if !isLowerAlnum(c) && c != '-' {
			return false
		}
	}
	return true
}

func isLowerAlnum(c byte) bool { return c >= 'a' && c <= 'z' || c >= '0' && c <= '9' }

// parseFields stores the field=value words of s in t and reports unknown,
// repeated, malformed and missing fields.
func parseFields[T any](s statement, fields []field[T], t *T) {
	seen := make([]bool, len(fields))
	for i, word := range s.words[1:] {
		name, value, found := strings.Cut(word, "=")
		if !found {
			if i > 0 {
				s.fault(s.line, "", fmt.Sprintf("%s is not of the form field=value", s.quoteWord(word)), fieldNames(fields))
			}
			continue
		}
		parseField(s, fields, seen, name, value, t)
	}
	for i, f := range fields {
		if f.required && !seen[i] {
			s.fault(s.line, f.name, fmt.Sprintf("the %s does not state %s", s.words[0], f.name), f.accepted)
		}
	}
}

func parseField[T any](s statement, fields []field[T], seen []bool, name, value string, t *T) {
	for i, f := range fields {
		if f.name != name {
			continue
		}
		switch {
		case seen[i] && name != keyField:
			s.fault(s.line, name, fmt.Sprintf("field %s is stated twice", name), "one value")
		case !f.set(t, value):
			if name != keyField {
				value = quote(value)
			} else {
				value = s.quoteWord(value)
			}
			s.fault(s.line, name, fmt.Sprintf("value %s is not accepted", value), f.accepted)
		}
		seen[i] = true
		return
	}
	s.fault(s.line, "", fmt.Sprintf("unknown field %s", s.quoteWord(name)), fieldNames(fields))
}

func fieldNames[T any](fields []field[T]) string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.name
	}
	return strings.Join(names, ", ")
}
