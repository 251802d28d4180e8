package rules

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// maxPerson is the longest accepted name of a person in characters. The name
// is sent as a header of every answer.
const maxNameLength = 80

// person returns who a comment names and why. The comment has the form
// "NAME" or "NAME: reason", with an optional leading "asked by " or "by ".
// The name is empty if the comment names nobody.
func parsePerson(comment string) (name, reason string) {
	name, reason, _ = strings.Cut(comment, ":")
	words := strings.Fields(name)
	if len(words) > 1 && strings.EqualFold(words[0], "asked") && strings.EqualFold(words[1], "by") {
		words = words[2:]
	} else if len(words) > 0 && strings.EqualFold(words[0], "by") {
		words = words[1:]
	}
	name = strings.Join(words, " ")
	first, _ := utf8.DecodeRuneInString(name)
	if !unicode.IsLetter(first) || utf8.RuneCountInString(name) > maxNameLength {
		return "", ""
	}
	return name, strings.TrimSpace(reason)
}

func (s statement) askedBy(comment string) (name, reason string) {
	name, reason = parsePerson(comment)
	if name == "" {
		s.fault(s.line, "comment", "no person is named as having asked for this",
			"# NAME or # NAME: reason; the name starts with a letter and has at most 80 characters")
	}
	return name, reason
}
