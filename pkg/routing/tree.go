package routing

import (
	"slices"
	"strings"

	"github.com/lentilflow/lentilflow/pkg/rules"
)

// methodCount is the number of methods that a rule can list. A test compares
// it with rules.Methods.
const methodCount = 7

// otherMethod is the index of methods that no rule lists.
const otherMethod = methodCount

// node holds the rules whose path ends at one segment.
type node struct {
	children map[string]*node // by path segment
	// byMethod holds the route for each index of rules.Methods, and for
	// otherMethod.
	byMethod [methodCount + 1]*Route
}

// methodIndex returns the index of method in rules.Methods, or otherMethod.
func methodIndex(method string) int {
	if i := slices.Index(rules.Methods, method); i >= 0 {
		return i
	}
	return otherMethod
}

// add stores r below n. An earlier route with the same path and method stays.
func (n *node) add(r *Route) {
	for segment := range strings.SplitSeq(strings.Trim(r.Rule.Match.Path, "/"), "/") {
		if segment != "" {
			n = n.child(segment)
		}
	}
	if len(r.Rule.Match.Methods) == 0 && n.byMethod[otherMethod] == nil {
		n.byMethod[otherMethod] = r
	}
	for _, m := range r.Rule.Match.Methods {
		if i := methodIndex(m); n.byMethod[i] == nil {
			n.byMethod[i] = r
		}
	}
}

func (n *node) child(segment string) *node {
	c := n.children[segment]
	if c == nil {
		if n.children == nil {
			n.children = make(map[string]*node)
		}
		c = &node{}
		n.children[segment] = c
	}
	return c
}

// seal fills the methods without a listed rule with the rule for any method.
func (n *node) seal() {
	for i, r := range n.byMethod {
		if r == nil {
			n.byMethod[i] = n.byMethod[otherMethod]
		}
	}
	for _, c := range n.children {
		c.seal()
	}
}

// match returns the route of the longest matching path for the method index
// m, or nil. The path is valid as by rules.ValidPath.
func (n *node) match(m int, path string) *Route {
	best := n.byMethod[m]
	for rest := path[1:]; rest != "" && n.children != nil; {
		var segment string
		segment, rest, _ = strings.Cut(rest, "/")
		if n = n.children[segment]; n == nil {
			break
		}
		if r := n.byMethod[m]; r != nil {
			best = r
		}
	}
	return best
}
