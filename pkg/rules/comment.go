package rules

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// maxNameLength is the largest accepted length of a person's name in characters.
// The name is sent in a header of every response.
const maxNameLength = 80

// parsePerson returns the person and the reason that a comment states. The
// comment has the form "NAME" or "NAME: reason", with an optional leading
// "asked by " or "by ". The name is empty if the comment states no person.
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

// askedBy returns the person and the reason that the comment of the statement
// states. It reports a fault if the comment states no person.
func (s statement) askedBy(comment string) (name, reason string) {
	name, reason = parsePerson(comment)
	if name == "" {
		s.fault(s.line, "comment", "no person is named as having asked for this",
			"# NAME or # NAME: reason; the name starts with a letter and has at most 80 characters")
	}
	return name, reason
}
