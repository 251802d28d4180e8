package h1

import "strings"

// errSplicedResponse means that the head of a response has a second status line. A
// server has broken off a response within its head and has sent another one after it,
// so that fields of both are in one head. The second status line can only be in the
// reason or in a value: a line of its own has no colon and is malformed.
var errSplicedResponse = malformed("second status line in the head")

// containsStatusLine reports whether text contains the version and the status code of a
// status line. A value with a version only, as in a Via field, does not.
func containsStatusLine(text string) bool {
	const version = "HTTP/1."
	for {
		_, rest, found := strings.Cut(text, version)
		if !found {
			return false
		}
		if isStatusCode(rest) {
			return true
		}
		text = rest
	}
}

// isStatusCode reports whether text begins with a minor version, a space and a status
// code, and ends there or goes on with a space.
func isStatusCode(text string) bool {
	const length = len("1 200")
	if len(text) < length || text[1] != ' ' {
		return false
	}
	digits := strings.Trim(text[:1]+text[2:length], "0123456789") == ""
	return digits && (len(text) == length || text[length] == ' ')
}
