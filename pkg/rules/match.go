package rules

import (
	"slices"
	"strings"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// ReservedPath is the path of messages between nodes. No rule matches it or a
// path below it, so callers cannot reach the peer listeners of other nodes.
const ReservedPath = "/.lentilflow"

// maxHostLength is the length of the longest host name in bytes (RFC 1035).
const maxHostLength = 253

// Methods lists the methods that a rule can state, sorted. It must not be
// changed.
var Methods = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}

// ValidPath reports whether the decoded path of a call can match a rule. It must
// be absolute, must not be ReservedPath or below it, and must have no empty, "."
// or ".." segment; a trailing slash is accepted. Paths with such segments are
// rejected because an upstream may normalise them, so that a call would be
// handled under the wrong rule.
func ValidPath(path string) bool {
	if path == "" || path[0] != '/' || hasPathPrefix(ReservedPath, path) {
		return false
	}
	for start := 1; start < len(path); {
		end := start
		for end < len(path) && path[end] != '/' {
			end++
		}
		if s := path[start:end]; s == "" || s == "." || s == ".." {
			return false
		}
		start = end + 1
	}
	return true
}

// hasPathPrefix reports whether path has the given prefix, ending at a segment
// boundary.
func hasPathPrefix(prefix, path string) bool {
	if prefix == "/" {
		return strings.HasPrefix(path, "/")
	}
	return strings.HasPrefix(path, prefix) && (len(path) == len(prefix) || path[len(prefix)] == '/')
}

// matches reports whether m matches a call with a valid path and a lower-case
// host without port.
func matches(m *model.Match, method, host, path string) bool {
	return (m.Host == config.AnyHost || m.Host == host) &&
		hasPathPrefix(m.Path, path) &&
		(len(m.Methods) == 0 || slices.Contains(m.Methods, method))
}
